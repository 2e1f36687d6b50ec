"""The engine client turns any bytes of an engine into typed events."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.backends import engine_client, engine_stream
from dragonflycove.transport import sessions

KIND = engine_stream.StreamFailureKind
"""Kinds of stream failures."""

OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
"""Response head of a stream that ends with the connection."""

FRAME = b'data: {"attempt":"a1","index":0,"token":"x","finish":null}\n\n'
"""First frame of the attempt."""

LAST = b'data: {"attempt":"a1","index":1,"token":"y","finish":"stop"}\n\n'
"""Last frame of the attempt."""

LAST_OF_OTHER_ATTEMPT = LAST.replace(b"a1", b"a2")
"""Last frame of another attempt."""


def head(status: str, body: bytes = b"", headers: str = "") -> bytes:
    """Return a complete HTTP response that is no stream."""
    return f"HTTP/1.1 {status} x\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


RESPONSES = [
    (OK + FRAME + LAST, ["Frame", "Frame", "Ended"]),
    (OK + b": wait\n\n" + FRAME + LAST, ["Heartbeat", "Frame", "Frame", "Ended"]),
    (OK + FRAME, ["Frame", (KIND.CRASHED, True)]),
    (OK + FRAME + LAST[:20], ["Frame", (KIND.CRASHED, True)]),
    (OK + FRAME + LAST_OF_OTHER_ATTEMPT, ["Frame", "Frame", (KIND.CRASHED, True)]),
    (OK + b"data: {}\n\n", [(KIND.ERROR, True)]),
    (OK + b"data: " + b"x" * 2_000_000, [(KIND.ERROR, True)]),
    (b"", [(KIND.CRASHED, True)]),
    (b"SMTP\r\n\r\n", [(KIND.CRASHED, True)]),
    (head("500"), [(KIND.ERROR, True)]),
    (head("302"), [(KIND.ERROR, True)]),
    (head("429", headers="Retry-After: 2\r\n"), [(429, True, 2.0)]),
    (head("503", b'{"ran":"not_run"}'), [(503, True, None)]),
    (head("503", b"{}"), [(503, False, None)]),
    (head("503", b"<html>"), [(503, False, None)]),
    (head("404", b'{"ran":"unknown"}'), [(404, False, None)]),
]
"""Bytes that the engine sends, and the expected events as from `summarize`."""


def summarize(event: engine_stream.StreamEvent) -> object:
    """Return an event in the notation of `RESPONSES`: fields of a break or refusal, else a name."""
    if isinstance(event, engine_stream.StreamFailed):
        return event.kind, event.sent
    if isinstance(event, engine_stream.Refused):
        return tuple(event)
    return type(event).__name__


@pytest.mark.asyncio
@pytest.mark.parametrize(("response", "expected"), RESPONSES)
async def test_responses_become_events(response: bytes, expected: list[object]) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listener, sessions.open_pooled() as session:
        client = engine_client.EngineClient(session)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        timeouts = engine_stream.StreamTimeouts(2.0, 2.0, 5.0)
        stream = client.resume(address, "a1", "n1/i1", 0, timeouts)
        events = [event async for event in stream]
        await client.close()
    assert [summarize(event) for event in events] == expected

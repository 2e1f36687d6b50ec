"""A stream that broke off goes on at a server that answers with an error: nothing of it is passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import server_faults
from tests.gateway import deployment
from tests.gateway.test_rules import COMPLETE_STREAM

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterator

pytestmark = pytest.mark.asyncio

SIGNED = b"X-Server-Stamp: 3e1b.07.5a2.s\r\nX-Attempt-Id: a1\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
ERROR = b'{"error": "the text of the error"}'


def _whole(status: bytes, headers: bytes, body: bytes) -> bytes:
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + body


def _chunked(headers: bytes, *parts: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    head = b"HTTP/1.1 200 OK\r\n" + headers + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + end


def _answers() -> Iterator[tuple[str, bytes]]:
    for status in (b"400 A", b"404 A", b"409 A", b"416 A", b"429 A", b"500 A", b"502 A", b"503 A"):
        yield status[:3].decode(), _whole(status, SIGNED, ERROR)
    for name, headers in (("unsigned", b"X-Attempt-Id: a1\r\n"), ("events", SIGNED + EVENTS)):
        for status in (b"404 A", b"500 A", b"503 A"):
            yield f"{status[:3].decode()}_{name}", _whole(status, headers, ERROR + b"\n\n")
            yield f"{status[:3].decode()}_{name}_empty", _whole(status, headers, b"")
    yield "refused", _whole(b"503 A", SIGNED + b"X-Not-Executed: 1\r\n", ERROR)
    yield "redirect", _whole(b"302 A", SIGNED + b"Location: /x\r\n", ERROR)
    yield "no_content", b"HTTP/1.1 204 A\r\n" + SIGNED + b"\r\n"
    yield "unframed_error", b"HTTP/1.1 500 A\r\n" + SIGNED + b"\r\n" + ERROR
    yield "unframed_head", b"HTTP/1.1 200 A\r\n" + SIGNED + b"\r\nHTTP/1.1 500 A\r\n\r\n" + ERROR
    yield "head_in_chunk", _chunked(SIGNED + EVENTS, _whole(b"500 A", SIGNED, ERROR + b"\n\n"))
    yield "json_success", _whole(b"200 A", SIGNED, ERROR)
    yield "text_success", _whole(b"200 A", SIGNED, ERROR + b"\n\n")
    yield "unsigned_success", _whole(b"200 A", EVENTS, ERROR + b"\n\n")
    for name, event in (
        ("data", b"data: " + ERROR + b"\n\n"),
        ("error", b"event: error\ndata: " + ERROR + b"\n\n"),
        ("crlf", b"event: error\r\ndata: x\r\n\r\n"),
        ("bare_field", b"error\n\n"),
        ("id_in_data", b"data: x\n data: id: 4\n\n"),
        ("empty_id", b"id: \ndata: x\n\n"),
        ("negative_id", b"id: -1\ndata: x\n\n"),
        ("far_id", b"id: 400\ndata: x\n\n"),
        ("low_id", b"id: 0\ndata: x\n\n"),
    ):
        yield f"event_{name}", _chunked(SIGNED + EVENTS, event)
        yield f"event_{name}_cut", _chunked(SIGNED + EVENTS, event, end=b"")
        yield f"event_{name}_whole", _whole(b"200 A", SIGNED + EVENTS, event)
    yield "half_head", b"HTTP/1.1 500 A\r\nX-Server"
    yield "garbage", b"\x00\x01 error\r\n\r\n"
    yield "nothing", b""


ANSWERS = dict(_answers())


def _break_then_answer(system: deployment.Deployment, answer: bytes, refused: int) -> list[str]:
    """Let the first run break off midway, and the next ones answer with the given bytes."""
    answered: list[str] = []

    def attach(server: platform_server.PlatformServer) -> None:
        respond = server._respond_stream  # noqa: SLF001

        async def respond_stream(
            run: platform_server.ExecutedRequest,
            fault: server_faults.Fault | None,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> bool:
            if "last-event-id" not in run.headers:
                return await respond(run, server_faults.Fault.TRUNCATED, reader, writer)
            if len(answered) >= refused:
                return await respond(run, fault, reader, writer)
            answered.append(run.headers["last-event-id"])
            writer.write(answer)
            return False

        server._respond_stream = respond_stream  # type: ignore[method-assign]

    for server in system.server_by_id.values():
        attach(server)
    return answered


@pytest.mark.parametrize("name", ANSWERS)
async def test_nothing_of_an_error_stands_in_a_stream_that_has_begun(name: str) -> None:
    """Callers found the error's text or head in their stream, or the stream ended as complete."""
    async with deployment.deployed(nodes=0) as system:
        await system.add_server("e3")
        value = deployment.configuration(version=2)
        value["routes"][0]["max_attempts"] = 3  # type: ignore[index]
        system.store.put("keyed.op", "config", value)
        await system.add_node()
        for refused in (1, 9):
            answered = _break_then_answer(system, ANSWERS[name], refused)
            response = await system.call("/ask/x", deadline_ms=1_500)
            assert answered
            assert response.status == 200
            assert COMPLETE_STREAM.startswith(response.body)
            assert not response.is_complete or response.body == COMPLETE_STREAM

"""Tests of HTTP exchanges against raw sockets: bytes sent, number of sends, reported outcome."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
from typing import TYPE_CHECKING

import pytest
import result

from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

OPENERS = {"pooled": sessions.open_pooled, "unpooled": sessions.open_unpooled}
"""Functions that open a session, by name."""


class RawServer:
    """Server that records request heads and sends prepared responses, then closes."""

    def __init__(self, responses: list[bytes]) -> None:
        """Create the server; requests beyond the given responses get none."""
        self._responses = responses
        self.heads: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until no response is left."""
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                if not self._responses:
                    break
                writer.write(self._responses.pop(0))
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def raw_server(server: RawServer) -> AsyncIterator[str]:
    """Run the server and yield its address as `ip:port`."""
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    async with listener:
        yield f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"


@pytest.mark.asyncio
@pytest.mark.parametrize("opener", OPENERS)
@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
async def test_a_request_without_a_response_is_sent_once(opener: str, method: str) -> None:
    server = RawServer([])
    async with raw_server(server) as address, OPENERS[opener]() as session:
        body = b"{}" if method != "GET" else None
        request = exchange.Request(method, f"http://{address}/x", body)
        outcome = await exchange.exchange(session, request, timeout_seconds=5)
        assert isinstance(outcome.err(), exchange.OutcomeUnknown)
    assert len(server.heads) == 1


@pytest.mark.asyncio
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
async def test_a_request_on_a_reused_connection_is_sent_once(method: str) -> None:
    server = RawServer([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"])
    async with raw_server(server) as address, sessions.open_pooled() as session:
        request = exchange.Request(method, f"http://{address}/x")
        first = await exchange.exchange(session, request, timeout_seconds=5)
        assert isinstance(first, result.Ok)
        second = await exchange.exchange(session, request, timeout_seconds=5)
        assert isinstance(second.err(), exchange.OutcomeUnknown)
    assert len(server.heads) == 2


@pytest.mark.asyncio
async def test_a_redirect_is_not_followed() -> None:
    server = RawServer([b"HTTP/1.1 307 Go\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n"])
    async with raw_server(server) as address, sessions.open_unpooled() as session:
        request = exchange.Request("POST", f"http://{address}/x", b"{}")
        outcome = await exchange.exchange(session, request, timeout_seconds=5)
        assert outcome.unwrap().status == 307
    assert len(server.heads) == 1


@pytest.mark.asyncio
@pytest.mark.parametrize("opener", OPENERS)
async def test_a_refused_connection_means_not_executed(opener: str) -> None:
    async with raw_server(RawServer([])) as address:
        pass
    async with OPENERS[opener]() as session:
        request = exchange.Request("PUT", f"http://{address}/x", b"{}")
        outcome = await exchange.exchange(session, request, timeout_seconds=5)
    error = outcome.err()
    assert isinstance(error, exchange.NotExecuted)
    assert error.cause is exchange.Cause.UNREACHABLE


STATUSES = [
    (b"200 OK", None),
    (b"400 No", exchange.NotExecuted),
    (b"412 No", exchange.NotExecuted),
    (b"429 No", exchange.NotExecuted),
    (b"500 No", exchange.OutcomeUnknown),
    (b"502 No", exchange.OutcomeUnknown),
    (b"503 No", exchange.NotExecuted),
    (b"504 No", exchange.OutcomeUnknown),
]
"""Status line of a response and the expected type of the error; None for a success."""


@pytest.mark.asyncio
@pytest.mark.parametrize(("status", "error_type"), STATUSES)
async def test_status_decides_between_not_executed_and_unknown(
    status: bytes, error_type: type | None
) -> None:
    head = b"HTTP/1.1 " + status + b"\r\nRetry-After: 2.5\r\nContent-Length: 2\r\n\r\n{}"
    async with raw_server(RawServer([head])) as address, sessions.open_unpooled() as session:
        request = exchange.Request("GET", f"http://{address}/x")
        outcome = await exchange.exchange_json(session, request, dict, timeout_seconds=5)
    error = outcome.err()
    assert (error_type is None) == (error is None)
    assert error_type is None or isinstance(error, error_type)
    if isinstance(error, exchange.NotExecuted):
        assert error.retry_after_seconds == 2.5


async def _exchange_with_short_timeout(
    session: aiohttp.ClientSession, address: str
) -> exchange.ExchangeError | None:
    request = exchange.Request("GET", f"http://{address}/x")
    return (await exchange.exchange(session, request, timeout_seconds=0.05)).err()


@pytest.mark.asyncio
async def test_a_response_timeout_is_an_unknown_outcome() -> None:
    release = asyncio.Event()

    async def serve_nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.close()

    listener = await asyncio.start_server(serve_nothing, "127.0.0.1", 0)
    async with listener, sessions.open_unpooled() as session:
        port = listener.sockets[0].getsockname()[1]
        error = await _exchange_with_short_timeout(session, f"127.0.0.1:{port}")
        release.set()
    assert isinstance(error, exchange.OutcomeUnknown)
    assert error.cause is exchange.Cause.TIMEOUT


@pytest.mark.asyncio
async def test_an_invalid_header_is_returned_as_an_error_and_not_raised() -> None:
    server = RawServer([b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
    headers = (("X-Note", "two\nlines"),)
    async with raw_server(server) as address, sessions.open_unpooled() as session:
        request = exchange.Request("POST", f"http://{address}/x", b"{}", headers)
        error = (await exchange.exchange(session, request, timeout_seconds=5)).err()
    assert isinstance(error, exchange.OutcomeUnknown)
    assert error.cause is exchange.Cause.MALFORMED
    assert server.heads == []


@pytest.mark.asyncio
async def test_headers_and_bodies_are_unchanged_and_cookies_are_not_stored() -> None:
    packed = gzip.compress(b"stock")
    head = f"Content-Encoding: gzip\r\nSet-Cookie: a=b\r\nContent-Length: {len(packed)}\r\n\r\n"
    server = RawServer([b"HTTP/1.1 200 OK\r\n" + head.encode() + packed] * 2)
    async with raw_server(server) as address, sessions.open_pooled() as session:
        request = exchange.Request("POST", f"http://{address}/x", b"", (("X-Note", "1"),))
        for _ in range(2):
            response = (await exchange.exchange(session, request, timeout_seconds=5)).unwrap()
            assert response.body == packed
            assert ("Content-Encoding", "gzip") in response.headers
    for sent in server.heads:
        names = {line.split(b":")[0].lower() for line in sent.split(b"\r\n")[1:] if line}
        assert names == {b"host", b"x-note", b"content-length"}

"""The client side of HTTP/1.1 connections, fed with the bytes of a server."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.fleet import catalog
from dragonflycove.transport import http1

pytestmark = pytest.mark.asyncio

MAX_BODY_BYTES = 1_000_000

MIN_TURNS = 100
"""Turns of the event loop that other tasks get while ten thousand chunks are read."""

SENDING_SECONDS = 0.2
"""Time for which a server sends to a connection that nobody reads."""

REQUEST = http1.Request(b"GET", b"/x", ((b"host", b"x"),), b"")

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"


class UnreadTransport(asyncio.Transport):
    """Takes all bytes that are written to it."""

    def write(self, data: bytes) -> None:
        """Drop bytes."""

    def get_write_buffer_size(self) -> int:
        """Return that nothing waits to be written."""
        return 0

    def is_closing(self) -> bool:
        """Return that the connection is open."""
        return False

    def abort(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


def connect() -> tuple[http1.Connection, asyncio.StreamReader]:
    """Return a connection on which a request was sent, and the stream of its server's bytes."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    writer = asyncio.StreamWriter(UnreadTransport(), protocol, reader, loop)
    connection = http1.Connection(reader, writer)
    connection.send(REQUEST)
    return connection, reader


async def test_a_body_of_small_chunks_does_not_keep_other_tasks_waiting() -> None:
    """A server's small chunks kept the event loop of its caller for seconds."""
    connection, reader = connect()
    chunks = 10_000
    reader.feed_data(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * chunks)
    reader.feed_data(b"0\r\n\r\n")
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    counting = asyncio.ensure_future(count_turns())
    read = await connection.read_response(MAX_BODY_BYTES)
    counting.cancel()
    assert read.unwrap()[1] == b"x" * chunks
    assert turns >= MIN_TURNS


WHOLE_BY_FRAMING = {
    "length": HEAD + b"Content-Length: 5\r\n\r\nwhole",
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
    "trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-A: b\r\n\r\n",
    "no_content": b"HTTP/1.1 204 No Content\r\nX-Server-Stamp: s\r\n\r\n",
    "not_modified": b"HTTP/1.1 304 Not Modified\r\nX-Server-Stamp: s\r\nContent-Length: 5\r\n\r\n",
    "informational": b"HTTP/1.1 102 Processing\r\n\r\n" + HEAD + b"Content-Length: 5\r\n\r\nwhole",
    "bare_line_feeds": (HEAD + b"Content-Length: 5\r\n\r\nwhole").replace(b"\r\n", b"\n"),
    "length_last": HEAD + b"X-A: b\r\nContent-Length: 5\r\n\r\nwhole",
}
"""Complete responses by how their end is known."""


def end_input(reader: asyncio.StreamReader, *, is_reset: bool) -> None:
    """Let a server end its connection."""
    if is_reset:
        reader.set_exception(ConnectionResetError())
    else:
        reader.feed_eof()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("framing", WHOLE_BY_FRAMING)
async def test_a_response_that_is_cut_anywhere_is_not_complete(
    framing: str, is_reset: bool
) -> None:
    whole = WHOLE_BY_FRAMING[framing]
    for size in range(len(whole)):
        connection, reader = connect()
        reader.feed_data(whole[:size])
        await asyncio.sleep(0)
        end_input(reader, is_reset=is_reset)
        read = await connection.read_response(MAX_BODY_BYTES)
        assert read.is_err(), whole[:size]
        assert not connection.completed_responses
    connection, reader = connect()
    reader.feed_data(whole)
    read = await connection.read_response(MAX_BODY_BYTES)
    assert read.unwrap()[1] in (b"whole", b"")


@pytest.mark.parametrize("is_reset", [False, True])
async def test_a_response_without_length_is_complete_only_if_its_connection_is_closed(
    is_reset: bool,
) -> None:
    whole = HEAD + b"\r\nwhole"
    for size in range(len(whole) + 1):
        connection, reader = connect()
        reader.feed_data(whole[:size])
        end_input(reader, is_reset=is_reset)
        read = await connection.read_response(MAX_BODY_BYTES)
        is_head_whole = size >= len(HEAD) + 2
        assert read.is_ok() == (is_head_whole and not is_reset), whole[:size]


async def test_a_head_with_thousands_of_headers_is_malformed() -> None:
    connection, reader = connect()
    reader.feed_data(HEAD + b"".join(b"h%x:\r\n" % number for number in range(8_000)) + b"\r\n")
    assert (await connection.read_head()).unwrap_err() is http1.ReadFailure.MALFORMED


async def test_an_unread_connection_buffers_little() -> None:
    """Idle connections and those of slow callers buffered hundreds of kilobytes each."""

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(b"x" * 65_536)
            await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        address = catalog.Address("127.0.0.1", server.sockets[0].getsockname()[1])
        connection = (await http1.Connection.open(address, 1.0)).unwrap()
        await asyncio.sleep(SENDING_SECONDS)
        buffered = len(connection._reader._buffer)  # type: ignore[attr-defined]  # noqa: SLF001
        connection.close()
    assert 0 < buffered <= 3 * http1.RESPONSE_READ_BYTES

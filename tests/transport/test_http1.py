"""The client side of HTTP/1.1 connections, fed with the bytes of a server."""

from __future__ import annotations

import asyncio

import pytest

from dragonflycove.transport import http1

pytestmark = pytest.mark.asyncio

MAX_BODY_BYTES = 1_000_000

MIN_TURNS = 100
"""Turns of the event loop that other tasks get while ten thousand chunks are read."""

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

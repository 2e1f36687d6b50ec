"""One HTTP/1.1 connection to a server, above the h11 parser.

The connection tells what was written and what was read, which an HTTP client library hides and
which decides whether a request may be sent again.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from typing import TYPE_CHECKING, NamedTuple

import h11
import result

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

READ_BYTES = 65_536
"""Bytes asked of a socket at once."""

HEAD_BYTES = 65_536
"""Longest head of an answer that is parsed."""

USER_TIMEOUT_MS = 4_000
"""Time without an acknowledgement after which the kernel gives a connection up, milliseconds."""

KEEPALIVE_IDLE_SECONDS = 2
"""Idle time after which the kernel probes a connection, seconds."""

_TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
"""The option's number on Linux, where the module lacks the name."""


class Broken(enum.Enum):
    """How a connection ended before the whole answer."""

    CLOSED = "closed"
    """The other end closed or reset the connection."""

    MALFORMED = "malformed"
    """What came is no answer in the protocol."""


class Head(NamedTuple):
    """Status line and headers of an answer."""

    status: int
    """Status code."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers in their order; names in lower case."""

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a name.

        Args:
            name: The name in lower case.

        Returns:
            Its value; None if it is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Request(NamedTuple):
    """A request to send."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers, framing included."""

    body: bytes
    """Body; empty if there is none."""


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Bound the time for which a connection to an unreachable host hangs.

    Args:
        writer: Writer of the connection.
    """
    raw = writer.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):  # Only affects how soon a dead peer is noticed.
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take over an open connection.

        Args:
            reader: Its reading end.
            writer: Its writing end.
        """
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self._write_task: asyncio.Task[None] | None = None
        self._request: Request | None = None
        self.idle_since = 0.0
        """Loop time at which the last answer was complete."""
        self.idle_timeout_seconds: float | None = None
        """Seconds that the server keeps the connection open while idle; None if not told."""
        self.completed_responses = 0
        """Answers that were read to their end."""

    @classmethod
    async def open(
        cls, address: catalog.Address, connect_seconds: float
    ) -> result.Result[Connection, str]:
        """Open a connection.

        Args:
            address: Where the server listens.
            connect_seconds: Longest wait, seconds.

        Returns:
            The connection, or why there is none.
        """
        try:
            async with asyncio.timeout(connect_seconds):
                reader, writer = await asyncio.open_connection(address.ip, address.port)
        except TimeoutError:
            return result.Err("connect_timeout")
        except OSError as error:
            return result.Err(f"connect_failed: {error.strerror or error}")
        set_socket_options(writer)
        return result.Ok(cls(reader, writer))

    def send(self, request: Request) -> None:
        """Begin to write a request; the answer may be read before all of it is written.

        Args:
            request: The request.
        """
        self._request = request
        self._writer.write(self._encode(request))
        self._write_task = asyncio.ensure_future(self._drain())

    def _encode(self, request: Request) -> bytes:
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        data = self._parser.send(head) or b""
        if request.body:
            data += self._parser.send(h11.Data(data=request.body)) or b""
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _drain(self) -> None:
        # An error while writing also ends the reading side, which reports it.
        with contextlib.suppress(OSError):
            await self._writer.drain()

    @property
    def is_written(self) -> bool:
        """Whether the whole request has left the process's buffer."""
        transport = self._writer.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    async def read_head(self) -> result.Result[Head, Broken]:
        """Read the head of the next answer.

        Returns:
            The head, or how the connection ended.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, Broken):
                return result.Err(event)
            if isinstance(event, h11.Response):
                return result.Ok(Head(event.status_code, tuple(event.headers)))
            if not isinstance(event, h11.InformationalResponse):
                return result.Err(Broken.CLOSED)

    async def read_body_chunk(self) -> result.Result[bytes, Broken] | None:
        """Read the next piece of the answer's body.

        Returns:
            The piece or how the connection ended; None at the end of a complete answer.
        """
        event = await self._next_event()
        if isinstance(event, Broken):
            return result.Err(event)
        if isinstance(event, h11.Data):
            return result.Ok(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self.completed_responses += 1
            self.idle_since = asyncio.get_running_loop().time()
            return None
        return result.Err(Broken.CLOSED)

    async def read_response(self) -> result.Result[tuple[Head, bytes], Broken]:
        """Read an answer to its end.

        Returns:
            Its head and body, or how the connection ended.
        """
        head = await self.read_head()
        if isinstance(head, result.Err):
            return head
        pieces = []
        while (piece := await self.read_body_chunk()) is not None:
            if isinstance(piece, result.Err):
                return piece
            pieces.append(piece.ok_value)
        return result.Ok((head.ok_value, b"".join(pieces)))

    def expect_another_response(self) -> bool:
        """Wait for another answer to the same request, after one of an earlier request.

        Returns:
            Whether the connection can still bring one.
        """
        if self._request is None or not self._can_go_on():
            return False
        self._parser.start_next_cycle()
        self._encode(self._request)  # Only moves the parser to where it expects an answer.
        return True

    def _can_go_on(self) -> bool:
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def prepare_for_reuse(self) -> bool:
        """Make the connection ready for another request.

        Returns:
            Whether it can carry one: all was written and read, and nothing came in excess.
        """
        if not self._can_go_on() or not self.is_written or not self.is_idle():
            return False
        self._parser.start_next_cycle()
        return True

    def is_idle(self) -> bool:
        """Whether the connection is open and holds no bytes that nobody asked for."""
        excess, at_end = self._parser.trailing_data
        if excess or at_end or self._writer.is_closing():
            return False
        # StreamReader has no public way to look at what has arrived.
        return not self._reader.at_eof() and not self._reader._buffer  # type: ignore[attr-defined]

    def close(self) -> None:
        """Close the connection at once; what is not written yet is dropped."""
        if self._write_task is not None:
            self._write_task.cancel()
        self._writer.transport.abort()

    async def _next_event(self) -> h11.Event | Broken:
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return Broken.MALFORMED
            if event is h11.NEED_DATA:
                try:
                    data = await self._reader.read(READ_BYTES)
                except OSError:
                    return Broken.CLOSED
                try:
                    self._parser.receive_data(data)
                except RuntimeError:
                    return Broken.CLOSED
            elif event is h11.PAUSED:
                return Broken.MALFORMED
            else:
                return event  # type: ignore[return-value]

"""Client side of an HTTP/1.1 connection, on top of the h11 parser.

Unlike HTTP client libraries, it exposes how much of a request was written and of a response was
read, which decides whether the request may be sent again.
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
    from collections.abc import Callable

    from dragonflycove.fleet import catalog

READ_BYTES = 65_536
"""Maximum bytes per read from a socket."""

RESPONSE_READ_BYTES = 16_384
"""Maximum bytes of a response that are parsed in one turn of the event loop."""

UNREAD_BYTES = 32_768
"""Bytes that are taken from a socket at once, and half of what is taken before it is read."""

MAX_EVENTS_PER_TURN = 64
"""Maximum parts of a response, such as chunks, that are parsed in one turn of the event loop."""

MAX_HEAD_BYTES = 65_536
"""Maximum size of a response's status line and headers."""

MAX_HEADERS = 256
"""Maximum number of a response's headers; parsed, short ones take twenty times their size."""

WRITE_PIECE_BYTES = 65_536
"""Bytes of a body that are passed to the transport at once."""

MAX_INFORMATIONAL_RESPONSES = 16
"""Informational (1xx) responses that may precede a response."""

TCP_USER_TIMEOUT_MS = 4_000
"""Time that sent data may stay unacknowledged before the kernel closes the connection."""

KEEPALIVE_IDLE_SECONDS = 2
"""Idle time after which the kernel sends keep-alive probes."""

_TCP_USER_TIMEOUT_OPTION = getattr(socket, "TCP_USER_TIMEOUT", 18)
"""Socket option; 18 is its number on Linux, for builds of Python without the constant."""


class ReadFailure(enum.Enum):
    """Why a complete response could not be read."""

    CLOSED = "closed"
    """The server closed or reset the connection."""

    MALFORMED = "malformed"
    """The server sent bytes that are not a valid HTTP response."""

    TOO_LONG = "too_long"
    """The body is longer than the caller of the method takes."""


class Head(NamedTuple):
    """Status and headers of a response."""

    status: int
    """HTTP status code."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers in the order received; names in lower case."""

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with a name.

        Args:
            name: Name of the header in lower case.

        Returns:
            The value; None if there is no such header.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Request(NamedTuple):
    """A request to send."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Path and query, the request target."""

    headers: tuple[tuple[bytes, bytes], ...]
    """All headers, including `Host` and `Content-Length`."""

    body: bytes
    """Body; empty for a request without one."""


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Set TCP timeouts so that a connection to an unreachable host fails within seconds.

    Also disables Nagle's algorithm.

    Args:
        writer: Writer of the connection.
    """
    raw = writer.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):  # Optional: without them, a lost host is detected later.
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, _TCP_USER_TIMEOUT_OPTION, TCP_USER_TIMEOUT_MS)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)


def limit_unsent_bytes(writer: asyncio.StreamWriter, size: int) -> None:
    """Bound the bytes in the kernel that are not sent yet; those in flight are not concerned.

    The kernel's send buffer grows to megabytes, which hides whether a peer reads.

    Args:
        writer: Writer of the connection.
        size: The bound.
    """
    raw = writer.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):  # The connection may have ended.
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)


class Connection:
    """An HTTP/1.1 client connection that carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take over an open connection.

        Args:
            reader: Stream from the server.
            writer: Stream to the server.
        """
        self._reader = reader
        self._writer = writer
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._write_task: asyncio.Task[None] | None = None
        self._request: Request | None = None
        self._events_in_turn = 0
        self.idle_since = 0.0
        """Loop time at which the last response was complete; 0 before the first response."""
        self.idle_timeout_seconds: float | None = None
        """How long the server keeps the connection open while idle; None if not given.

        Set by the connection's user from a response's `Keep-Alive` header.
        """
        self.completed_responses = 0
        """Number of responses that were read to their end."""
        self.refused_request_ids: set[str] = set()
        """Ids of requests that the server has refused on it, and may refuse once more unasked."""
        self.on_informational: Callable[[Head], None] | None = None
        """Called with each informational (1xx) response; None if they are ignored."""

    @classmethod
    async def open(
        cls,
        address: catalog.Address,
        connect_timeout_seconds: float,
        source_ip: str | None = None,
    ) -> result.Result[Connection, str]:
        """Open a connection.

        Args:
            address: Address of the server.
            connect_timeout_seconds: Timeout for connecting.
            source_ip: Local IP address to connect from; None for the system's choice.

        Returns:
            The connection, or the reason as `connect_timeout` or `connect_failed: ...`.
        """
        try:
            async with asyncio.timeout(connect_timeout_seconds):
                reader, writer = await asyncio.open_connection(
                    address.ip,
                    address.port,
                    local_addr=(source_ip, 0) if source_ip else None,
                    limit=UNREAD_BYTES,
                )
        except TimeoutError:
            return result.Err("connect_timeout")
        except OSError as error:
            return result.Err(f"connect_failed: {error.strerror or error}")
        set_socket_options(writer)
        # asyncio takes up to 256 KiB at once, whatever the reader's limit is.
        writer.transport.max_size = UNREAD_BYTES  # type: ignore[attr-defined]
        return result.Ok(cls(reader, writer))

    def send(self, request: Request) -> None:
        """Start writing a request; the response may be read before all of it is written.

        Args:
            request: The request; the previous exchange must be complete.
        """
        self._request = request
        if len(request.body) <= WRITE_PIECE_BYTES:
            self._writer.write(self._encode(request))
            self._write_task = asyncio.ensure_future(self._flush())
        else:
            self._writer.write(self._encode_head(request))
            self._write_task = asyncio.ensure_future(self._write_body(request.body))

    def _encode_head(self, request: Request) -> bytes:
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        return self._parser.send(head) or b""

    def _encode(self, request: Request) -> bytes:
        data = self._encode_head(request)
        if request.body:
            data += self._parser.send(h11.Data(data=request.body)) or b""
        return data + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _write_body(self, body: bytes) -> None:
        """Write a long body in pieces, so that a slow server's part isn't held twice."""
        # A write error also ends the reading side, where it is reported.
        with contextlib.suppress(OSError):
            for start in range(0, len(body), WRITE_PIECE_BYTES):
                piece = h11.Data(data=body[start : start + WRITE_PIECE_BYTES])
                self._writer.write(self._parser.send(piece) or b"")
                await self._writer.drain()
            self._writer.write(self._parser.send(h11.EndOfMessage()) or b"")
            await self._writer.drain()

    async def _flush(self) -> None:
        # A write error also ends the reading side, where it is reported.
        with contextlib.suppress(OSError):
            await self._writer.drain()

    @property
    def is_write_buffer_empty(self) -> bool:
        """Whether the complete request has been passed to the kernel."""
        transport = self._writer.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    async def read_head(self) -> result.Result[Head, ReadFailure]:
        """Read the head of the next response; informational (1xx) responses precede it.

        Returns:
            The head, or why it could not be read.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, ReadFailure):
                return result.Err(event)
            if isinstance(event, h11.Response):
                if len(event.headers) > MAX_HEADERS:
                    return result.Err(ReadFailure.MALFORMED)
                return result.Ok(Head(event.status_code, tuple(event.headers)))
            if not isinstance(event, h11.InformationalResponse):
                return result.Err(ReadFailure.CLOSED)
            if self.on_informational is not None:
                self.on_informational(Head(event.status_code, tuple(event.headers)))
        return result.Err(ReadFailure.MALFORMED)

    async def read_body_chunk(self) -> result.Result[bytes, ReadFailure] | None:
        """Read the next chunk of the response's body.

        Returns:
            The chunk, or why the response is incomplete; None at the end of a complete response.
        """
        event = await self._next_event()
        if isinstance(event, ReadFailure):
            return result.Err(event)
        if isinstance(event, h11.Data):
            return result.Ok(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self.completed_responses += 1
            self.idle_since = asyncio.get_running_loop().time()
            return None
        return result.Err(ReadFailure.CLOSED)

    async def read_response(
        self, max_body_bytes: int
    ) -> result.Result[tuple[Head, bytes], ReadFailure]:
        """Read a complete response.

        Args:
            max_body_bytes: Maximum size of the body.

        Returns:
            Its head and body, or why it is incomplete.
        """
        head = await self.read_head()
        if isinstance(head, result.Err):
            return head
        body = bytearray()
        while (chunk := await self.read_body_chunk()) is not None:
            if isinstance(chunk, result.Err):
                return chunk
            body += chunk.ok_value
            if len(body) > max_body_bytes:
                return result.Err(ReadFailure.TOO_LONG)
        return result.Ok((head.ok_value, bytes(body)))

    def expect_another_response(self) -> bool:
        """Prepare to read another response to the current request.

        Called when the response just read belongs to an earlier request.

        Returns:
            Whether the connection can still deliver another response.
        """
        if self._request is None or not self._is_exchange_complete():
            return False
        self._parser.start_next_cycle()
        # The bytes are not sent; encoding puts the parser into the state that expects a response.
        self._encode(self._request)
        return True

    def _is_exchange_complete(self) -> bool:
        return self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE

    def prepare_for_reuse(self) -> bool:
        """Prepare the connection for another request after a complete response.

        Returns:
            Whether it can carry one: the request was written, the response was read to its end, and
            no further bytes were received.
        """
        if not self._is_exchange_complete() or not self.is_write_buffer_empty or not self.is_idle():
            return False
        self._parser.start_next_cycle()
        return True

    def is_idle(self) -> bool:
        """Whether the connection is open and has received no bytes beyond the last response."""
        unexpected_data, at_end = self._parser.trailing_data
        if unexpected_data or at_end or self._writer.is_closing():
            return False
        # StreamReader has no public method to check for buffered data.
        return not self._reader.at_eof() and not self._reader._buffer  # type: ignore[attr-defined]

    def close(self) -> None:
        """Close the connection immediately and discard unwritten data."""
        if self._write_task is not None:
            self._write_task.cancel()
        self._writer.transport.abort()

    async def _next_event(self) -> h11.Event | ReadFailure:
        self._events_in_turn += 1
        if self._events_in_turn > MAX_EVENTS_PER_TURN:
            # Reading doesn't suspend while bytes are buffered.
            self._events_in_turn = 1
            await asyncio.sleep(0)
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return ReadFailure.MALFORMED
            if event is h11.NEED_DATA:
                try:
                    data = await self._reader.read(RESPONSE_READ_BYTES)
                except OSError:
                    return ReadFailure.CLOSED
                try:
                    self._parser.receive_data(data)
                except RuntimeError:
                    return ReadFailure.CLOSED
            elif event is h11.PAUSED:
                return ReadFailure.MALFORMED
            else:
                return event  # type: ignore[return-value]

"""Reads a caller's connection from its opening to its end, one request after the other."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import select
from typing import TYPE_CHECKING

import h11

from dragonflycove.gateway import caller_outputs
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import catalog

MAX_PIPELINED_BYTES = 262_144
"""Bytes of pipelined requests after which no more are read while one is served."""

MAX_LISTENER_PIPELINED_BYTES = 4_194_304
"""The same on all connections of a listener together."""

CLOSE_POLL_SECONDS = 0.1
"""Interval at which a caller's leaving is looked for once `MAX_PIPELINED_BYTES` were read."""

EXTRA_HEAD_BYTES = 1_024
"""Bytes that a parser may hold beyond the limit of a request's head."""


class _Phase(enum.Enum):
    """How far a request has been read."""

    AWAITED = "awaited"
    """No byte of it has arrived."""

    BEGUN = "begun"
    """It has been read in part."""

    COMPLETE = "complete"
    """It has been read whole, and its response may be written."""


class PipelinedBytes:
    """The bytes that the connections of a listener keep beyond the requests that have begun."""

    def __init__(self) -> None:
        """Create a count without bytes."""
        self.held_bytes = 0
        """Their number."""

    @property
    def has_room(self) -> bool:
        """Whether further bytes may be read while a request is served."""
        return self.held_bytes < MAX_LISTENER_PIPELINED_BYTES


class CallerInput:
    """The only reader of a caller's connection.

    Each request has a parser of its own, from its first byte to the end of its response. Bytes that
    follow a request are kept unparsed until it has been answered.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: Callable[[], catalog.CallerLimits],
        on_read: Callable[[int], None],
        pipelined: PipelinedBytes,
    ) -> None:
        """Take over the reading side of an open connection.

        Args:
            reader: Stream from the caller.
            writer: Stream to the caller; not written to.
            limits: Returns the limits of the configuration in force.
            on_read: Called with the number of bytes of each read.
            pipelined: What all connections of the listener keep.
        """
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._on_read = on_read
        self._pipelined = pipelined
        self._phase = _Phase.AWAITED
        self._parser: h11.Connection | None = None
        self._following = bytearray()
        self.parsed_bytes = 0
        """Bytes of the request that has begun, and of what followed it, that its parser was given."""
        self._is_first = True
        self._max_idle_seconds = 0.0

    @property
    def parser(self) -> h11.Connection:
        """Protocol state of the request that has begun, and of its response."""
        if self._parser is None:
            raise RuntimeError("no request has begun")
        return self._parser

    @property
    def has_begun(self) -> bool:
        """Whether a request has begun and the next one is not awaited yet."""
        return self._phase is not _Phase.AWAITED

    @property
    def has_buffered_bytes(self) -> bool:
        """Whether bytes have been read from the socket that belong to no request that has begun."""
        # StreamReader has no public method to check for buffered data.
        return bool(self._following or self._reader._buffer)  # type: ignore[attr-defined]

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the end of the stream, have arrived and were not parsed."""
        if self.has_buffered_bytes:
            return True
        raw = self._writer.get_extra_info("socket")
        if raw is None or raw.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def wait_for_request(self) -> bool:
        """Wait for the first byte of the next request, once the one before has been answered.

        Returns:
            Whether a request has begun; False if the connection ended or stayed idle too long.

        Raises:
            caller_outputs.CallerGoneError: The caller reset the connection.
        """
        self._phase = _Phase.AWAITED
        self._parser = None
        while not self._drop_empty_lines():
            data = await self._read_some()
            if not data:
                return False
            self._keep(data)
        self._phase = _Phase.BEGUN
        self._is_first = False
        self.parsed_bytes = 0
        max_bytes = self._limits().max_header_bytes + EXTRA_HEAD_BYTES
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)
        self._parse_following()
        return True

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the request that has begun, `NEED_DATA` if `read` must be called.

        Raises:
            h11.RemoteProtocolError: The request is malformed or incomplete.
        """
        event = self.parser.next_event()
        if isinstance(event, h11.EndOfMessage):
            self._phase = _Phase.COMPLETE
            trailing = self.parser.trailing_data[0]
            self._following[:0] = trailing
            self._pipelined.held_bytes += len(trailing)
        return event

    async def read(self) -> None:
        """Read further bytes of the request that has begun.

        Raises:
            caller_outputs.CallerGoneError: The caller reset the connection.
            h11.RemoteProtocolError: The request stayed incomplete for too long.
        """
        if self._following:
            self._parse_following()
            return
        data = await self._read_some()
        if data is None:
            raise h11.RemoteProtocolError("incomplete request", 408)
        self.parsed_bytes += len(data)
        self.parser.receive_data(data)

    def _parse_following(self) -> None:
        """Pass bytes that were read earlier to the parser, as many as one read returns."""
        data = bytes(self._following[: http1.READ_BYTES])
        self.parsed_bytes += len(data)
        self.parser.receive_data(data)
        del self._following[: http1.READ_BYTES]
        self._pipelined.held_bytes -= len(data)

    def _drop_empty_lines(self) -> bool:
        """Drop line ends before a request (RFC 9112, 2.2); returns whether a byte of one is left."""
        stripped = self._following.lstrip(b"\r\n")
        self._pipelined.held_bytes -= len(self._following) - len(stripped)
        self._following = stripped
        return bool(stripped)

    def _keep(self, data: bytes) -> None:
        """Keep bytes until they are parsed."""
        self._following += data
        self._pipelined.held_bytes += len(data)

    def close(self) -> None:
        """Drop what is kept, once the connection has ended."""
        self._pipelined.held_bytes -= len(self._following)
        self._following.clear()

    async def _read_some(self) -> bytes | None:
        """Read bytes, empty at the end of the stream; None on timeout."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        seconds: float | None = self._read_timeout()
        while True:
            try:
                async with asyncio.timeout(seconds) as timer:
                    return await self._read_stream()
            except OSError as error:
                if not timer.expired():
                    raise caller_outputs.CallerGoneError from error
            # The timer may have run late, and the limits may have changed meanwhile.
            seconds = started_at + self._read_timeout() - loop.time()
            if self.has_unread_bytes():
                seconds = None
            elif seconds <= 0:
                return None

    def _read_timeout(self) -> float:
        """Return the timeout of a read, seconds.

        An idle connection has the longest one that was in force since it was opened, as its caller
        may count on it.
        """
        limits = self._limits()
        if self.has_begun:
            return limits.header_timeout_seconds
        self._max_idle_seconds = max(self._max_idle_seconds, limits.idle_seconds)
        if self._is_first:
            return max(self._max_idle_seconds, limits.header_timeout_seconds)
        return self._max_idle_seconds

    async def _read_stream(self) -> bytes:
        data = await self._reader.read(http1.READ_BYTES)
        self._on_read(len(data))
        return data

    async def wait_for_close(self) -> None:
        """Return when the caller closes its side while its request is served.

        Keeps what follows the request. While bytes beyond `MAX_PIPELINED_BYTES` are unread, the end
        of the stream can't be seen.
        """
        with contextlib.suppress(OSError):  # A reset ends the connection as well.
            while True:
                if len(self._following) < MAX_PIPELINED_BYTES and self._pipelined.has_room:
                    data = await self._read_stream()
                    if not data:
                        return
                    self._keep(data)
                elif self._reader.at_eof() or self._reader.exception() is not None:
                    return
                else:
                    await asyncio.sleep(CLOSE_POLL_SECONDS)

    async def discard(self, quiet_seconds: float, max_seconds: float) -> None:
        """Read and discard what the caller still sends after the last response.

        Args:
            quiet_seconds: Time without bytes after which the caller sends no more.
            max_seconds: Time after which nothing more is read in any case.
        """
        with contextlib.suppress(OSError, TimeoutError):  # The connection is closed in any case.
            async with asyncio.timeout(max_seconds):
                while await self._discard_some(quiet_seconds):
                    pass

    async def _discard_some(self, quiet_seconds: float) -> bool:
        """Read bytes and discard them; returns whether there were any."""
        async with asyncio.timeout(quiet_seconds):
            return bool(await self._reader.read(http1.READ_BYTES))

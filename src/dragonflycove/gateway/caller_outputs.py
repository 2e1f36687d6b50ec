"""Writes bytes to callers, at the pace at which they read."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Protocol

from dragonflycove.fleet.memory import byte_account
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from dragonflycove.gateway import held_bytes

WRITE_TIMEOUT_SECONDS = 10.0
"""Timeout of a write to a caller that doesn't read; callers give up before that."""

PIECE_BYTES = 65_536
"""Bytes that are passed to a transport at once."""


class CallerGoneError(Exception):
    """The caller disconnected or stopped reading, so the response can't be written."""


class Output(Protocol):
    """Where a response's bytes are written."""

    @property
    def is_written(self) -> bool:
        """Whether all bytes that were written have left the output."""
        ...

    async def write(self, data: bytes, *, is_counted: bool) -> None:
        """Write bytes of a response.

        Args:
            data: The bytes.
            is_counted: Whether the account of held bytes counts them already.

        Raises:
            CallerGoneError: The caller disconnected or stopped reading.
        """
        ...

    async def flush(self) -> None:
        """Wait until all bytes have left the output.

        Raises:
            CallerGoneError: The caller disconnected or stopped reading.
        """
        ...

    def close(self) -> None:
        """Discard what has not left the output."""
        ...


class DirectOutput:
    """Passes bytes to the transport, and waits while its buffer is full."""

    is_written = True
    """Whether all bytes that were written have left the output."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Create an output.

        Args:
            writer: Writer of the caller's connection.
        """
        self._writer = writer

    async def write(self, data: bytes, *, is_counted: bool) -> None:
        """Write bytes; see `Output`."""
        if self._writer.is_closing():
            raise CallerGoneError
        self._writer.write(data)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await self._writer.drain()
        except (OSError, TimeoutError) as error:
            raise CallerGoneError from error

    async def flush(self) -> None:
        """Return at once; the transport holds no more than its limit."""

    def close(self) -> None:
        """Do nothing; the transport is closed with its connection."""


class SpooledOutput:
    """Takes bytes within the account of held bytes, and passes them on as the caller reads.

    Bytes for which the socket has room are passed on at once.
    """

    def __init__(self, writer: asyncio.StreamWriter, held: held_bytes.HeldConnection) -> None:
        """Create an output without bytes.

        Args:
            writer: Writer of the caller's connection.
            held: What the connection holds.
        """
        self._writer = writer
        self._held = held
        self._pieces: collections.deque[memoryview] = collections.deque()
        self._queued_bytes = 0
        self._charged_bytes = 0
        self._last_unwritten_bytes = 0
        self._is_charging = False
        self._pump_task: asyncio.Task[None] | None = None
        writer.transport.set_write_buffer_limits(high=0)
        http1.limit_unsent_bytes(writer, PIECE_BYTES)
        held.on_tick = self.refresh

    @property
    def is_written(self) -> bool:
        """Whether all bytes that were written have been passed to the kernel."""
        return not self._unwritten_bytes()

    def _unwritten_bytes(self) -> int:
        return self._queued_bytes + self._writer.transport.get_write_buffer_size()

    async def write(self, data: bytes, *, is_counted: bool) -> None:
        """Write bytes; see `Output`. Waits while the account has no room for them."""
        self._check_open()
        is_charged = is_counted
        if not is_counted and not (self.is_written and len(data) <= PIECE_BYTES):
            is_charged = await self._charge(len(data))
        view = memoryview(data)
        if self.is_written:
            self._writer.write(view[:PIECE_BYTES])
            view = view[PIECE_BYTES:]
        for start in range(0, len(view), PIECE_BYTES):
            self._pieces.append(view[start : start + PIECE_BYTES])
        self._queued_bytes += len(view)
        self._last_unwritten_bytes += len(data)
        self.refresh()
        if self.is_written:
            return
        if self._pump_task is None:
            self._held.await_caller(byte_account.Use.RESPONSE)
            self._pump_task = asyncio.ensure_future(self._pump())
        if not is_charged:
            # Only what a slow caller leaves needs room, so that others' bytes delay no event.
            await self._charge(self._unwritten_bytes() - self._charged_bytes)
            self.refresh()

    async def _charge(self, size: int) -> bool:
        """Wait for room; returns False if the caller has taken all that was written meanwhile."""
        self._is_charging = True
        try:
            is_granted = await self._held.take(size, byte_account.Use.RESPONSE)
        finally:
            self._is_charging = False
        self._check_open()
        if is_granted:
            self._charged_bytes += size
        elif not self.is_written:
            raise CallerGoneError
        return is_granted

    def _check_open(self) -> None:
        if self._writer.is_closing():
            raise CallerGoneError

    def refresh(self) -> None:
        """Free the bytes that the caller has taken since the last call."""
        unwritten = self._unwritten_bytes()
        if unwritten < self._last_unwritten_bytes:
            self._held.await_caller(byte_account.Use.RESPONSE if unwritten else None)
        self._last_unwritten_bytes = unwritten
        if self._is_charging and not unwritten:
            self._held.stop_waiting()
        if self._charged_bytes > unwritten:
            self._held.release(self._charged_bytes - unwritten)
            self._charged_bytes = unwritten

    async def _pump(self) -> None:
        """Pass pieces on until none is left."""
        while True:
            await self._writer.drain()
            self._check_open()
            self.refresh()
            if not self._pieces:
                self._pump_task = None
                return
            piece = self._pieces.popleft()
            self._queued_bytes -= len(piece)
            self._writer.write(piece)

    async def flush(self) -> None:
        """Wait until all bytes have been passed to the kernel; see `Output`."""
        if self._pump_task is None:
            return
        try:
            await self._pump_task
        except OSError as error:
            raise CallerGoneError from error

    def close(self) -> None:
        """Discard what has not been passed to the kernel, at the end of the request."""
        self._held.on_tick = None
        self._pieces.clear()
        self._queued_bytes = 0
        task, self._pump_task = self._pump_task, None
        if task is None:
            return
        if not task.done():
            task.cancel()
        elif not task.cancelled():
            # The caller is gone, which the connection notices as well.
            task.exception()

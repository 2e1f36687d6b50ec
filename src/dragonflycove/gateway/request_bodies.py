"""Collects the body of a caller's request, within the account of held bytes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from dragonflycove.fleet.memory import byte_account
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.gateway import held_bytes


class BytesRefusedError(Exception):
    """The account of held bytes has no room for a request, which was not read whole."""

    def __init__(self, head: h11.Request, size: int) -> None:
        """Create an error.

        Args:
            head: Head of the request.
            size: Bytes of its body as far as known.
        """
        super().__init__(size)
        self.head = head
        """Head of the request."""
        self.size = size
        """Bytes of its body as far as known."""


class RequestBody:
    """The body of one request, as far as it has arrived."""

    def __init__(
        self, max_bytes: Callable[[], int], held: held_bytes.HeldConnection | None
    ) -> None:
        """Create an empty body.

        Args:
            max_bytes: Returns the limit of its size in force.
            held: What the connection holds; None if that is not accounted for.
        """
        self._max_bytes = max_bytes
        self._held = held
        self._head: h11.Request | None = None
        self._data = bytearray()
        self._granted_bytes = 0
        self.begun_at = float("inf")
        """Loop time at which the head was read; inf before."""

    async def begin(self, head: h11.Request) -> None:
        """Wait for room for the body; a declared length is counted as a whole.

        Args:
            head: Head of the request.

        Raises:
            BytesRefusedError: There is no room.
            h11.RemoteProtocolError: The declared length exceeds the limit.
        """
        self._head = head
        self.begun_at = asyncio.get_running_loop().time()
        declared = dict(head.headers).get(b"content-length")
        if declared is not None:
            self._check_size(int(declared))
        if self._held is None:
            return
        self._held.begin_request(head.headers)
        if declared is not None:
            await self._reserve(int(declared))
        elif b"transfer-encoding" in dict(head.headers):
            await self._reserve(http1.READ_BYTES)

    async def add(self, data: bytes) -> None:
        """Append bytes that have arrived, and wait for room for the next ones.

        Args:
            data: The bytes.

        Raises:
            BytesRefusedError: There is no room.
            h11.RemoteProtocolError: The body exceeds the limit.
        """
        self._data += data
        self._check_size(len(self._data))
        if self._granted_bytes < len(self._data):
            await self._reserve(len(self._data) + http1.READ_BYTES)

    def on_read(self) -> None:
        """Record that further bytes of the body are awaited from now on."""
        if self._held is not None and self._head is not None:
            self._held.await_caller(byte_account.Use.REQUEST)

    def take(self) -> bytes:
        """Return the complete body."""
        if self._held is not None and self._granted_bytes:
            self._held.await_caller(None)
            self._held.release(self._granted_bytes - len(self._data))
        return bytes(self._data)

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes():
            raise h11.RemoteProtocolError("body too large", 413)

    async def _reserve(self, size: int) -> None:
        """Wait until a number of bytes is granted."""
        if self._held is None or self._head is None or size <= self._granted_bytes:
            return
        if not await self._held.take(size - self._granted_bytes, byte_account.Use.REQUEST):
            raise BytesRefusedError(self._head, size)
        self._granted_bytes = size

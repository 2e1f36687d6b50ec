"""The connection to one other node: confirmed sending, and a fresh connection on silence."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, NamedTuple

import websockets
from websockets.asyncio import client

from dragonflycove.peering import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.asyncio import connection as ws_connection

CONNECT_SECONDS = 1.5
"""Bound on making a connection, seconds."""

CONFIRMATION_TIMEOUT_SECONDS = 1.5
"""Bound on confirming what was sent; after it the connection counts as silent, seconds."""

MAX_OUTBOX_FRAMES = 256
"""Most frames that wait for one node; the oldest gives way."""

MAX_BATCH_FRAMES = 32
"""Most frames sent before a confirmation is awaited."""

IDLE_SECONDS = 30.0
"""Time without a frame to send after which a connection is closed, seconds."""


class LinkCounts(NamedTuple):
    """What became of a batch."""

    delivered: int
    """Frames that were confirmed."""

    lost: int
    """Frames that were given up."""

    reconnections: int
    """Connections that were made because the one in use was silent or broken."""


class PeerLink:
    """Sends frames to one node, each at least once or not at all.

    A frame may arrive twice where a connection breaks before the confirmation, so that messages
    between nodes have to bear repetition.
    """

    def __init__(
        self,
        address: str,
        adopt: Callable[[ws_connection.Connection], None],
        count: Callable[[LinkCounts], None],
    ) -> None:
        """Create a link without a connection.

        Args:
            address: The node, `a.b.c.d:port`.
            adopt: Told of each connection made, to read from it.
            count: Told what became of each batch.
        """
        self.address = address
        """The node, `a.b.c.d:port`."""
        self._adopt = adopt
        self._count = count
        self._outbox: collections.deque[bytes] = collections.deque()
        self._filled = asyncio.Event()
        self._connection: ws_connection.Connection | None = None

    def post(self, data: bytes) -> None:
        """Leave a frame to be sent.

        Args:
            data: The encoded frame.
        """
        if len(self._outbox) >= MAX_OUTBOX_FRAMES:
            self._outbox.popleft()
            self._count(LinkCounts(0, 1, 0))
        self._outbox.append(data)
        self._filled.set()

    def use_inbound(self, connection: ws_connection.Connection) -> None:
        """Send over a connection that the other node made, if there is none.

        Args:
            connection: The connection.
        """
        if self._connection is None:
            self._connection = connection

    async def run(self) -> None:
        """Send until cancelled."""
        try:
            while True:
                await self._wait_filled()
                batch = self._take_batch()
                if batch:
                    self._count(await self._deliver(batch))
        finally:
            self._drop()

    async def _wait_filled(self) -> None:
        if self._outbox:
            return
        self._filled.clear()
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                await self._filled.wait()
        except TimeoutError:
            self._drop()

    def _take_batch(self) -> list[bytes]:
        count = min(MAX_BATCH_FRAMES, len(self._outbox))
        return [self._outbox.popleft() for _ in range(count)]

    async def _deliver(self, batch: list[bytes]) -> LinkCounts:
        had_connection = self._connection is not None
        if had_connection and await self._try(batch):
            return LinkCounts(len(batch), 0, 0)
        # The path may only have lost track of the old connection.
        if await self._connect() and await self._try(batch):
            return LinkCounts(len(batch), 0, int(had_connection))
        return LinkCounts(0, len(batch), int(had_connection))

    async def _connect(self) -> bool:
        self._drop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                self._connection = await client.connect(
                    f"ws://{self.address}/",
                    max_size=messages.MAX_FRAME_BYTES,
                    compression=None,
                    proxy=None,
                    close_timeout=CONFIRMATION_TIMEOUT_SECONDS,
                )
        except (OSError, TimeoutError, websockets.WebSocketException):
            return False
        self._adopt(self._connection)
        return True

    async def _try(self, batch: list[bytes]) -> bool:
        """Send a batch, and wait until the other end confirms it by answering a ping."""
        connection = self._connection
        if connection is None:
            return False
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_SECONDS):
                for data in batch:
                    await connection.send(data)
                confirmed = await connection.ping()
                await confirmed
        except (OSError, TimeoutError, websockets.WebSocketException):
            self._drop()
            return False
        return True

    def _drop(self) -> None:
        if self._connection is not None:
            # A closing handshake would wait for an answer that a silent connection never gives.
            self._connection.transport.abort()
            self._connection = None

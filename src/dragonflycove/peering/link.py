"""Sends frames to another node, with confirmation and one retry on a new connection."""

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

CONNECT_TIMEOUT_SECONDS = 1.5
"""Timeout for opening a connection."""

CONFIRMATION_TIMEOUT_SECONDS = 1.5
"""Timeout for sending a batch and receiving its confirmation; then the connection is aborted."""

MAX_OUTBOX_FRAMES = 256
"""Maximum number of frames queued for one node; beyond it the oldest is dropped."""

MAX_BATCH_FRAMES = 32
"""Maximum number of frames sent before waiting for a confirmation."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Time without a frame to send after which the connection is closed."""


class LinkCounts(NamedTuple):
    """Amounts to add to the link's counters after a batch or a dropped frame."""

    delivered: int
    """Frames confirmed by the other node."""

    lost: int
    """Frames dropped or sent without confirmation."""

    reconnections: int
    """Attempts to replace a connection that was unresponsive or closed."""


class PeerLink:
    """Sends queued frames to one node in batches.

    A frame may be lost, or arrive twice if a connection fails before the confirmation, so messages
    between nodes must be idempotent.
    """

    def __init__(
        self,
        address: str,
        on_connection: Callable[[ws_connection.Connection], None],
        on_counts: Callable[[LinkCounts], None],
    ) -> None:
        """Create a link; it connects when `run` has a frame to send.

        Args:
            address: Address of the node, `a.b.c.d:port`.
            on_connection: Called with each connection that the link opens, to read from it.
            on_counts: Called with the counts of each batch and each dropped frame.
        """
        self.address = address
        """Address of the node, `a.b.c.d:port`."""
        self._on_connection = on_connection
        self._on_counts = on_counts
        self._outbox: collections.deque[bytes] = collections.deque()
        self._outbox_filled = asyncio.Event()
        self._connection: ws_connection.Connection | None = None

    def post(self, data: bytes) -> None:
        """Queue a frame; a full queue drops its oldest frame.

        Args:
            data: Encoded frame.
        """
        if len(self._outbox) >= MAX_OUTBOX_FRAMES:
            self._outbox.popleft()
            self._on_counts(LinkCounts(0, 1, 0))
        self._outbox.append(data)
        self._outbox_filled.set()

    def use_inbound(self, connection: ws_connection.Connection) -> None:
        """Use a connection that the other node opened, unless the link has one.

        Args:
            connection: Open connection from that node.
        """
        if self._connection is None:
            self._connection = connection

    async def run(self) -> None:
        """Send queued frames until cancelled, then abort the connection."""
        try:
            while True:
                await self._wait_for_frame()
                batch = self._take_batch()
                if batch:
                    self._on_counts(await self._deliver(batch))
        finally:
            self._abort_connection()

    async def _wait_for_frame(self) -> None:
        if self._outbox:
            return
        self._outbox_filled.clear()
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                await self._outbox_filled.wait()
        except TimeoutError:
            self._abort_connection()

    def _take_batch(self) -> list[bytes]:
        batch_count = min(MAX_BATCH_FRAMES, len(self._outbox))
        return [self._outbox.popleft() for _ in range(batch_count)]

    async def _deliver(self, batch: list[bytes]) -> LinkCounts:
        had_connection = self._connection is not None
        if had_connection and await self._send_and_confirm(batch):
            return LinkCounts(len(batch), 0, 0)
        # Only the old connection may have failed, such as by lost state on the network path.
        if await self._connect() and await self._send_and_confirm(batch):
            return LinkCounts(len(batch), 0, int(had_connection))
        return LinkCounts(0, len(batch), int(had_connection))

    async def _connect(self) -> bool:
        self._abort_connection()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self._connection = await client.connect(
                    f"ws://{self.address}/",
                    max_size=messages.MAX_FRAME_BYTES,
                    compression=None,
                    proxy=None,
                    close_timeout=CONFIRMATION_TIMEOUT_SECONDS,
                )
        except (OSError, TimeoutError, websockets.WebSocketException):
            return False
        self._on_connection(self._connection)
        return True

    async def _send_and_confirm(self, batch: list[bytes]) -> bool:
        """Send a batch and a ping; return whether the pong, which confirms them, arrived."""
        connection = self._connection
        if connection is None:
            return False
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_SECONDS):
                for data in batch:
                    await connection.send(data)
                pong = await connection.ping()
                await pong
        except (OSError, TimeoutError, websockets.WebSocketException):
            self._abort_connection()
            return False
        return True

    def _abort_connection(self) -> None:
        if self._connection is not None:
            # A closing handshake would wait for a response that an unresponsive peer never sends.
            self._connection.transport.abort()
            self._connection = None

"""Tests of the link to another node over connections that fail or become unresponsive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio
import waiting
from websockets.asyncio import server as ws_server

from dragonflycove.peering import link

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.asyncio


class Middlebox:
    """TCP proxy that can break its connections or stop forwarding on them."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._open: list[asyncio.Event] = []
        self._writers: list[asyncio.StreamWriter] = []
        self.connections = 0

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions."""
        self.connections += 1
        onward = await asyncio.open_connection("127.0.0.1", self._target_port)
        stopped = asyncio.Event()
        self._open.append(stopped)
        self._writers.extend((writer, onward[1]))
        await asyncio.gather(
            self._pump(reader, onward[1], stopped), self._pump(onward[0], writer, stopped)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stopped: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not stopped.is_set():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not stopped.is_set():
            writer.close()

    def stop_forwarding(self) -> None:
        """Drop all further data of the open connections without closing them."""
        for stopped in self._open:
            stopped.set()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in self._writers:
            writer.transport.abort()


class Receiver:
    """Receives frames as the other node, and records the callbacks of a link."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.counts = link.LinkCounts(0, 0, 0)
        self.opened = 0

    async def receive(self, connection: ws_server.ServerConnection) -> None:
        """Receive the frames of one connection."""
        async for data in connection:
            self.received.append(bytes(data))

    def count(self, counts: link.LinkCounts) -> None:
        """Add up the counts that the link reports."""
        self.counts = link.LinkCounts(
            *(sum(pair) for pair in zip(self.counts, counts, strict=True))
        )

    def count_opened(self, connection: object) -> None:
        """Count the connections that the link opens."""
        self.opened += 1


@pytest_asyncio.fixture
async def receiver() -> AsyncIterator[tuple[Receiver, Middlebox, link.PeerLink]]:
    """Yield a receiver, the middlebox before it and a running link through the middlebox."""
    node_stub = Receiver()
    async with ws_server.serve(node_stub.receive, "127.0.0.1", 0) as node:
        middlebox = Middlebox(node.sockets[0].getsockname()[1])
        between = await asyncio.start_server(middlebox.forward, "127.0.0.1", 0)
        address = f"127.0.0.1:{between.sockets[0].getsockname()[1]}"
        tested = link.PeerLink(address, node_stub.count_opened, node_stub.count)
        running = asyncio.create_task(tested.run())
        yield node_stub, middlebox, tested
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        between.close()
        middlebox.reset()


async def until_settled(receiver: Receiver, frames: int) -> None:
    """Wait until at least that many frames are confirmed or lost."""
    await waiting.wait_until(lambda: receiver.counts.delivered + receiver.counts.lost >= frames)


@pytest.mark.parametrize("fault", ["stop_forwarding", "reset"])
async def test_frame_is_sent_again_on_a_new_connection_after_a_fault(
    receiver: tuple[Receiver, Middlebox, link.PeerLink], fault: str
) -> None:
    """A frame sent on an unresponsive or closed connection arrives over a new one."""
    node, middlebox, tested = receiver
    tested.post(b"first")
    await until_settled(node, 1)
    getattr(middlebox, fault)()
    tested.post(b"second")
    await until_settled(node, 2)
    assert node.received == [b"first", b"second"]
    assert node.counts == link.LinkCounts(2, 0, 1)
    assert middlebox.connections == node.opened == 2


async def test_unreachable_node_loses_frames_and_is_retried() -> None:
    """Batches to an unreachable node are counted as lost, and the link keeps trying."""
    node = Receiver()
    tested = link.PeerLink("127.0.0.1:1", node.count_opened, node.count)
    running = asyncio.create_task(tested.run())
    for expected in (1, 2):
        tested.post(b"lost")
        await until_settled(node, expected)
    assert node.counts == link.LinkCounts(0, 2, 0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def test_full_outbox_drops_the_oldest() -> None:
    """The queue for a node is bounded; each dropped frame counts as lost."""
    node = Receiver()
    tested = link.PeerLink("127.0.0.1:1", node.count_opened, node.count)
    for number in range(link.MAX_OUTBOX_FRAMES + 3):
        tested.post(b"%d" % number)
    assert node.counts.lost == 3

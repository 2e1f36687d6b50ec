"""Tests of the link to one node over connections that break or go silent."""

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
    """Forwards TCP connections, and can lose track of those that are open."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._open: list[asyncio.Event] = []
        self._writers: list[asyncio.StreamWriter] = []
        self.connections = 0

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection."""
        self.connections += 1
        onward = await asyncio.open_connection("127.0.0.1", self._target_port)
        silent = asyncio.Event()
        self._open.append(silent)
        self._writers.extend((writer, onward[1]))
        await asyncio.gather(
            self._pump(reader, onward[1], silent), self._pump(onward[0], writer, silent)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not silent.is_set():
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not silent.is_set():
            writer.close()

    def lose_track(self) -> None:
        """Let every open connection go silent for good."""
        for silent in self._open:
            silent.set()

    def cut(self) -> None:
        """Break every open connection."""
        for writer in self._writers:
            writer.transport.abort()


class Bench:
    """A node that takes frames, behind a middlebox, and a link to it."""

    def __init__(self) -> None:
        self.taken: list[bytes] = []
        self.counts = link.LinkCounts(0, 0, 0)
        self.adopted = 0

    async def take(self, connection: ws_server.ServerConnection) -> None:
        """Take the frames of one connection."""
        async for data in connection:
            self.taken.append(bytes(data))

    def count(self, counts: link.LinkCounts) -> None:
        """Add up what became of the frames."""
        self.counts = link.LinkCounts(
            *(sum(pair) for pair in zip(self.counts, counts, strict=True))
        )

    def adopt(self, connection: object) -> None:
        """Count the connections that the link made."""
        self.adopted += 1


@pytest_asyncio.fixture
async def bench() -> AsyncIterator[tuple[Bench, Middlebox, link.PeerLink]]:
    """Yield a bench with its middlebox and its running link."""
    made = Bench()
    async with ws_server.serve(made.take, "127.0.0.1", 0) as node:
        middlebox = Middlebox(node.sockets[0].getsockname()[1])
        between = await asyncio.start_server(middlebox.forward, "127.0.0.1", 0)
        address = f"127.0.0.1:{between.sockets[0].getsockname()[1]}"
        tested = link.PeerLink(address, made.adopt, made.count)
        running = asyncio.create_task(tested.run())
        yield made, middlebox, tested
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        between.close()
        middlebox.cut()


async def until_settled(bench: Bench, frames: int) -> None:
    """Wait until frames were confirmed or lost."""
    await waiting.until(lambda: bench.counts.delivered + bench.counts.lost >= frames)


@pytest.mark.parametrize("fault", ["lose_track", "cut"])
async def test_fresh_connection_after_a_fault(
    bench: tuple[Bench, Middlebox, link.PeerLink], fault: str
) -> None:
    """A frame sent on a silent or broken connection arrives over a fresh one."""
    node, middlebox, tested = bench
    tested.post(b"first")
    await until_settled(node, 1)
    getattr(middlebox, fault)()
    tested.post(b"second")
    await until_settled(node, 2)
    assert node.taken == [b"first", b"second"]
    assert node.counts == link.LinkCounts(2, 0, 1)
    assert middlebox.connections == node.adopted == 2


async def test_unreachable_node_loses_frames_and_is_tried_again() -> None:
    """Without the other node each batch is lost and counted; the link goes on."""
    node = Bench()
    tested = link.PeerLink("127.0.0.1:1", node.adopt, node.count)
    running = asyncio.create_task(tested.run())
    for expected in (1, 2):
        tested.post(b"lost")
        await until_settled(node, expected)
    assert node.counts == link.LinkCounts(0, 2, 0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def test_full_outbox_drops_the_oldest() -> None:
    """Frames that wait for a node are bounded."""
    node = Bench()
    tested = link.PeerLink("127.0.0.1:1", node.adopt, node.count)
    for number in range(link.MAX_OUTBOX_FRAMES + 3):
        tested.post(b"%d" % number)
    assert node.counts.lost == 3

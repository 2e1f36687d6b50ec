"""Node processes whose servers or store send bytes without end stay within their hosts' memory."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
from typing import TYPE_CHECKING

import pytest

from dragonflycove.fleet import catalog
from dragonflycove.measure.soak import node_process
from dragonflycove.standins.platform import store as platform_store
from tests.gateway import deployment, endless_servers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = [pytest.mark.asyncio, pytest.mark.processes]

BLOCK = 150 + os.getpid() % 60
"""Second byte of all loopback addresses; runs that go on at the same time mostly differ."""

MEMORY_MB = 200
"""Memory of the node's host, megabytes: that of the smallest hosts."""

SERVERS = 20
"""Servers of each service; all of them are faulty at once."""

CALLERS = 300
"""Requests that run into the fault at the same time; a node takes as many of others at once."""

FAULT_SECONDS = 1.0
"""Deadline of these requests."""

RECOVERY_SECONDS = 10.0
"""Time after the fault within which an ordinary request is answered."""


class System:
    """One node process with its store and servers."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create a system in which nothing runs."""
        self.node = node_process.Node(0, folder, BLOCK, memory_mb=MEMORY_MB)
        self.store = platform_store.PlatformStore()
        self.endless_store = endless_servers.EndlessStore()
        self.servers: list[endless_servers.EndlessServer] = []

    async def start(self) -> None:
        """Start everything and wait until the node is ready."""
        self.store.put("keyed.op", "config", deployment.configuration())
        await self.store.open_listener(self.node.store_address)
        for number in range(2 * SERVERS):
            address = catalog.Address(f"127.{BLOCK}.3.{number + 1}", 8_080)
            server = endless_servers.EndlessServer(f"s{number}")
            await server.listen(address)
            self.servers.append(server)
            record = {
                "service": "svc" if number % 2 else "plain",
                "address": str(address),
                "zone": "z0",
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": 1,
            }
            self.store.put("keyed.servers", f"s{number}", record)
        self.node.start()
        ready = catalog.Address(self.node.ip, node_process.READY_PORT)
        async with asyncio.timeout(RECOVERY_SECONDS):
            while True:
                with contextlib.suppress(OSError):
                    if (await deployment.exchange(ready, b"GET", "/readyz", {})).status == 200:
                        return
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End everything."""
        self.endless_store.restore()
        await self.node.wait_stopped(0.0)
        for server in self.servers:
            server.close()
        self.store.close()

    def peak_bytes(self) -> int:
        """Return the most memory that the node process has taken."""
        text = pathlib.Path(f"/proc/{self.node.process_id}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    async def call(self, path: str, attempt: str, seconds: float) -> deployment.CallerResult:
        """Send a caller's request; one without a response after some time has failed."""
        headers = {
            "Host": "h.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(seconds * 1_000)),
            "X-Api-Key": "k1",
        }
        if path.startswith("/ask/"):
            headers |= {"X-Model": "m", "X-Token-Counts": "1000,100", "X-Prompt-Prefix": "ab:1000"}
        address = catalog.Address(self.node.ip, node_process.CALLER_PORT)
        method = b"GET" if path.startswith("/look/") else b"POST"
        try:
            async with asyncio.timeout(seconds + 2.0):
                return await deployment.exchange(address, method, path, headers)
        except (TimeoutError, OSError):
            return deployment.CallerResult(0, {}, b"", is_complete=False)

    async def call_all(self, path: str) -> None:
        """Send many requests at once, each with a path and id of its own."""
        await asyncio.gather(
            *(self.call(f"{path}{one}", f"f{one}", FAULT_SECONDS) for one in range(CALLERS))
        )

    async def assert_sound(self) -> None:
        """Check that the process lives within its host's memory, and answers ordinary requests."""
        assert self.node.is_running
        assert self.peak_bytes() <= MEMORY_MB * 1_000_000
        for path in ("/look/x", "/post/x", "/ask/x"):
            async with asyncio.timeout(RECOVERY_SECONDS):
                number = 0
                while True:
                    response = await self.call(path, f"after{number}", 3.0)
                    if response.status == 200 and response.is_complete:
                        break
                    number += 1
                    await asyncio.sleep(0.1)
        assert self.node.is_running


@contextlib.asynccontextmanager
async def running(folder: pathlib.Path) -> AsyncIterator[System]:
    """Run one node process with its store and servers."""
    system = System(folder)
    try:
        await system.start()
        yield system
    finally:
        await system.close()


FAULTS = {
    **{("/look/", name): one for name, one in endless_servers.HEADS.items()},
    **{("/look/", name): one for name, one in endless_servers.BODIES.items()},
    **{("/ask/", name): one for name, one in endless_servers.STREAMS.items()},
    **{
        ("/ask/", name): endless_servers.BODIES[name]
        for name in ("small_chunks", "failure", "refusal", "crossed")
    },
}
"""Responses that don't end, by the path of the requests that get them and their name."""


@pytest.mark.parametrize(("path", "name"), FAULTS)
async def test_servers_that_send_without_end_do_not_exhaust_the_memory_of_a_node(
    path: str, name: str, tmp_path: pathlib.Path
) -> None:
    async with running(tmp_path) as system:
        for server in system.servers:
            server.endless = FAULTS[path, name]
        await system.call_all(path)
        for server in system.servers:
            server.endless = None
        assert any(server.sent_bytes for server in system.servers)
        await system.assert_sound()


STORE_FAULTS = {
    "body_with_length": endless_servers.BODIES["body_with_length"],
    "body_without_length": endless_servers.BODIES["body_without_length"],
    "chunks": endless_servers.BODIES["chunks"],
    "small_chunks": endless_servers.BODIES["small_chunks"],
    "head_line": endless_servers.HEADS["head_line"],
    "header_lines": endless_servers.HEADS["header_lines"],
    "trailer_line": endless_servers.BODIES["trailer_line"],
    "informational": endless_servers.HEADS["informational"],
}
"""Responses of the store that don't end, by name."""

STORE_FAULT_SECONDS = 2.0
"""Time for which the store sends without end."""


@pytest.mark.parametrize("name", STORE_FAULTS)
async def test_a_store_that_sends_without_end_does_not_exhaust_the_memory_of_a_node(
    name: str, tmp_path: pathlib.Path
) -> None:
    async with running(tmp_path) as system:
        system.endless_store.endless = STORE_FAULTS[name]
        await asyncio.sleep(STORE_FAULT_SECONDS)
        system.endless_store.endless = None
        assert system.endless_store.sent_bytes
        await system.assert_sound()


async def test_a_store_whose_list_has_no_end_does_not_exhaust_the_memory_of_a_node(
    tmp_path: pathlib.Path,
) -> None:
    async with running(tmp_path) as system:
        system.endless_store.has_endless_list = True
        system.store.compact_topic("keyed.servers")
        system.store.compact_topic("keyed.op")
        await asyncio.sleep(STORE_FAULT_SECONDS)
        system.endless_store.has_endless_list = False
        await system.assert_sound()


async def test_bytes_on_idle_connections_do_not_exhaust_the_memory_of_a_node(
    tmp_path: pathlib.Path,
) -> None:
    async with running(tmp_path) as system:
        for server in system.servers:
            server.surplus = endless_servers.Endless(b"", b"x")
        for path in ("/look/", "/ask/"):
            await system.call_all(path)
        await asyncio.sleep(FAULT_SECONDS)
        for server in system.servers:
            server.surplus = None
        assert any(server.sent_bytes for server in system.servers)
        await system.assert_sound()

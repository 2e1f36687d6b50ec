"""A node process on loopback addresses, and crowds of callers that send without regard for it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import catalog, roster
from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import server_faults
from dragonflycove.standins.platform import store as platform_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Iterator

    Pieces = Iterable[bytes | memoryview]

ROOT = pathlib.Path(__file__).parents[2]
"""Root folder of the repository."""

BLOCK = 190 + os.getpid() % 30
"""Second byte of all loopback addresses; runs that go on at the same time mostly differ."""

PEER_PORT = 7_340
"""Port for transfers between nodes; that of relayed requests follows from it."""

RESERVED_FILES = 200
"""Descriptors of `max_fds` that the platform keeps for files."""

QUIET_SECONDS = 1.0
"""Time without progress of any caller after which a crowd counts as settled."""

MAX_SETTLE_SECONDS = 15.0
"""Time after which a crowd is looked at in any case."""

PATIENCE_SECONDS = 60.0
"""Timeout of an ordinary request with its repeats; it only ends a test that would hang."""

ATTEMPT_SECONDS = 10.0
"""Timeout of one attempt of an ordinary caller."""

SEND_BYTES = 65_536
"""Bytes that a caller of a crowd sends at once."""


class Limits(NamedTuple):
    """Limits in the settings of a node and in its configuration."""

    memory_mb: int = 120
    """Memory of the machine, megabytes."""

    max_fds: int = 4_200
    """Descriptors of the machine."""

    max_body_bytes: int = 2_097_152
    """Limit of a request's body."""

    header_timeout_seconds: float = 60.0
    """Timeout of a read in a request."""

    idle_seconds: float = 60.0
    """Time after which an idle connection is closed."""


class NodeProcess:
    """A running node with its store and one backend server."""

    def __init__(
        self,
        process: subprocess.Popen[bytes],
        limits: Limits,
        ip: str,
        server: platform_server.PlatformServer,
    ) -> None:
        self._process = process
        self._server = server
        self.limits = limits
        self.caller_address = catalog.Address(ip, 8_227)
        self.readiness_address = catalog.Address(ip, 8_220)
        self.directory_address = catalog.Address(ip, 8_224)
        self.metrics_address = catalog.Address(ip, 9_464)
        self.transfer_address = catalog.Address(ip, PEER_PORT)
        self.relay_address = roster.relay_address(self.transfer_address)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def peak_bytes(self) -> int:
        """Return the largest resident memory that the process has had."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        line = next(one for one in status.splitlines() if one.startswith("VmHWM:"))
        return int(line.split()[1]) * 1_024

    def open_sockets(self) -> int:
        """Return the number of sockets and pipes that the process has open."""
        count = 0
        for entry in pathlib.Path(f"/proc/{self._process.pid}/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                count += os.readlink(entry).startswith(("socket:", "pipe:"))
        return count

    def check_bounds(self) -> None:
        """Check that the process lives within the memory and descriptors of its machine."""
        assert self.is_running, "the process has ended"
        peak_bytes, open_sockets = self.peak_bytes(), self.open_sockets()
        assert peak_bytes <= self.limits.memory_mb * 1_000_000, f"peak memory {peak_bytes}"
        assert open_sockets <= self.limits.max_fds - RESERVED_FILES, f"sockets {open_sockets}"

    def let_server_respond(self) -> None:
        """Let the server respond to the requests that arrive from now on."""
        self._server.faults.clear()

    async def get(self, address: catalog.Address, path: str) -> int:
        """Send one ordinary request, repeated after refusals, and return the last status."""
        ends_at = time.monotonic() + PATIENCE_SECONDS
        status = 0
        while status != 200 and time.monotonic() < ends_at and self.is_running:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(ATTEMPT_SECONDS):
                    status = await _get(address, path)
            if status != 200:
                await asyncio.sleep(0.1)
        return status

    async def send(self, pieces: Pieces) -> int:
        """Send one ordinary request and return the status."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await _exchange(self.caller_address, pieces)


async def _get(address: catalog.Address, path: str) -> int:
    head_lines = f"GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k1\r\n"
    head_lines += "X-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
    return await _exchange(address, [head_lines.encode()])


async def _exchange(address: catalog.Address, pieces: Pieces) -> int:
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def running_node(
    folder: pathlib.Path, limits: Limits, unanswered: int = 0
) -> AsyncIterator[NodeProcess]:
    """Run a node with a store and a server that leaves its first requests unanswered."""
    ip, store_address = f"127.{BLOCK}.4.1", catalog.Address(f"127.{BLOCK}.4.2", 8_223)
    server_address = catalog.Address(f"127.{BLOCK}.4.3", 8_081)
    store = platform_store.PlatformStore()
    store.put("keyed.op", "config", _configuration(limits))
    entry = {"service": "plain", "address": str(server_address), "zone": "z0", "slots": 1_000}
    state = {"state": "ready", "cold_remaining_ms": 0, "born": 1_000}
    store.put("keyed.servers", "plain-1", {**entry, **state})
    await store.open_listener(store_address)
    server = platform_server.PlatformServer("plain-1")
    server.started_at_ms = 1_000
    await server.listen(server_address)
    process = _start(folder, _settings(ip, store_address, limits))
    node = NodeProcess(process, limits, ip, server)
    try:
        assert await node.get(node.readiness_address, "/readyz") == 200
        assert await node.get(node.caller_address, "/look/1") == 200
        server.faults.extend([server_faults.Fault.NO_RESPONSE] * unanswered)
        yield node
    finally:
        process.kill()
        process.wait()
        server.close()
        store.close()


def _start(folder: pathlib.Path, settings: dict[str, object]) -> subprocess.Popen[bytes]:
    path = folder / "node.yaml"
    # JSON is valid YAML.
    path.write_text(json.dumps(settings))
    with (folder / "node.log").open("ab") as log:
        return subprocess.Popen(
            [sys.executable, str(ROOT / "scripts" / "platform_node.py")],
            env={**os.environ, "DRAGONFLYCOVE_CONFIG": str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )


def _settings(ip: str, store_address: catalog.Address, limits: Limits) -> dict[str, object]:
    return {
        "node_name": "n0",
        "ip": ip,
        "zone": "z0",
        "region": "r1",
        "zones": {"z0": "r1"},
        "listen_addresses": {
            "frontend": f"{ip}:8227",
            "ready": f"{ip}:8220",
            "directory_service": f"{ip}:8224",
        },
        "internal_port_range": [PEER_PORT, PEER_PORT + 15],
        "contracts": ["base"],
        "limits": {
            "cpu_share": 1.0,
            "cpu_cores": 1,
            "memory_mb": limits.memory_mb,
            "max_fds": limits.max_fds,
            "link_mbps": 1_000,
        },
        "heartbeat_ms": 800,
        "bounds": {"grace_s": 8},
        "platform": {"address": str(store_address)},
    }


def _configuration(limits: Limits) -> dict[str, object]:
    route = {"host": "h.example", "service": "plain", "timeout_ms": 60_000, "priority": 1}
    post = {"path_prefix": "/post/", "route_type": "non_idempotent", "max_attempts": 1}
    look = {"path_prefix": "/look/", "route_type": "idempotent", "max_attempts": 2}
    return {
        "version": 1,
        "routes": [{**route, **post, "name": "a"}, {**route, **look, "name": "b"}],
        "services": [{"name": "plain", "max_connections": 1_000}],
        "tenants": [{"name": f"o{number}", "api_keys": [f"k{number}"]} for number in range(2)],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": limits.max_body_bytes,
            "header_timeout_ms": limits.header_timeout_seconds * 1_000,
            "idle_timeout_ms": limits.idle_seconds * 1_000,
        },
    }


def head(path: str, length: int | None) -> bytes:
    """Return the head of a request with a body; in chunks if there is no length."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: k0\r\n"
    return f"{lines}X-Deadline-Ms: 50000\r\n{framing}\r\n\r\n".encode()


class Crowd:
    """Callers that connect at once, each sends its pieces and stays open."""

    def __init__(self, address: catalog.Address, count: int, pieces: Callable[[], Pieces]) -> None:
        self._address = address
        self._count = count
        self._pieces = pieces
        self._progress = 0

    @contextlib.asynccontextmanager
    async def sending(self, node: NodeProcess) -> AsyncIterator[None]:
        """Let the callers send; the body runs once they have settled, while they stay open."""
        tasks = [asyncio.ensure_future(self._run_caller()) for _ in range(self._count)]
        try:
            await self._settle(node)
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _settle(self, node: NodeProcess) -> None:
        ends_at = time.monotonic() + MAX_SETTLE_SECONDS
        last_progress, quiet_since = -1, time.monotonic()
        while time.monotonic() < min(ends_at, quiet_since + QUIET_SECONDS) and node.is_running:
            if self._progress != last_progress:
                last_progress, quiet_since = self._progress, time.monotonic()
            await asyncio.sleep(0.05)

    async def _run_caller(self) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._address.ip, self._address.port)
        except OSError:
            return
        self._progress += 1
        try:
            # What the node responds is discarded, so that it may close.
            drain = asyncio.ensure_future(reader.read(-1))
            for piece in self._pieces():
                writer.write(piece)
                await writer.drain()
                self._progress += 1
            await asyncio.wait({drain})
        except OSError:
            pass
        finally:
            drain.cancel()
            writer.transport.abort()
            await asyncio.gather(drain, return_exceptions=True)


def cut(data: bytes | memoryview) -> Iterator[memoryview]:
    """Return views of parts of some bytes, as many as one send takes."""
    view = memoryview(data)
    for start in range(0, len(view), SEND_BYTES):
        yield view[start : start + SEND_BYTES]

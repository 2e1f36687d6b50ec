"""A node in a process of its own, beside the simulated store and servers of a deployment."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

from dragonflycove.fleet import catalog
from dragonflycove.platform import settings as platform_settings
from tests import ports
from tests.gateway import deployment

if TYPE_CHECKING:
    from typing import Self

ROOT = pathlib.Path(__file__).parents[2]
"""Root folder of the repository."""

COMMAND = ("-m", "dragonflycove", "platform-node")
"""Arguments of the interpreter that start a node."""

SCRIPT = (str(ROOT / "scripts" / "platform_node.py"),)
"""The same for a node that the platform starts."""

END_TIMEOUT_SECONDS = 15.0
"""Time after which a process that should end fails the test."""


class NodeProcess:
    """One node process; ended with the context."""

    def __init__(
        self,
        system: deployment.Deployment,
        folder: pathlib.Path,
        number: int = 0,
        grace_seconds: float = 8.0,
        arguments: tuple[str, ...] = COMMAND,
    ) -> None:
        """Create a node without a process.

        Args:
            system: Store and servers.
            folder: Folder of the settings and the log.
            number: Number of the node; determines its address.
            grace_seconds: Time from SIGTERM to SIGKILL.
            arguments: Arguments of the interpreter.
        """
        self._system = system
        self._folder = folder
        self._name = f"p{number}"
        self._ip = f"127.{deployment.NODE_BLOCK}.4.{number + 1}"
        self._grace_seconds = grace_seconds
        self._arguments = arguments
        self.address = catalog.Address(self._ip, ports.free_port())
        """Address for callers."""
        self._ready = catalog.Address(self._ip, ports.free_port())
        self._process: asyncio.subprocess.Process | None = None

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The process."""
        assert self._process is not None
        return self._process

    @property
    def log(self) -> str:
        """What the process has logged."""
        return (self._folder / f"{self._name}.log").read_text()

    async def spawn(self) -> None:
        """Start the process."""
        store = deployment.loopback()
        self._system.faults.append(await self._system.store.open_listener(store))
        peer_port = ports.free_ports(16)
        settings = {
            "node_name": self._name,
            "ip": self._ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen_addresses": {
                "frontend": str(self.address),
                "ready": str(self._ready),
                "directory_service": f"{self._ip}:{ports.free_port()}",
            },
            "internal_port_range": [peer_port, peer_port + 15],
            "contracts": ["base", "pressure"],
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 300, "link_mbps": 1000},
            "heartbeat_ms": 800,
            "bounds": {"grace_s": self._grace_seconds, "retry_allowance": 100},
            "platform": {"address": str(store)},
        }
        path = self._folder / f"{self._name}.yaml"
        path.write_text(json.dumps(settings))
        environment = os.environ | {
            platform_settings.PATH_VARIABLE: str(path),
            "PYTHONPATH": str(ROOT / "src"),
        }
        with (self._folder / f"{self._name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Wait until the node reports to be ready."""
        async with asyncio.timeout(END_TIMEOUT_SECONDS):
            for pause in itertools.repeat(0.05):
                try:
                    ready = await deployment.exchange(self._ready, b"GET", "/readyz", {})
                except OSError:
                    ready = None
                if ready is not None and ready.status == 200:
                    return
                await asyncio.sleep(pause)

    async def wait_ended(self) -> int:
        """Return the exit status once the process has ended."""
        async with asyncio.timeout(END_TIMEOUT_SECONDS):
            return await self.process.wait()

    async def __aenter__(self) -> Self:
        """Start the process."""
        await self.spawn()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the process."""
        await self.kill()

    async def kill(self) -> None:
        """End the process at once, if it runs."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

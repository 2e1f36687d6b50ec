"""A node process of a soak, with its settings file and its log."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

from dragonflycove.fleet import catalog
from dragonflycove.measure.soak import cut_node

if TYPE_CHECKING:
    import pathlib

CALLER_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT = 8_227, 8_220, 8_224, 7_340
"""Ports of every node, as on the platform; nodes differ in their loopback addresses."""

MEMORY_MB = 300
"""Memory of a node's host in its settings, megabytes."""

HEARTBEAT_INTERVAL_SECONDS = 0.8
"""Heartbeat interval in the nodes' settings."""

STOP_GRACE_SECONDS = 8.0
"""Time that a node has to stop after SIGTERM before it gets SIGKILL."""

POLL_INTERVAL_SECONDS = 0.05
"""Interval at which the end of a stopping process is polled."""


class Node:
    """A node process with its settings and log."""

    def __init__(
        self, number: int, folder: pathlib.Path, block: int, memory_mb: int = MEMORY_MB
    ) -> None:
        """Create a node without a process.

        Args:
            number: Number of the node, from 0.
            folder: Folder for its settings and log.
            block: Second byte of its loopback address; soaks with different blocks can run at once.
            memory_mb: Memory of its host, megabytes.
        """
        self._memory_mb = memory_mb
        self.ip = f"127.{block}.1.{number + 1}"
        self.name = f"n{number}"
        self.zone = f"z{number % 2}"
        self._folder = folder
        self._settings = folder / f"{self.name}.yaml"
        self._cut_file = folder / f"{self.name}.cut"
        self._cut_count = 0
        self._process: subprocess.Popen[bytes] | None = None
        self.store_address = catalog.Address(f"127.{block}.2.{number + 1}", 8_223)
        """Address at which only this node reaches the store, so that store faults can be per node."""

    def write_settings(self) -> None:
        """Write the settings file in the platform's format."""
        settings = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": "r1",
            "zones": {"z0": "r1", "z1": "r1"},
            "listen_addresses": {
                "frontend": f"{self.ip}:{CALLER_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "directory_service": f"{self.ip}:{DIRECTORY_PORT}",
            },
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "contracts": ["base", "pressure"],
            "limits": {
                "cpu_share": 1.0,
                "cpu_cores": 1,
                "memory_mb": self._memory_mb,
                "link_mbps": 1000,
            },
            "heartbeat_ms": int(HEARTBEAT_INTERVAL_SECONDS * 1000),
            "bounds": {"grace_s": STOP_GRACE_SECONDS, "retry_allowance": 100},
            "platform": {"address": str(self.store_address)},
        }
        # JSON is valid YAML.
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process; it appends to the log of earlier ones."""
        self.write_settings()
        environment = dict(os.environ, DRAGONFLYCOVE_CONFIG=str(self._settings))
        environment[cut_node.CUT_FILE_VARIABLE] = str(self._cut_file)
        environment[cut_node.PARENT_VARIABLE] = str(os.getpid())
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", cut_node.__name__],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def cut_from_servers(self, mode: cut_node.CutMode) -> None:
        """Let new connections to servers fail; cuts may overlap, the last mode counts."""
        self._cut_count += 1
        self._cut_file.write_text(mode.value)

    def end_cut(self) -> bool:
        """End one cut; returns whether the servers are reached again."""
        self._cut_count -= 1
        if not self._cut_count:
            self._cut_file.unlink()
        return not self._cut_count

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.is_running and self._process is not None:
            self._process.send_signal(signal_number)

    @property
    def process_id(self) -> int:
        """Id of the process, which must have been started."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    async def wait_stopped(self, seconds: float) -> bool:
        """Wait for the process to end, kill it at the timeout; returns whether it ended before."""
        for _ in range(int(seconds / POLL_INTERVAL_SECONDS)):
            if not self.is_running:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        has_stopped = not self.is_running
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        return has_stopped

"""The processes and stand-ins of a soak, and what disturbs them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from dragonflycove.fleet import catalog
from dragonflycove.measure.soak import plan, proxy
from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import store as platform_store

if TYPE_CHECKING:
    import pathlib
    import random

    from dragonflycove.measure.soak import checks

EVENTS = 8
"""Events of each stream."""

EVENT_SECONDS = 0.05
"""Time between two events."""

CALLER_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT = 8_227, 8_220, 8_224, 7_340
"""Ports of a node, the same on all loopback addresses, as on the platform."""

HEARTBEAT_SECONDS = 0.8
"""Time between two registrations of a server."""

GRACE_SECONDS = 8.0
"""Time between SIGTERM and SIGKILL."""

RESTART_SECONDS = 0.4
"""Time after which a process that ended is started again."""

POLL_SECONDS = 0.05
"""Time between two looks at whether a process has ended."""

FAULT_SHARE = 0.3
"""Share of the requests that a server with faults fails."""


class Node:
    """A node's process."""

    def __init__(self, number: int, folder: pathlib.Path, block: int) -> None:
        """Create a node that does not run.

        Args:
            number: Its number.
            folder: Where its settings and logs go.
            block: Second part of its loopback address, so that soaks can run side by side.
        """
        self.ip = f"127.{block}.1.{number + 1}"
        self.name = f"n{number}"
        self.zone = f"z{number % 2}"
        self._folder = folder
        self._settings = folder / f"{self.name}.yaml"
        self._process: subprocess.Popen[bytes] | None = None
        self.store_address = catalog.Address(f"127.{block}.2.{number + 1}", 8_223)
        self.disturbed_until = 0.0

    def write_settings(self) -> None:
        """Write the settings file, as the platform does."""
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
            "limits": {"cpu_share": 1.0, "cpu_cores": 1, "memory_mb": 300},
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "bounds": {"grace_s": GRACE_SECONDS, "retry_allowance": 100},
            "platform": {"address": str(self.store_address)},
        }
        # JSON is YAML as well.
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process; its log goes on in the same file."""
        self.write_settings()
        environment = dict(os.environ, DRAGONFLYCOVE_CONFIG=str(self._settings))
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "dragonflycove", "platform-node"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    async def end(self, seconds: float) -> bool:
        """Wait for the process to end, and kill it if it does not; returns whether it did."""
        for _ in range(int(seconds / POLL_SECONDS)):
            if not self.is_running:
                break
            await asyncio.sleep(POLL_SECONDS)
        in_time = not self.is_running
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        return in_time


class World:
    """Store, servers and nodes of one soak."""

    def __init__(
        self, rng: random.Random, folder: pathlib.Path, block: int, sizes: tuple[int, int, int]
    ) -> None:
        """Create a world in which nothing runs.

        Args:
            rng: Generator, seeded.
            folder: Where settings and logs go.
            block: Second part of all loopback addresses.
            sizes: How many nodes, engines and plain servers.
        """
        self._rng = rng
        self._block = block
        self.store = platform_store.PlatformStore()
        self.nodes = [Node(number, folder, block) for number in range(sizes[0])]
        self.faults: list[platform_store.StoreFaults] = []
        self._sizes = sizes
        self.servers: dict[str, platform_server.PlatformServer] = {}
        self.runs: list[platform_server.Run] = []
        self._proxies: dict[str, proxy.Proxy] = {}
        self._ids = 0
        self._version = 1
        self._silent_faults: dict[str, float] = {}
        self._out_zones: set[str] = set()
        self.leaving_until = 0.0
        self.failed: list[str] = []

    async def start(self) -> None:
        """Start everything."""
        self.publish()
        for node in self.nodes:
            self.faults.append(await self.store.open_listener(node.store_address))
        for kind, count in (("svc", self._sizes[1]), ("plain", self._sizes[2])):
            for _ in range(count):
                await self.add_server(kind)
        for node in self.nodes:
            node.start()

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self._version += self._rng.randint(1, 3)
        route = {"host": "h.example", "timeout_ms": 6_000, "latency_goal_ms": 500, "priority": 1}
        stream = {"route_type": "streaming", "resumable": True, "gap_target_ms": 250}
        engine = {"slots": 8, "kv_capacity": 232_000, "step_ms": 1.0, "read_per_s": 206_000.0}
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self._version,
                "routes": [
                    {
                        **route,
                        **stream,
                        "name": "a",
                        "path_prefix": "/stream/",
                        "service": "svc",
                        "max_attempts": 2,
                    },
                    {
                        **route,
                        "name": "b",
                        "path_prefix": "/post/",
                        "service": "plain",
                        "route_type": "non_idempotent",
                        "max_attempts": 1,
                    },
                    {
                        **route,
                        "name": "c",
                        "path_prefix": "/look/",
                        "service": "plain",
                        "route_type": "idempotent",
                        "max_attempts": 2,
                    },
                ],
                "services": [{"name": "svc", "engine": engine}, {"name": "plain"}],
                "tenants": [{"name": f"o{n}", "api_keys": [f"k{n}"]} for n in range(3)],
            },
        )

    async def add_server(self, kind: str) -> str:
        """Start and register a server behind a proxy."""
        self._ids += 1
        server_id = f"{kind}-{self._ids}"
        host = f"127.{self._block}.3.{self._ids % 250 + 1}"
        server = platform_server.PlatformServer(
            server_id, events=EVENTS, event_seconds=EVENT_SECONDS
        )
        # One list for all servers keeps the order of runs over crashes.
        server.runs = self.runs
        await server.listen(catalog.Address(host, 8_080))
        passing = proxy.Proxy(catalog.Address(host, 8_080))
        await passing.listen(catalog.Address(host, 8_081))
        self.servers[server_id] = server
        self._proxies[server_id] = passing
        self.register(server_id)
        return server_id

    def register(self, server_id: str, state: str = "ready") -> None:
        """Write a server's record."""
        number = int(server_id.rpartition("-")[2])
        entry = {
            "service": server_id.partition("-")[0],
            "address": f"127.{self._block}.3.{number % 250 + 1}:8081",
            "zone": f"z{number % 2}",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "born": number,
        }
        self.store.put("keyed.servers", server_id, entry)

    def remove_server(self, server_id: str) -> None:
        """Take a server away; its callers' connections are reset."""
        server = self.servers.pop(server_id)
        server.close()
        self._proxies.pop(server_id).close()

    async def disturb(self, step: plan.Step) -> None:
        """Carry out one disturbance, to its end."""
        match step.trouble:
            case plan.Trouble.ALL_KILL:
                await asyncio.gather(*(self._restart(one, signal.SIGKILL) for one in self.nodes))
            case plan.Trouble.CONFIGURATION:
                self.publish()
            case plan.Trouble.ZONE_OUT:
                await self._take_zone_out(f"z{int(step.pick * 2)}", step.seconds)
            case plan.Trouble.CALLERS_LEAVE:
                self.leaving_until = time.monotonic() + step.seconds
            case plan.Trouble.HISTORY_GONE:
                self.store.compact_topic("keyed.servers")
                self.store.compact_topic("keyed.op")
            case trouble if trouble.value.startswith("node"):
                await self._disturb_node(step)
            case trouble if trouble.value.startswith("store"):
                await self._spoil_store(step)
            case _:
                await self._disturb_server(step)

    async def _disturb_node(self, step: plan.Step) -> None:
        node = self.nodes[int(step.pick * len(self.nodes))]
        match step.trouble:
            case plan.Trouble.NODE_KILL:
                await self._restart(node, signal.SIGKILL)
            case plan.Trouble.NODE_STOP:
                await self._restart(node, signal.SIGTERM)
            case plan.Trouble.NODE_PAUSE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(step.seconds)
                node.signal(signal.SIGCONT)
            case _:
                node.write_settings()
                node.signal(signal.SIGHUP)

    async def _disturb_server(self, step: plan.Step) -> None:
        server_id = list(self.servers)[int(step.pick * len(self.servers))]
        passing = self._proxies[server_id]
        match step.trouble:
            case plan.Trouble.SERVER_CRASH | plan.Trouble.SERVER_DRAIN:
                await self._replace(server_id, step)
            case plan.Trouble.SERVER_FAULTS:
                await self._fail_requests(self.servers[server_id], step.seconds)
            case plan.Trouble.LINK_RESET:
                passing.reset_all()
            case _:
                await self._spoil_link(passing, step)

    async def _restart(self, node: Node, number: signal.Signals) -> None:
        if not node.is_running:
            return
        node.signal(number)
        if not await node.end(GRACE_SECONDS if number is signal.SIGTERM else 1.0):
            self.failed.append(f"STOP: {node.name} was still running after its grace time")
        await asyncio.sleep(RESTART_SECONDS)
        node.start()

    async def _replace(self, server_id: str, step: plan.Step) -> None:
        kind = server_id.partition("-")[0]
        await self.add_server(kind)
        if step.trouble is plan.Trouble.SERVER_DRAIN:
            self.register(server_id, "draining")
            await asyncio.sleep(4.0)
        if server_id in self.servers:
            self.remove_server(server_id)
        await asyncio.sleep(step.seconds)
        self.store.put("keyed.servers", server_id, None)

    async def _fail_requests(self, server: platform_server.PlatformServer, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not server.faults and self._rng.random() < FAULT_SHARE:
                server.faults.append(self._rng.choice(list(platform_server.Fault)))
            await asyncio.sleep(0.02)
        server.faults.clear()

    async def _take_zone_out(self, zone: str, seconds: float) -> None:
        if self._out_zones:
            return
        self._out_zones.add(zone)
        self.store.put("keyed.op", f"evacuate/{zone}", {})
        await asyncio.sleep(seconds)
        self.store.put("keyed.op", f"evacuate/{zone}", None)
        self._out_zones.discard(zone)

    async def _spoil_link(self, passing: proxy.Proxy, step: plan.Step) -> None:
        if step.trouble is plan.Trouble.LINK_DELAY:
            passing.delay_seconds = 0.2
        elif step.trouble is plan.Trouble.LINK_SILENT:
            passing.drops_requests = passing.drops_answers = True
        else:
            passing.drops_answers = True
        await asyncio.sleep(step.seconds)
        passing.calm()
        if step.trouble is not plan.Trouble.LINK_DELAY:
            # Connections that lost bytes are of no use to either end.
            passing.reset_all()

    async def _spoil_store(self, step: plan.Step) -> None:
        faults = self.faults[int(step.pick * len(self.faults))]
        hit = self.faults if step.trouble is plan.Trouble.STORE_DOWN else [faults]
        for one in hit:
            one.is_unresponsive = step.trouble is plan.Trouble.STORE_SILENT_TO_NODE
            if step.trouble in (plan.Trouble.STORE_DOWN, plan.Trouble.STORE_REFUSES_NODE):
                one.refusal_status = self._rng.choice([429, 503])
            one.delay_seconds = 0.3 if step.trouble is plan.Trouble.STORE_SLOW else 0.004
            one.drops_append_responses = step.trouble is plan.Trouble.STORE_LOSES_ANSWERS
            one.stale_records = 5 if step.trouble is plan.Trouble.STORE_STALE else 0
        await asyncio.sleep(step.seconds)
        for one in hit:
            one.clear()

    def check_leaks(self, checking: checks.Checks) -> None:
        """Check that no memory stays set aside."""
        for server_id, server in self.servers.items():
            if server.reserved_tokens_by_id:
                checking.broken.append(f"LEAK: {server_id} holds {server.reserved_tokens_by_id}")

    async def close(self) -> None:
        """End every process that the soak started, by its id."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            await node.end(1.0)
        for server_id in list(self.servers):
            self.remove_server(server_id)
        self.store.close()

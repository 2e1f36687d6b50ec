"""The node processes and stand-ins of a soak, and the faults that are applied to them."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING

from dragonflycove.fleet import catalog
from dragonflycove.measure.soak import (
    crashes,
    cut_node,
    limits,
    node_process,
    plan,
    proxy,
    statements,
)
from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import server_faults
from dragonflycove.standins.platform import store as platform_store

if TYPE_CHECKING:
    import pathlib

    from dragonflycove.measure.soak import checks

EVENTS = 8
"""Number of events of each stream."""

EVENT_INTERVAL_SECONDS = 0.05
"""Time between two events of a stream."""

RESTART_DELAY_SECONDS = 0.4
"""Time between the end of a process and its next start."""

KEEP_ID_PROBABILITY = 0.3
"""Probability that a crashed server returns under the id that it had."""

LEAVING_SECONDS = 5.0
"""Minimum time from a server's first response that it leaves to its end."""

FAULT_PROBABILITY = 0.3
"""Probability, per check, that a server without a pending fault gets a new one."""


class Deployment:
    """Store, servers and nodes of one soak, with the faults that affect them."""

    def __init__(
        self,
        rng: random.Random,
        folder: pathlib.Path,
        block: int,
        sizes: tuple[int, int, int],
        checker: checks.Checker,
    ) -> None:
        """Create a deployment in which nothing is running.

        Args:
            rng: Seeded random generator.
            folder: Folder for settings and logs.
            block: Second byte of all loopback addresses.
            sizes: Numbers of nodes, engines and plain servers.
            checker: Records the crashing requests and their responses.
        """
        self._checker = checker
        self.crash_log = crashes.CrashLog()
        """Servers crashed by requests, and when nodes were disturbed."""
        self.limit_log = limits.LimitLog()
        """Limits that servers have stated."""
        self._crashing_paths: set[str] = set()
        self._crashing_parts: set[str] = set()
        self._return_tasks: list[asyncio.Task[None]] = []
        self._rng = rng
        self._block = block
        self.store = platform_store.PlatformStore()
        self.nodes = [node_process.Node(number, folder, block) for number in range(sizes[0])]
        """The nodes in order of their numbers."""
        self.faults: list[platform_store.StoreFaults] = []
        """Faults of the store towards each node, in the order of `nodes`."""
        self.statement_log = statements.StatementLog({node.ip: node.name for node in self.nodes})
        """Servers that have asked for rest, or said that they leave."""
        self._sizes = sizes
        self.servers: dict[str, platform_server.PlatformServer] = {}
        """Running servers by id."""
        self.runs: list[platform_server.ExecutedRequest] = []
        """Executed requests of all servers, in order of arrival."""
        self._proxies: dict[str, proxy.Proxy] = {}
        self._silenced_ips: set[str] = set()
        self._born_by_id: dict[str, int] = {}
        self._server_count = 0
        self._version = 1
        self._silent_faults: dict[str, float] = {}
        self._evacuated_zones: set[str] = set()
        self.cancelling_until = 0.0
        """Time of the monotonic clock until which callers cancel requests."""
        self.reading_slowly_until = 0.0
        """Time of the monotonic clock until which callers read slowly."""
        self.stop_failures: list[str] = []
        """One line for each node that did not stop within its grace time."""

    async def start(self) -> None:
        """Publish the configuration and start the store, the servers and the nodes."""
        self.publish()
        for node in self.nodes:
            self.faults.append(await self.store.open_listener(node.store_address))
        for kind, count in (("svc", self._sizes[1]), ("plain", self._sizes[2])):
            for _ in range(count):
                await self.add_server(kind)
        for node in self.nodes:
            node.start()

    def publish(self) -> None:
        """Write the next version of the operators' configuration to the store."""
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
        """Start a server and its proxy and register it; returns its id."""
        self._server_count += 1
        server_id = f"{kind}-{self._server_count}"
        await self._start_server(server_id)
        return server_id

    async def _start_server(self, server_id: str) -> None:
        number = int(server_id.rpartition("-")[2])
        host = f"127.{self._block}.3.{number % 250 + 1}"
        server = platform_server.PlatformServer(
            server_id, events=EVENTS, event_seconds=EVENT_INTERVAL_SECONDS
        )
        # All servers append to one list, so that it survives their crashes and keeps the order.
        server.runs = self.runs
        server.crashing_paths = self._crashing_paths
        server.crashing_parts = self._crashing_parts
        server.crash_mode = self._rng.choice(list(server_faults.CrashMode))
        server.on_crash = lambda: self._on_crash(server)
        await server.listen(catalog.Address(host, 8_080))
        link_proxy = proxy.Proxy(catalog.Address(host, 8_080))
        link_proxy.silenced_ips = self._silenced_ips
        await link_proxy.listen(catalog.Address(host, cut_node.SERVER_PORT))
        self.servers[server_id] = server
        self._proxies[server_id] = link_proxy
        self._born_by_id[server_id] = self._born_by_id.get(server_id, number) + 1_000
        server.started_at_ms = self._born_by_id[server_id]
        self.register(server_id)

    def _on_crash(self, server: platform_server.PlatformServer) -> None:
        """Record a crash by a request; the server returns later, under its id or another."""
        crashing = self.runs[-1]
        parts = crashing.headers.get("x-prompt-prefix", "").split(",")
        ids = {part.partition(":")[0] for part in parts} & self._crashing_parts
        self.crash_log.add(min(ids, default=crashing.target), crashing.attempt_id)
        server_id = server.server_id
        link_proxy = self._proxies.pop(server_id, None)
        self.servers.pop(server_id, None)
        if link_proxy is not None and server.crash_mode is server_faults.CrashMode.SILENT:
            link_proxy.stop_accepting()
            link_proxy.drops_requests = link_proxy.drops_responses = True
        elif link_proxy is not None:
            link_proxy.close()
        returning = self._return(server, link_proxy)
        self._return_tasks.append(asyncio.ensure_future(returning))

    async def _return(
        self, server: platform_server.PlatformServer, link_proxy: proxy.Proxy | None
    ) -> None:
        server_id = server.server_id
        keeps_id = self._rng.random() < KEEP_ID_PROBABILITY
        if not keeps_id:
            await self.add_server(server_id.partition("-")[0])
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        server.close()
        if link_proxy is not None:
            link_proxy.close()
        if keeps_id:
            await self._start_server(server_id)
        else:
            await asyncio.sleep(3 * node_process.HEARTBEAT_INTERVAL_SECONDS)
            self.store.put("keyed.servers", server_id, None)

    def register(self, server_id: str, state: str = "ready") -> None:
        """Write a server's record to the store, with the proxy's address."""
        number = int(server_id.rpartition("-")[2])
        entry = {
            "service": server_id.partition("-")[0],
            "address": f"127.{self._block}.3.{number % 250 + 1}:8081",
            "zone": f"z{number % 2}",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "born": self._born_by_id[server_id],
        }
        self.store.put("keyed.servers", server_id, entry)

    def remove_server(self, server_id: str) -> None:
        """Stop a server and its proxy; connections to it are reset."""
        server = self.servers.pop(server_id)
        server.close()
        self._proxies.pop(server_id).close()

    async def apply_fault(self, planned: plan.PlannedFault) -> None:
        """Apply one fault and wait for its end."""
        begin = time.monotonic()
        await self._apply_kind(planned)
        if planned.kind is plan.FaultKind.ALL_KILL:
            self.statement_log.excuse("", begin, time.monotonic())
        elif planned.kind.value.startswith("node"):
            self.statement_log.excuse(self._node_of(planned).name, begin, time.monotonic())
        if planned.kind.value.startswith(("store", "history", "all")):
            disturbed = ""
        elif planned.kind.value.startswith("node"):
            disturbed = self._node_of(planned).name
        else:
            return
        self.crash_log.disturbances.append(crashes.Disturbance(disturbed, begin, time.monotonic()))

    async def _apply_kind(self, planned: plan.PlannedFault) -> None:
        match planned.kind:
            case plan.FaultKind.CRASHING_REQUEST | plan.FaultKind.CRASHING_PART:
                await self._send_crashing_requests(planned)
            case plan.FaultKind.SERVER_LIMIT:
                await self._state_limit(planned)
            case plan.FaultKind.SERVER_REST:
                await self._ask_for_rest(planned)
            case plan.FaultKind.SERVER_LEAVING:
                await self._leave(planned)
            case plan.FaultKind.ALL_KILL:
                await asyncio.gather(*(self._restart(one, signal.SIGKILL) for one in self.nodes))
            case plan.FaultKind.CONFIGURATION:
                self.publish()
            case plan.FaultKind.ZONE_EVACUATED:
                await self._evacuate_zone(f"z{int(planned.target_fraction * 2)}", planned.seconds)
            case plan.FaultKind.CALLERS_CANCEL | plan.FaultKind.CALLERS_READ_SLOWLY:
                self._disturb_callers(planned)
            case plan.FaultKind.HISTORY_COMPACTED:
                self.store.compact_topic("keyed.servers")
                self.store.compact_topic("keyed.op")
            case kind if kind.value.startswith("node"):
                await self._apply_node_fault(planned)
            case kind if kind.value.startswith("store"):
                await self._apply_store_fault(planned)
            case _:
                await self._apply_server_fault(planned)

    def _disturb_callers(self, planned: plan.PlannedFault) -> None:
        until = time.monotonic() + planned.seconds
        if planned.kind is plan.FaultKind.CALLERS_CANCEL:
            self.cancelling_until = until
        else:
            self.reading_slowly_until = until

    async def _state_limit(self, planned: plan.PlannedFault) -> None:
        if not self.servers:
            return
        server = list(self.servers.values())[int(planned.target_fraction * len(self.servers))]
        if server.stated_limit:
            return
        rng = random.Random(planned.target_fraction)
        limit = round(rng.uniform(limits.MIN_LIMIT, limits.MAX_LIMIT), 2)
        begin = time.monotonic()
        server.stated_limit = str(limit)
        await asyncio.sleep(planned.seconds)
        server.stated_limit = ""
        self.limit_log.add(server, limit, begin)

    async def _ask_for_rest(self, planned: plan.PlannedFault) -> None:
        if not self.servers:
            return
        server = list(self.servers.values())[int(planned.target_fraction * len(self.servers))]
        if server.turns_away:
            return
        rng = random.Random(planned.target_fraction)
        seconds = rng.uniform(statements.MIN_REST_SECONDS, statements.MAX_REST_SECONDS)
        server.stated_rest = f"{seconds:.2f}"
        server.turns_away = True
        self.statement_log.resting.append(server)
        await asyncio.sleep(planned.seconds / 2)
        server.turns_away = False

    async def _leave(self, planned: plan.PlannedFault) -> None:
        if not self.servers:
            return
        server_id = list(self.servers)[int(planned.target_fraction * len(self.servers))]
        server = self.servers[server_id]
        if server.is_leaving:
            return
        server.is_leaving = True
        self.statement_log.leaving.append((server, time.monotonic()))
        await self.add_server(server_id.partition("-")[0])
        await asyncio.sleep(max(LEAVING_SECONDS, planned.seconds / 2))
        if self.servers.get(server_id) is server:
            self.remove_server(server_id)
            self.store.put("keyed.servers", server_id, None)

    async def _send_crashing_requests(self, planned: plan.PlannedFault) -> None:
        is_part = planned.kind is plan.FaultKind.CRASHING_PART
        resender = crashes.Resender(
            len(self._crashing_paths) + len(self._crashing_parts),
            {node.name: catalog.Address(node.ip, node_process.CALLER_PORT) for node in self.nodes},
            self._checker,
            random.Random(planned.target_fraction),
            is_part=is_part,
        )
        if is_part:
            self._crashing_parts.add(resender.part)
        else:
            self._crashing_paths.add(resender.target)
        await resender.run(planned.seconds)

    def _node_of(self, planned: plan.PlannedFault) -> node_process.Node:
        return self.nodes[int(planned.target_fraction * len(self.nodes))]

    async def _apply_node_fault(self, planned: plan.PlannedFault) -> None:
        node = self._node_of(planned)
        match planned.kind:
            case plan.FaultKind.NODE_REACHES_NO_SERVER:
                await self._cut_from_servers(node, planned)
            case plan.FaultKind.NODE_KILL:
                await self._restart(node, signal.SIGKILL)
            case plan.FaultKind.NODE_STOP:
                await self._restart(node, signal.SIGTERM)
            case plan.FaultKind.NODE_PAUSE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(planned.seconds)
                node.signal(signal.SIGCONT)
            case _:
                node.write_settings()
                node.signal(signal.SIGHUP)

    async def _cut_from_servers(self, node: node_process.Node, planned: plan.PlannedFault) -> None:
        mode = random.Random(planned.target_fraction).choice(list(cut_node.CutMode))
        node.cut_from_servers(mode)
        if mode is cut_node.CutMode.HANGING:
            self._silenced_ips.add(node.ip)
        elif mode is cut_node.CutMode.RESET:
            self._reset_connections(node)
        await asyncio.sleep(planned.seconds)
        if node.end_cut() and node.ip in self._silenced_ips:
            # Bytes were discarded, so that open connections are out of step.
            self._silenced_ips.discard(node.ip)
            self._reset_connections(node)

    def _reset_connections(self, node: node_process.Node) -> None:
        for link_proxy in self._proxies.values():
            link_proxy.reset_from(node.ip)

    async def _apply_server_fault(self, planned: plan.PlannedFault) -> None:
        if not self.servers:
            return
        server_id = list(self.servers)[int(planned.target_fraction * len(self.servers))]
        link_proxy = self._proxies[server_id]
        match planned.kind:
            case plan.FaultKind.SERVER_CRASH | plan.FaultKind.SERVER_DRAIN:
                await self._replace(server_id, planned)
            case plan.FaultKind.SERVER_FAULTS:
                await self._fail_requests(self.servers[server_id], planned.seconds)
            case plan.FaultKind.SERVER_PAUSE:
                self.servers[server_id].fall_silent(planned.seconds)
            case plan.FaultKind.SERVER_SLOW:
                await self._slow_down(self.servers[server_id], planned)
            case plan.FaultKind.LINK_RESET:
                link_proxy.reset_all()
            case _:
                await self._apply_link_fault(link_proxy, planned)

    async def _restart(self, node: node_process.Node, signal_number: signal.Signals) -> None:
        if not node.is_running:
            return
        node.signal(signal_number)
        if not await node.wait_stopped(
            node_process.STOP_GRACE_SECONDS if signal_number is signal.SIGTERM else 1.0
        ):
            self.stop_failures.append(f"STOP: {node.name} was still running after its grace time")
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        node.start()

    async def _replace(self, server_id: str, planned: plan.PlannedFault) -> None:
        kind = server_id.partition("-")[0]
        await self.add_server(kind)
        if planned.kind is plan.FaultKind.SERVER_DRAIN:
            self.register(server_id, "draining")
            await asyncio.sleep(4.0)
        if server_id in self.servers:
            self.remove_server(server_id)
        await asyncio.sleep(planned.seconds)
        self.store.put("keyed.servers", server_id, None)

    async def _slow_down(
        self, server: platform_server.PlatformServer, planned: plan.PlannedFault
    ) -> None:
        rng = random.Random(planned.target_fraction)
        server.slowdown = rng.uniform(plan.MIN_SLOWDOWN, plan.MAX_SLOWDOWN)
        await asyncio.sleep(planned.seconds)
        server.slowdown = 1.0

    async def _fail_requests(self, server: platform_server.PlatformServer, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not server.faults and self._rng.random() < FAULT_PROBABILITY:
                server.faults.append(self._rng.choice(list(server_faults.Fault)))
            await asyncio.sleep(0.02)
        server.faults.clear()

    async def _evacuate_zone(self, zone: str, seconds: float) -> None:
        if self._evacuated_zones:
            return
        self._evacuated_zones.add(zone)
        self.store.put("keyed.op", f"evacuate/{zone}", {})
        await asyncio.sleep(seconds)
        self.store.put("keyed.op", f"evacuate/{zone}", None)
        self._evacuated_zones.discard(zone)

    async def _apply_link_fault(self, link_proxy: proxy.Proxy, planned: plan.PlannedFault) -> None:
        if planned.kind is plan.FaultKind.LINK_DELAY:
            link_proxy.delay_seconds = 0.2
        elif planned.kind is plan.FaultKind.LINK_UNRESPONSIVE:
            link_proxy.drops_requests = link_proxy.drops_responses = True
        else:
            link_proxy.drops_responses = True
        await asyncio.sleep(planned.seconds)
        link_proxy.clear_faults()
        if planned.kind is not plan.FaultKind.LINK_DELAY:
            # Bytes were discarded, so that open connections are out of step.
            link_proxy.reset_all()

    async def _apply_store_fault(self, planned: plan.PlannedFault) -> None:
        faults = self.faults[int(planned.target_fraction * len(self.faults))]
        affected = self.faults if planned.kind is plan.FaultKind.STORE_DOWN else [faults]
        for one in affected:
            one.is_unresponsive = planned.kind is plan.FaultKind.STORE_UNRESPONSIVE_TO_NODE
            if planned.kind in (plan.FaultKind.STORE_DOWN, plan.FaultKind.STORE_REFUSES_NODE):
                one.refusal_status = self._rng.choice([429, 503])
            one.delay_seconds = 0.3 if planned.kind is plan.FaultKind.STORE_SLOW else 0.004
            one.drops_append_responses = planned.kind is plan.FaultKind.STORE_LOSES_RESPONSES
            one.stale_records = 5 if planned.kind is plan.FaultKind.STORE_STALE else 0
        await asyncio.sleep(planned.seconds)
        for one in affected:
            one.clear()

    def check_leaks(self, checker: checks.Checker) -> None:
        """Report servers that still hold reservations as violations."""
        for server_id, server in self.servers.items():
            if server.reserved_tokens_by_id:
                checker.violations.append(f"LEAK: {server_id} holds {server.reserved_tokens_by_id}")

    async def close(self) -> None:
        """Kill the node processes that the soak started, and stop the servers and the store."""
        for task in self._return_tasks:
            task.cancel()
        for node in self.nodes:
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            await node.wait_stopped(1.0)
        for server_id in list(self.servers):
            self.remove_server(server_id)
        self.store.close()

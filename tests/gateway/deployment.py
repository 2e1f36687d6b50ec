"""A small deployment in one process: simulated store and servers, and real nodes, on loopback."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import itertools
import json
import os
import socket
import weakref
from typing import TYPE_CHECKING, NamedTuple, NoReturn

import h11
import result

from dragonflycove.fleet import catalog, host_settings, peer_messages, roster
from dragonflycove.gateway import connection_pool, daemon, peer_codec, request_admission
from dragonflycove.platform import requests
from dragonflycove.quarantine import part_blame
from dragonflycove.standins.platform import server as platform_server
from dragonflycove.standins.platform import server_faults
from dragonflycove.standins.platform import store as platform_store
from tests import ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from dragonflycove.transport import http1

READY_TIMEOUT_SECONDS = 5.0
"""Timeout of a node's start, until it reports to be ready."""


SERVER_RETURN_SECONDS = 1.0
"""Time from a server's crash to its return."""

NODE_RESTART_SECONDS = 0.1
"""Time from a node's end to its next start."""

NODE_BLOCK = 100 + os.getpid() % 120
"""Second byte of the nodes' addresses; runs that go on at the same time mostly have different ones."""

HEARTBEAT_SECONDS = 0.5
"""Time between two heartbeats of a server."""


class Comeback(enum.Enum):
    """How a crashed server returns."""

    NEW_ID = "new_id"
    """Under another id; the record of the old one is deleted."""

    SAME_ID = "same_id"
    """Under the same id, as another start of it."""

    SAME_START = "same_start"
    """It had only been cut off: its heartbeats go on, and the next requests run."""


class CutMode(enum.Enum):
    """What becomes of a node's connections to servers when it is cut off from all of them."""

    REFUSED = "refused"
    """Open connections live on, new ones are refused."""

    RESET = "reset"
    """Open connections are reset, new ones are refused."""

    HANGING = "hanging"
    """Nothing arrives any more on open connections, and new ones are never accepted."""


class CallerResult(NamedTuple):
    """The response that a caller received, complete or not."""

    status: int
    """Status code; 0 if the connection ended without a response."""

    headers: dict[str, str]
    """Response headers by lower-case name."""

    body: bytes
    """The received part of the body."""

    is_complete: bool
    """Whether the response was complete."""


def loopback() -> catalog.Address:
    """Return a free loopback address."""
    return catalog.Address("127.0.0.1", ports.free_port())


def settings(
    name: str, store: catalog.Address, zone: str = "z1", ip: str = "127.0.0.1"
) -> host_settings.HostSettings:
    """Return the settings of a node."""
    peer_address = catalog.Address(ip, ports.free_ports(1 + roster.RELAY_PORT_OFFSET))
    return host_settings.HostSettings(
        host=name,
        ip=ip,
        zone=zone,
        region="r1",
        region_by_zone={"z1": "r1", "z2": "r1"},
        caller_address=loopback(),
        readiness_address=loopback(),
        directory_address=loopback(),
        peer_address=peer_address,
        relay_address=roster.relay_address(peer_address),
        seed_ips=(),
        cores=1.0,
        memory_bytes=300_000_000,
        max_descriptors=4_096,
        heartbeat_seconds=1.2,
        store=host_settings.StoreLimits(store, 400.0, 2000.0),
        bounds=host_settings.Bounds(
            drain_seconds=2.0,
            grace_seconds=8.0,
            contact_seconds=3.0,
            retry_ratio=0.2,
            retry_window_seconds=10.0,
            retry_allowance=100.0,
            cold_overage=1.5,
            cold_tolerance=5.0,
            directory_ttl_seconds=5.0,
            max_reservation_seconds=20.0,
            stall_seconds=1.5,
        ),
    )


def configuration(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration in the form that operators write to the store."""
    routes = [
        _route("/ask/", "streaming", "svc"),
        _route("/review/", "streaming", "svc", latency_goal_ms=3_000, gap_target_ms=1_000),
        _route("/post/", "non_idempotent", "plain", max_attempts=1),
        _route("/look/", "idempotent", "plain"),
        _route("/open/", "idempotent", "plain", public=True),
    ]
    engine = {
        "slots": 8,
        "kv_capacity": 232_000,
        "stride": 43,
        "step_ms": 1.02,
        "per_seq_ms": 0.00452,
        "context_per_k": 0.00431,
        "read_per_s": 206_000.0,
        "pairs_per_m": 0.138,
        "chunk": 2_048,
        "hop_ms": 0.075,
    }
    value: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "svc", "cold_start_s": 3.0, "cold_per_s": 28.0, "engine": engine},
            {"name": "plain"},
        ],
        "limits": {"idle_timeout_ms": 15_000, "max_body_bytes": 100_000},
        "tenants": [{"name": "org", "api_keys": ["k1"]}, {"name": "other", "api_keys": ["k2"]}],
    }
    value.update(changes)
    return value


def _route(prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    route: dict[str, object] = {
        "name": prefix.strip("/"),
        "host": "h.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4_000,
        "latency_goal_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "resumable": kind == "streaming",
        "gap_target_ms": 250,
    }
    route.update(changes)
    return route


class Deployment:
    """A store, backend servers and nodes."""

    def __init__(self) -> None:
        """Create an empty deployment."""
        self.store = platform_store.PlatformStore()
        """Simulated store."""
        self.server_by_id: dict[str, platform_server.PlatformServer] = {}
        """Simulated backend servers by id."""
        self.address_by_id: dict[str, catalog.Address] = {}
        """Addresses of the servers by id."""
        self.nodes: list[daemon.Daemon] = []
        """Nodes, in the order of their start."""
        self.settings: list[host_settings.HostSettings] = []
        """Settings of the nodes, in the order of `nodes`."""
        self.faults: list[platform_store.StoreFaults] = []
        """Faults of the store towards each node, in the order of `nodes`."""
        self.crash_times_by_path: dict[str, list[float]] = collections.defaultdict(list)
        """Loop times at which requests with each path have crashed servers."""
        self.crashing_parts: set[str] = set()
        """Parts of prompts that crash the servers that return after a crash."""
        self._born_by_id: dict[str, int] = collections.defaultdict(lambda: 1)
        self._record_by_id: dict[str, dict[str, object]] = {}
        self._beating_ids: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._link_by_node: dict[int, ServerLink] = {}

    async def add_server(
        self, server_id: str, service: str = "svc", **options: float
    ) -> platform_server.PlatformServer:
        """Start a server and register it in the store."""
        server = platform_server.PlatformServer(server_id, **options)  # type: ignore[arg-type]
        address = loopback()
        await server.listen(address)
        self.server_by_id[server_id] = server
        self.address_by_id[server_id] = address
        self.register(server_id, service)
        return server

    async def add_crashing_server(
        self,
        server_id: str,
        path: str,
        mode: server_faults.CrashMode = server_faults.CrashMode.RESET,
        service: str = "svc",
        *,
        comeback: Comeback = Comeback.NEW_ID,
    ) -> platform_server.PlatformServer:
        """Start a server that a request with the given path crashes, and that returns afterwards."""
        server = await self.add_server(server_id, service)
        self._crash_on(server, path, mode, service, comeback)
        return server

    def _crash_on(
        self,
        server: platform_server.PlatformServer,
        path: str,
        mode: server_faults.CrashMode,
        service: str,
        comeback: Comeback,
    ) -> None:
        server.crashing_paths.add(path)
        server.crashing_parts = self.crashing_parts
        server.crash_mode = mode

        def return_later() -> None:
            self.crash_times_by_path[path].append(asyncio.get_running_loop().time())
            self._beating_ids.discard(server.server_id)
            if comeback is Comeback.SAME_START:
                self._beating_ids.add(server.server_id)
            self._tasks.append(
                asyncio.ensure_future(self._return(server, path, mode, service, comeback))
            )

        server.on_crash = return_later

    async def _return(
        self,
        server: platform_server.PlatformServer,
        path: str,
        mode: server_faults.CrashMode,
        service: str,
        comeback: Comeback,
    ) -> None:
        await asyncio.sleep(SERVER_RETURN_SECONDS)
        server_id = server.server_id
        if comeback is Comeback.NEW_ID:
            self.store.put("keyed.servers", server_id, None)
            await self.add_crashing_server(f"{server_id}r", path, mode, service)
            return
        server.close()
        successor = platform_server.PlatformServer(server_id)
        await successor.listen(self.address_by_id[server_id])
        self.server_by_id[server_id] = successor
        if comeback is Comeback.SAME_ID:
            self._crash_on(successor, path, mode, service, comeback)
            self._born_by_id[server_id] += 1
            self.register(server_id, service)

    def beat(self) -> None:
        """Write the records of all running servers again at intervals, as their heartbeats."""
        self._tasks.append(asyncio.ensure_future(self._beat()))

    async def _beat(self) -> None:
        while True:
            for server_id in self._beating_ids:
                self.store.put("keyed.servers", server_id, self._record_by_id[server_id])
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def remove_server(self, server_id: str) -> None:
        """Stop a server and delete its record."""
        self.server_by_id.pop(server_id).close()
        self._beating_ids.discard(server_id)
        self.store.put("keyed.servers", server_id, None)

    def tell_crashes(self, path: str, server_ids: list[str], node: int = 0) -> None:
        """Tell a node, as another one, that a request has crashed some servers."""
        request = requests.decode_request(b"POST", path.encode(), (), b"")
        fingerprint = request.content_hash ^ request_admission.hash_text("org")
        self._tell(fingerprint, [(one, 0.0) for one in server_ids], node)

    def tell_part_crashes(self, part: str, server_ids: list[str], node: int = 0) -> None:
        """Tell a node that a part of prompts has crashed some servers, one second apart."""
        crashes = [(one, float(age)) for age, one in enumerate(server_ids)]
        self._tell(part_blame.part_fingerprint(part), crashes, node)

    def _tell(self, fingerprint: int, crashes: list[tuple[str, float]], node: int) -> None:
        records = tuple(
            peer_messages.CrashRecord(fingerprint, catalog.Instance(server_id, 1), age)
            for server_id, age in crashes
        )
        report = peer_messages.CrashReport(records, (), (), wants_all=False)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            address = self.settings[node].peer_address
            sender.sendto(peer_codec.encode(report), (address.ip, address.port))

    def cut_off(self, number: int) -> None:
        """Drop all datagrams between a node and the others."""
        address = self.settings[number].peer_address
        for node, own in zip(self.nodes, self.settings, strict=True):
            _drop_datagrams(node, lambda one, own=own: address in (one, own.peer_address))

    def reconnect(self, number: int) -> None:
        """End the cut of a node."""
        for node in self.nodes:
            _drop_datagrams(node, lambda _: False)

    def cut_from_servers(self, number: int, mode: CutMode) -> None:
        """Cut a node off from all servers; callers, the store and the other nodes still reach it."""
        self._link_by_node[number].cut(mode)

    def reconnect_to_servers(self, number: int) -> None:
        """End such a cut."""
        self._link_by_node[number].heal()

    async def restart_node(self, number: int) -> None:
        """End a node at once, as a kill does, and start it again on its host."""
        self.nodes[number].close()
        await asyncio.sleep(NODE_RESTART_SECONDS)
        node = daemon.Daemon(self.settings[number], "/nonexistent", metrics_port=ports.free_port())
        self.nodes[number] = node
        self._link_by_node[number] = ServerLink(node)
        await node.start()
        await self.wait_ready(number)

    async def wait_ready(self, number: int) -> None:
        """Wait until a node reports to be ready."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for pause in itertools.repeat(0.02):
                if await self.readiness(number) == 200:
                    return
                await asyncio.sleep(pause)

    def register(self, server_id: str, service: str = "svc", **changes: object) -> None:
        """Write a server's record to the store."""
        record: dict[str, object] = {
            "service": service,
            "address": str(self.address_by_id[server_id]),
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "born": self._born_by_id[server_id],
        }
        record.update(changes)
        self._record_by_id[server_id] = record
        self._beating_ids.add(server_id)
        self.store.put("keyed.servers", server_id, record)

    async def add_node(self, zone: str = "z1") -> daemon.Daemon:
        """Start a node and wait until it is ready."""
        store_address = loopback()
        self.faults.append(await self.store.open_listener(store_address))
        number = len(self.nodes)
        own = settings(f"n{number}", store_address, zone, f"127.{NODE_BLOCK}.1.{number + 1}")
        node = daemon.Daemon(own, "/nonexistent", metrics_port=ports.free_port())
        self.settings.append(own)
        self._link_by_node[len(self.nodes)] = ServerLink(node)
        self.nodes.append(node)
        await node.start()
        await self.wait_ready(len(self.nodes) - 1)
        return node

    async def readiness(self, node: int = 0) -> int:
        """Return the status of a node's readiness check."""
        address = self.settings[node].readiness_address
        assert address is not None
        return (await exchange(address, b"GET", "/readyz", {})).status

    async def directory(self, node: int = 0) -> list[str]:
        """Return the addresses that a node's directory gives to callers."""
        address = self.settings[node].directory_address
        assert address is not None
        response = await exchange(address, b"GET", "/resolve?name=x&region=r1&zone=z1", {})
        addresses: list[str] = json.loads(response.body)["addresses"]
        return addresses

    async def call(
        self,
        path: str,
        *,
        node: int = 0,
        attempt: str = "a1",
        key: str | None = "k1",
        body: bytes = b"",
        method: bytes = b"POST",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 3_000,
    ) -> CallerResult:
        """Send a caller's request over a new connection."""
        request_headers = {
            "Host": "h.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            request_headers["X-Api-Key"] = key
        if path.startswith("/ask/"):
            request_headers |= {
                "X-Model": "m",
                "X-Token-Counts": "1000,100",
                "X-Prompt-Prefix": "ab:1000",
            }
        request_headers |= headers or {}
        address = self.settings[node].caller_address
        assert address is not None
        return await exchange(address, method, path, request_headers, body)

    def runs(self, attempt: str = "a1") -> list[platform_server.ExecutedRequest]:
        """Return all runs of a request, over all servers."""
        return [
            run
            for server in self.server_by_id.values()
            for run in server.runs
            if run.attempt_id == attempt
        ]

    def fail_first(self, fault: server_faults.Fault) -> None:
        """Inject a fault once, into whichever server gets the next request."""
        shared = collections.deque([fault])
        for server in self.server_by_id.values():
            server.faults = shared

    async def wait_for_run(self, attempt: str = "a1") -> None:
        """Wait until a request runs at some server."""
        for _ in range(1_000):
            if self.runs(attempt):
                return
            await asyncio.sleep(0.005)
        raise TimeoutError(f"{attempt} did not run")

    def close(self) -> None:
        """Stop nodes, servers and store without draining."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.close()
        for server in self.server_by_id.values():
            server.close()
        self.store.close()


class ServerLink:
    """The paths of one node to all backend servers, which can be cut."""

    def __init__(self, node: daemon.Daemon) -> None:
        """Put the link between a node and its connections to servers."""
        self._pool = node._pool  # noqa: SLF001
        self._take = self._pool.take
        self._is_reachable = self._pool.is_reachable
        self._taken: weakref.WeakSet[http1.Connection] = weakref.WeakSet()
        self._mode: CutMode | None = None
        self._pool.take = self._take_unless_cut  # type: ignore[method-assign]
        self._pool.is_reachable = self._is_reachable_unless_cut  # type: ignore[method-assign]

    def cut(self, mode: CutMode) -> None:
        """Cut all paths."""
        self._mode = mode
        for connection in list(self._taken):
            if mode is CutMode.RESET:
                connection._writer.transport.abort()  # noqa: SLF001
            elif mode is CutMode.HANGING:
                _silence(connection)

    def heal(self) -> None:
        """End the cut; bytes that were lost stay lost."""
        self._mode = None

    async def _take_unless_cut(
        self, address: catalog.Address, *, fresh: bool, connect_seconds: float
    ) -> result.Result[http1.Connection, str]:
        if self._mode is not None:
            idle = self._pool._idle_by_address.get(address, [])  # noqa: SLF001
            while idle and not fresh:
                connection = idle.pop()
                if connection.is_idle():
                    return result.Ok(connection)
            if self._mode is not CutMode.HANGING:
                return result.Err("connect_failed: refused")
            await asyncio.sleep(min(connection_pool.CONNECT_TIMEOUT_SECONDS, connect_seconds))
            return result.Err("connect_timeout")
        taken = await self._take(address, fresh=fresh, connect_seconds=connect_seconds)
        if isinstance(taken, result.Ok):
            self._taken.add(taken.ok_value)
        return taken

    async def _is_reachable_unless_cut(self, address: catalog.Address) -> bool:
        if self._mode is None:
            return await self._is_reachable(address)
        if self._mode is CutMode.HANGING:
            await asyncio.sleep(connection_pool.REACHABILITY_TIMEOUT_SECONDS)
        return False


def _silence(connection: http1.Connection) -> None:
    """Lose all further bytes of a connection in both directions, without a sign of it."""

    async def never() -> NoReturn:
        await asyncio.Event().wait()
        raise AssertionError

    connection._reader.read = lambda _: never()  # type: ignore[assignment] # noqa: SLF001
    connection.send = lambda _: None  # type: ignore[method-assign]


def _drop_datagrams(node: daemon.Daemon, is_dropped: Callable[[catalog.Address], bool]) -> None:
    """Let a node's peer socket drop the datagrams to some receivers."""
    peer_socket = node._peer_socket  # noqa: SLF001
    send = type(peer_socket).send

    def send_unless_dropped(address: catalog.Address, message: peer_messages.Message) -> None:
        if not is_dropped(address):
            send(peer_socket, address, message)

    peer_socket.send = send_unless_dropped  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def deployed(nodes: int = 1) -> AsyncIterator[Deployment]:
    """Run two engines, two plain servers and as many nodes as given."""
    deployment = Deployment()
    deployment.store.put("keyed.op", "config", configuration())
    try:
        for name in ("e1", "e2"):
            await deployment.add_server(name)
        for name in ("p1", "p2"):
            await deployment.add_server(name, "plain")
        for _ in range(nodes):
            await deployment.add_node()
        yield deployment
    finally:
        deployment.close()


async def exchange(
    address: catalog.Address,
    method: bytes,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> CallerResult:
    """Send one request over a new connection and read the response."""
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        return await exchange_on(reader, writer, method, target, headers, body)
    finally:
        writer.close()


async def exchange_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: bytes,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> CallerResult:
    """Send one request over an open connection and read the response."""
    parser = h11.Connection(h11.CLIENT)
    request_headers = [*headers.items(), ("Content-Length", str(len(body)))]
    if "Host" not in headers:
        request_headers.append(("Host", "x"))
    writer.write(
        parser.send(h11.Request(method=method, target=target, headers=request_headers)) or b""
    )
    if body:
        writer.write(parser.send(h11.Data(data=body)) or b"")
    parser.send(h11.EndOfMessage())
    return await read_response(reader, parser)


async def read_response(reader: asyncio.StreamReader, parser: h11.Connection) -> CallerResult:
    """Read the response to a request that was sent."""
    status, response_headers, content, is_complete = 0, {}, b"", False
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                response_headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                content += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                is_complete = True
                break
            elif isinstance(event, h11.ConnectionClosed):
                break
    except (OSError, h11.RemoteProtocolError):
        pass
    return CallerResult(status, response_headers, content, is_complete)

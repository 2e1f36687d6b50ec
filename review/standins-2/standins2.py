"""Stand-ins and process control for the cases 6 to 10: servers, the platform's store, nodes, callers.

The store is the project's own stand-in. Servers speak what PROTOCOL.md says of plain and streamed
responses. All addresses are loopback addresses in one free block of 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

import h11  # noqa: E402

from dragonflycove.fleet import catalog  # noqa: E402
from dragonflycove.standins.platform import store as platform_store  # noqa: E402

# An exception ends Python with 1, so `run.sh` turns 11 into 1 and all else into 2.
HELD, BROKEN, NOT_RUN = 0, 11, 2
SERVER_PORT, CALLER_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT, STORE_PORT = (
    8080,
    8227,
    8220,
    8224,
    7340,
    8223,
)
HEARTBEAT_SECONDS = 1.2
HOST = "shop.example"
KEY = "key-of-org"
_SO_ATTACH_FILTER = 26
_NETWORK_HEADER = -0x100000


class CannotRun(Exception):
    """The case can't run on this machine."""


def free_block() -> int:
    """Return the second byte of a block of loopback addresses that nobody uses."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for block in numbers:
        try:
            for ip, port in ((f"127.{block}.1.1", CALLER_PORT), (f"127.{block}.2.1", STORE_PORT)):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return block
        except OSError:
            continue
    raise CannotRun("no free block of loopback addresses")


def drop_from(sock: socket.socket, ip: str | None) -> None:
    """Drop what arrives at a socket from an address, as a cut of the path does; None ends it."""

    def instruction(code: int, jump_true: int, jump_false: int, value: int) -> bytes:
        return struct.pack("HBBI", code, jump_true, jump_false, value & 0xFFFFFFFF)

    address = struct.unpack("!I", socket.inet_aton(ip or "0.0.0.0"))[0]
    program = (
        instruction(0x20, 0, 0, _NETWORK_HEADER + 12)  # load the sender's address
        + instruction(0x15, 1, 0, address)  # equal: skip one
        + instruction(0x06, 0, 0, 0x40000)  # accept
        + instruction(0x06, 0, 0, 0)  # drop
    )
    buffer = ctypes.create_string_buffer(program)
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, struct.pack("@HP", 4, ctypes.addressof(buffer))
        )
    except OSError as error:
        raise CannotRun(f"no socket filter: {error}") from error


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, *words: object) -> None:
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} " + " ".join(map(str, words)) + "\n")
        self._file.flush()


class Answer:
    """What a server does with one request."""

    def __init__(
        self,
        status: int = 200,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        seconds: float = 0.02,
        runs: bool = True,
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers
        self.seconds = seconds
        self.runs = runs


class Server:
    """A backend server: one request at a time on each connection."""

    def __init__(self, world: World, server_id: str, ip: str, service: str, zone: str) -> None:
        self.world = world
        self.server_id = server_id
        self.ip = ip
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_listed = False
        self.runs: list[tuple[str, str, float]] = []
        """Attempt id, sender's address and time of each request that ran."""
        self.arrivals: list[tuple[str, str, float]] = []
        """The same of each request that arrived, run or not."""
        self.answer = lambda headers, target, sender: Answer(body=b"x" * 800)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._cut_ip: str | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, SERVER_PORT)

    def entry(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{self.ip}:{SERVER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self.born,
        }

    def cut(self, ip: str | None) -> None:
        """Lose the path from one machine, or get it back."""
        self._cut_ip = ip
        assert self._server is not None
        for sock in self._server.sockets:
            drop_from(sock._sock, ip)  # type: ignore[attr-defined]
        for writer in self._writers:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                drop_from(raw._sock, ip)

    def crash(self) -> None:
        """End at once: all connections are reset, new ones are refused."""
        self.world.record.write("crash", self.server_id, "born", self.born)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.is_listed = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        sender = str(writer.get_extra_info("peername")[0])
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                head = await _next(parser, reader)
                if not isinstance(head, h11.Request):
                    return
                body = b""
                while isinstance(event := await _next(parser, reader), h11.Data):
                    body += bytes(event.data)
                if not isinstance(event, h11.EndOfMessage):
                    return
                await self._respond(head, sender, writer)
                parser.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
                parser.send(h11.EndOfMessage())
                if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
                    return
                parser.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, head: h11.Request, sender: str, writer: asyncio.StreamWriter) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        attempt = headers.get("x-attempt-id", "")
        target = head.target.decode()
        now = time.monotonic()
        expected = headers.get("x-expect-instance", self.server_id)
        if expected != self.server_id:
            answer = Answer(421, runs=False, seconds=0.0)
        elif target == "/report":
            body = json.dumps({"waiting": 0, "running": 0, "kv_used": 0, "born": self.born})
            answer = Answer(200, body.encode(), runs=False, seconds=0.0)
        else:
            answer = self.answer(headers, target, sender)
        if attempt:
            self.arrivals.append((attempt, sender, now))
        if answer.runs:
            self.runs.append((attempt, sender, now))
        if attempt:
            what = "run" if answer.runs else "turned away"
            self.world.record.write(
                "server", self.server_id, what, attempt, target, "from", sender, "->", answer.status
            )
        await asyncio.sleep(answer.seconds)
        lines = [
            f"HTTP/1.1 {answer.status} Status",
            f"Content-Length: {len(answer.body)}",
            f"X-Server-Stamp: 3e1b.{self.server_id}",
            *(() if answer.runs or answer.status == 200 else ("X-Not-Executed: 1",)),
            *((f"X-Attempt-Id: {attempt}",) if attempt else ()),
            *answer.headers,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body)
        await writer.drain()


class Node:
    """A process of the deploy file's role, with its settings."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.world = world
        self.name = f"edge-{number}"
        self.ip = f"127.{world.block}.1.{number}"
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = world.folder / f"{self.name}.yaml"
        self._log = world.folder / f"{self.name}.log"

    def start(self) -> None:
        world = self.world
        settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "edge",
            "served_roles": ["edge", "registry"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
            "listen_addresses": {
                "frontend": f"{self.ip}:{CALLER_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "directory_service": f"{self.ip}:{DIRECTORY_PORT}",
            },
            "internal_port_range": [PEER_PORT, PEER_PORT + 15],
            "seed_nodes": [f"127.{world.block}.1.1:8229"],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300, "max_fds": 4100},
            "discovery": "platform",
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream"]
            + ["tenants", "places", "platform", "spans"],
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_allowance": 100,
                "cold_overage": 1.5,
                "cold_tolerance": 5,
                "stall_ms": 1500,
                "hold_max_ms": 20000,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": f"127.{world.block}.2.1:{STORE_PORT}",
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
        }
        self._settings.write_text(json.dumps(settings))  # JSON is YAML.
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(world.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DRAGONFLYCOVE_CONFIG": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "scripts/platform_node.py", "deploy/load.jsonc"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        world.record.write("start", self.name, "pid", self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.world.record.write("signal", self.name, number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Response:
    """What a caller got: a status of 0 stands for no complete response."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, seconds: float) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.seconds = seconds


class World:
    """The store, the servers, the nodes and the callers of one case."""

    def __init__(self, folder: pathlib.Path, work: pathlib.Path) -> None:
        self.folder = work
        self.record = Record(folder)
        self.block = free_block()
        self.store = platform_store.PlatformStore()
        self.servers: list[Server] = []
        self.nodes: list[Node] = []
        self._beat: asyncio.Task[None] | None = None
        self._attempts = 0

    async def start(self, config: dict[str, object], nodes: int, zones: list[str]) -> None:
        address = catalog.Address(f"127.{self.block}.2.1", STORE_PORT)
        await self.store.open_listener(address)
        self.put("keyed.op", "config", config)
        for server in self.servers:
            await self.list_server(server)
        self._beat = asyncio.ensure_future(self._heartbeats())
        for number in range(1, nodes + 1):
            node = Node(self, number, zones[(number - 1) % len(zones)])
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)

    def add_server(self, service: str, zone: str) -> Server:
        number = len(self.servers) + 1
        server = Server(self, f"i-{number:04x}", f"127.{self.block}.3.{number}", service, zone)
        self.servers.append(server)
        return server

    async def list_server(self, server: Server) -> None:
        await server.start()
        server.is_listed = True
        self.put("keyed.servers", server.server_id, server.entry())

    def put(self, topic: str, key: str, value: object) -> int:
        offset = self.store.put(topic, key, value)
        if topic == "keyed.op":
            self.record.write("operator writes", key, "at", offset)
        return offset

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for server in self.servers:
                if server.is_listed:
                    self.store.put("keyed.servers", server.server_id, server.entry())

    async def wait_ready(self, node: Node, seconds: float = 15.0) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            response = await self._exchange(node.ip, READY_PORT, b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
            if response.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{node.name} isn't ready")

    async def call(
        self,
        node: Node,
        method: str,
        target: str,
        *,
        deadline_ms: int = 4000,
        headers: tuple[str, ...] = (),
        body: bytes = b"",
    ) -> tuple[str, Response]:
        """Send one attempt of a request on a new connection; returns its id and the response."""
        self._attempts += 1
        attempt = f"{self._attempts:08x}{random.getrandbits(32):08x}"
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Api-Key: {KEY}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.record.write("sent", attempt, method, target, "to", node.name)
        response = await self._exchange(node.ip, CALLER_PORT, data, deadline_ms / 1000 + 1.0)
        self.record.write("answered", attempt, response.status, f"{response.seconds:.3f} s")
        return attempt, response

    async def _exchange(self, ip: str, port: int, data: bytes, seconds: float) -> Response:
        started_at = time.monotonic()
        writer: asyncio.StreamWriter | None = None
        parser = h11.Connection(h11.CLIENT)
        method, target = data.split(b" ", 2)[:2]
        parser.send(h11.Request(method=method, target=target, headers=[(b"Host", b"x")]))
        parser.send(h11.EndOfMessage())
        status, headers, body = 0, {}, b""
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(data)
                while True:
                    event = await _next(parser, reader)
                    if isinstance(event, h11.Response):
                        status = event.status_code
                        headers = {k.decode(): v.decode() for k, v in event.headers}
                    elif isinstance(event, h11.Data):
                        body += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        break
                    elif not isinstance(event, h11.InformationalResponse):
                        status = 0
                        break
        except (OSError, TimeoutError, h11.ProtocolError):
            status = 0
        finally:
            if writer is not None:
                writer.transport.abort()
        return Response(status, headers, body, time.monotonic() - started_at)

    def end(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        for node in self.nodes:
            node.end()
        for server in self.servers:
            server.crash()
        self.store.close()


async def _next(parser: h11.Connection, reader: asyncio.StreamReader) -> object:
    while (event := parser.next_event()) is h11.NEED_DATA:
        parser.receive_data(await reader.read(65_536))
    return event


def route(prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route of the configuration, with the figures of the small deployment's sheet."""
    value: dict[str, object] = {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4000,
        "latency_goal_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }
    value.update(changes)
    return value


def configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration with the two services of the small deployment."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "copy-llm",
                "health_path": "/healthz",
                "max_connections": 334,
                "cold_start_s": 3.0,
                "cold_per_s": 38.0,
                "engine": {
                    "slots": 8,
                    "kv_capacity": 232_000,
                    "stride": 43,
                    "step_ms": 1.02,
                    "per_seq_ms": 0.00452,
                    "context_per_k": 0.00431,
                    "read_per_s": 206_000.0,
                    "pairs_per_m": 0.138,
                    "chunk": 2048,
                    "hop_ms": 0.075,
                },
            },
            {"name": "booking-app", "health_path": "/healthz", "max_connections": 48},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "org", "api_keys": [KEY]}],
    }


def main(folder: str, play, is_troubled: bool, seconds: float = 110.0) -> None:  # type: ignore
    """Run a case: `play(world, is_troubled)` returns whether the rule was broken."""
    import tempfile

    here = pathlib.Path(folder).resolve()

    async def run(work: pathlib.Path) -> int:
        try:
            world = World(here, work)
        except CannotRun as error:
            print(f"can't run: {error}")
            return NOT_RUN
        try:
            async with asyncio.timeout(seconds):
                is_broken = await play(world, is_troubled)
            return BROKEN if is_broken else HELD
        except (CannotRun, TimeoutError, OSError) as error:
            world.record.write("can't run:", repr(error))
            print(f"can't run: {error!r}")
            return NOT_RUN
        finally:
            world.end()

    # Ends the processes also if the case is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with tempfile.TemporaryDirectory() as work:
        status = asyncio.run(run(pathlib.Path(work)))
    sys.exit(status)

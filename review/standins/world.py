"""Stand-ins for the platform: its store, plain backend servers and clients, and the node processes.

Only the standard library is used. Everything listens on loopback addresses of one block
`127.BLOCK.x.y`; the block is drawn, so that scripts can run side by side.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""Root of the repository, from which the deploy file starts its programs."""

RUN = ("python3", "scripts/platform_node.py", "deploy/load.jsonc")
"""Command `run` of the deploy file."""

REGION = "ulaanbaatar"
ZONES = ("ub-bayangol", "ub-sukhbaatar", "ub-khanuul")
HOST = "api.example"
KEY = "k-one"
TENANT = "tenant-one"
ENGINES = "copy-llm"
PLAIN = "booking-app"

HEARTBEAT_SECONDS = 1.2
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, INNER_PORT = 8227, 8220, 8229, 8224, 7340
STORE_PORT, SERVER_PORT, METRICS_PORT = 8223, 8080, 9464

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_bound_ms": 5000,
    "strict_revocation": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_allowance": 100,
    "cold_overage": 1.5,
    "cold_tolerance": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "hold_max_ms": 20000,
    "free_ms": 4000,
    "idle_max_ms": 9000,
    "ttl_max_s": 5,
}
"""Bounds of the sheet of tsm-ub."""

PLATFORM = {
    "form": "log",
    "writes_per_s": 400,
    "reads_per_s": 2000,
    "parts": 12,
    "append_ms": 2.0,
    "part_mb_per_s": 20.0,
    "read_mb_per_s": 80.0,
    "record_bytes": 262144,
    "call_bytes": 2097152,
    "keep_s": 300,
    "partition_mb": 200,
    "ttl_min_ms": 1000,
}


def now() -> float:
    return time.monotonic()


class Record:
    """The file `record.txt`: what was sent, answered and run, with seconds from the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = now()

    def __call__(self, text: str, at: float | None = None) -> None:
        seconds = (now() if at is None else at) - self._start
        self._file.write(f"{seconds:8.3f}  {text}\n")
        self._file.flush()


def draw_block() -> int:
    """Return the second byte of a block of loopback addresses on which our ports are free."""
    for _ in range(50):
        block = random.randint(20, 250)
        with contextlib.suppress(OSError):
            for ip, port in (
                (f"127.{block}.1.1", METRICS_PORT),
                (f"127.{block}.1.1", FRONT_PORT),
                (f"127.{block}.2.1", STORE_PORT),
                (f"127.{block}.3.1", SERVER_PORT),
            ):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return block
    raise RuntimeError("no free block of loopback addresses")


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers (names in lower case); None at the end of the stream."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# The platform's store


class Store:
    """The platform's store: keyed topics of one partition, as a log with offsets."""

    def __init__(self) -> None:
        self.era = 1
        self.is_away = False
        self._records: dict[str, list[tuple[float, str, bytes]]] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self.calls = 0

    async def listen(self, ip: str) -> None:
        await asyncio.start_server(self._serve, ip, STORE_PORT)

    def put(self, topic: str, key: str, value: object | None) -> float | None:
        """Append a record for the operator or a server; return when it was acknowledged."""
        if self.is_away:
            return None
        content = b"" if value is None else json.dumps(value).encode()
        self._records.setdefault(topic, []).append((now(), key, content))
        return now()

    def end(self, topic: str) -> int:
        return len(self._records.get(topic, []))

    def newest(self, topic: str) -> dict[str, bytes]:
        found = {key: value for _, key, value in self._records.get(topic, [])}
        return {key: value for key, value in found.items() if value}

    def go_away(self) -> None:
        self.is_away = True
        for writer in list(self._writers):
            reset(writer)

    def come_back_from_copy(self, copied_at: float) -> None:
        """Come back with the records that had been written by a time; offsets go back."""
        for topic, records in self._records.items():
            self._records[topic] = [one for one in records if one[0] <= copied_at]
        self.era += 1
        self.is_away = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.is_away and (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if self.is_away:
                    break
                self.calls += 1
                method, target, _ = head[0].split(" ", 2)
                status, content, kind = await self._answer(method, target, body)
                await asyncio.sleep(0.004)
                headers = {"Store-Era": str(self.era), "Content-Type": kind}
                writer.write(encode_answer(status, headers, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            reset(writer)

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes, str]:
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        topic = query.get("topic", "")
        records = self._records.setdefault(topic, [])
        json_kind = "application/json"
        if (method, path) == ("POST", "/log-append"):
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}", json_kind
            if "at" in query and int(query["at"]) != len(records):
                return 412, json.dumps({"end": len(records)}).encode(), json_kind
            offset = len(records)
            while body:
                (length,) = struct.unpack_from(">I", body)
                content, body = body[4 : 4 + length], body[4 + length :]
                key_end = 1 + content[0]
                records.append((now(), content[1:key_end].decode(), content[key_end:]))
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode(), json_kind
        if (method, path) == ("GET", "/log-read"):
            start = int(query["from"])
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode(), json_kind
            wait_until = now() + int(query.get("wait_ms", "0")) / 1000
            while len(records) <= start and now() < wait_until and not self.is_away:
                await asyncio.sleep(0.01)
            out = struct.pack(">QQ", len(records), 0)
            for _, key, value in records[start : start + 1024]:
                content = bytes([len(key.encode())]) + key.encode() + value
                out += struct.pack(">I", len(content)) + content
            return 200, out, "application/octet-stream"
        if (method, path) == ("GET", "/log-newest"):
            offsets = {key: number for number, (_, key, _) in enumerate(records)}
            after = query.get("after", "")
            keys = sorted(k for k, n in offsets.items() if records[n][2] and k > after)
            entries = [
                {
                    "key": key,
                    "value": base64.b64encode(records[offsets[key]][2]).decode(),
                    "offset": offsets[key],
                }
                for key in keys[:500]
            ]
            answer = {"entries": entries, "has_more": len(keys) > 500, "end": len(records)}
            return 200, json.dumps(answer).encode(), json_kind
        return 404, b"{}", json_kind


# Backend servers


class Server:
    """A plain backend server; it also holds the place of a model server that gets no requests."""

    def __init__(
        self, server_id: str, service: str, zone: str, ip: str, record: Record, work: float = 0.06
    ) -> None:
        self.id = server_id
        self.service = service
        self.zone = zone
        self.ip = ip
        self.work_seconds = work
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str, str]] = []
        self.is_leaving = False
        self.on_arrival: Callable[[float, str, str], None] | None = None
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._running = 0

    def entry(self, state: str = "ready") -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{self.ip}:{SERVER_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8 if self.service == ENGINES else 6,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 0,
            "born": self.born,
        }

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, SERVER_PORT)

    def end(self) -> None:
        """End the process: the port closes, and open connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def _headers(self, request_headers: dict[str, str]) -> dict[str, str]:
        slots = 8 if self.service == ENGINES else 6
        headers = {
            "X-Server-Stamp": f"{self.id}.{self.born}.{len(self.runs)}",
            "X-Instance-Id": self.id,
            "X-Server-Load": f"{self._running},0,{slots}",
        }
        if "x-attempt-id" in request_headers:
            headers["X-Attempt-Id"] = request_headers["x-attempt-id"]
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                headers = head[1]
                await read_body(reader, headers)
                headers["sender"] = writer.get_extra_info("peername")[0]
                answer = await self._answer(method, target, headers)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, method: str, target: str, headers: dict[str, str]) -> bytes:
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            self._record(f"server {self.id} answers 421 to {attempt}")
            return encode_answer(421, {"X-Instance-Id": self.id}, b"")
        if target == "/healthz":
            return encode_answer(200, self._headers(headers), b"")
        if target == "/report":
            report = {"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 232000, "tickets": []}
            return encode_answer(200, {}, json.dumps({**report, "born": self.born}).encode())
        if not attempt:
            return encode_answer(400, {"X-Not-Executed": "1"}, b"")
        self.arrivals.append((now(), attempt, headers["sender"]))
        if self.on_arrival is not None:
            self.on_arrival(now(), attempt, headers["sender"])
        self._record(f"reaches server {self.id}: {method} {target} {attempt}")
        self.runs.append((now(), attempt, method))
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds * random.uniform(0.5, 1.5))
        finally:
            self._running -= 1
        body = f"done {attempt} ".encode() + b"." * 700
        return encode_answer(200, self._headers(headers), body)


# Clients


class Answer:
    """What a client got: status 0 without an answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
) -> Answer:
    """Send one request on a new connection and read the answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"")
            status = int(head[0].split(" ")[1])
            return Answer(status, head[1], await read_body(reader, head[1]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            writer.close()


class Clients:
    """Clients of the directory; each request goes to a node that the directory names."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._addresses: list[str] = []
        self._until = 0.0
        self.sent_at: dict[str, float] = {}
        self.answer_by_id: dict[str, Answer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_on = True

    async def resolve(self) -> list[str]:
        if now() < self._until:
            return self._addresses
        for node in random.sample(self._world.nodes, min(3, len(self._world.nodes))):
            target = f"/resolve?name={HOST}&region={REGION}&zone={node.zone}"
            answer = await ask((node.ip, DIRECTORY_PORT), "GET", target, {}, seconds=1.0)
            if answer.status == 200:
                fields = json.loads(answer.body)
                self._addresses = fields["addresses"]
                self._until = now() + min(5.0, float(fields["ttl_s"]))
                break
        return self._addresses

    async def send(self, method: str, target: str, address: str | None = None) -> str:
        """Send one request; return its id."""
        addresses = [address] if address else await self.resolve()
        attempt = f"{random.getrandbits(64):016x}"
        if not addresses:
            return attempt
        ip, _, port = random.choice(addresses).rpartition(":")
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000", "X-Api-Key": KEY}
        body = b"{}" if method == "POST" else b""
        self.sent_at[attempt] = now()
        self._world.record(f"client sends {method} {target} {attempt} to {ip}")
        answer = await ask((ip, int(port)), method, target, headers, body)
        self.answer_by_id[attempt] = answer
        self._world.record(f"client gets {answer.status} for {attempt}")
        return attempt

    async def run(self, per_second: float) -> None:
        """Send reads and bookings until `stop`."""
        while self._is_on:
            method, target = random.choice((("GET", "/read/2f"), ("POST", "/book/2f")))
            task = asyncio.ensure_future(self.send(method, target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(per_second))

    async def stop(self) -> None:
        self._is_on = False
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=6.0)


# Nodes


class Node:
    """A node process, started by the command of the deploy file."""

    def __init__(self, number: int, block: int, folder: pathlib.Path, seeds: list[str]) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number // len(ZONES) + 1}"
        self.ip = f"127.{block}.1.{number + 1}"
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.yaml"
        self._process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.is_stopping = False
        settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "edge",
            "served_roles": ["edge", "control", "registry"],
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen_addresses": {
                "frontend": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "control_plane": f"{self.ip}:{CONTROL_PORT}",
                "directory_service": f"{self.ip}:{DIRECTORY_PORT}",
            },
            "internal_port_range": [INNER_PORT, INNER_PORT + 15],
            "seed_nodes": seeds,
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery": "platform",
            "entry_type": "registry",
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": (
                "base drain config cost retry recover engine stream tenants places platform spans"
            ).split(),
            "fault_tolerance": {"machine_losses": 2, "zones": 1, "region_losses": 0},
            "bounds": BOUNDS,
            "platform": {"address": f"127.{block}.2.1:{STORE_PORT}", **PLATFORM},
        }
        # JSON is valid YAML.
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["DRAGONFLYCOVE_CONFIG"] = str(self._settings)
        self.started_at = now()
        self.is_stopping = False
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: signal.Signals) -> None:
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    async def restart(self) -> None:
        """Send SIGTERM, SIGKILL after `grace_s`, and start the process again."""
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        ends_at = now() + BOUNDS["grace_s"]
        while self.is_running and now() < ends_at:
            await asyncio.sleep(0.02)
        self.signal(signal.SIGKILL)
        self.wait()
        await asyncio.sleep(0.3)
        self.start()

    def wait(self) -> None:
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        answer = await ask((self.ip, READY_PORT), "GET", "/readyz", {}, seconds=1.0)
        return answer.status == 200


# All of it


def configuration(version: int, **changes: object) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    route = {"host": HOST, "priority": 1, "public": False}
    plain = {**route, "service": PLAIN, "timeout_ms": 4000, "latency_goal_ms": 400}
    routes = [
        {
            **route,
            "name": "r-draft",
            "path_prefix": "/draft/",
            "route_type": "streaming",
            "timeout_ms": 10000,
            "latency_goal_ms": 300,
            "service": ENGINES,
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 250,
        },
        {
            **plain,
            "name": "r-book",
            "path_prefix": "/book/",
            "route_type": "non_idempotent",
            "max_attempts": 1,
        },
        {
            **plain,
            "name": "r-read",
            "path_prefix": "/read/",
            "route_type": "idempotent",
            "max_attempts": 2,
        },
    ]
    engine = {
        "slots": 8,
        "kv_capacity": 232000,
        "kv_bytes": 327680,
        "link_mbps": 400000.0,
        "stride": 43,
        "models": [{"name": "m"}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00452,
        "context_per_k": 0.00431,
        "read_per_s": 206000.0,
        "pairs_per_m": 0.138,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 12331, "answer": 1303},
        "hop_ms": 0.075,
    }
    common = {"health_path": "/healthz", "protocol": "h1", "tls": False}
    services = [
        {**common, "name": ENGINES, "max_connections": 334, "cold_start_s": 3.0, "cold_per_s": 38.0}
        | {"engine": engine},
        {**common, "name": PLAIN, "max_connections": 48, "cold_start_s": 0.0, "cold_per_s": 0.0},
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1}]
    base = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }
    return {**base, **changes}


def end_on_signal() -> None:
    """Let SIGTERM raise, so that the processes that were started are ended as well."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class World:
    """Store, servers and nodes of one small deployment."""

    def __init__(
        self, record_path: pathlib.Path, *, nodes: int = 6, engines: int = 18, plain: int = 3
    ) -> None:
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block = draw_block()
        self.store = Store()
        self.servers: dict[str, Server] = {}
        self.states: dict[str, str] = {}
        self._beats: dict[str, asyncio.Task[None]] = {}
        for number in range(engines + plain):
            service = ENGINES if number < engines else PLAIN
            server = Server(
                f"i-{random.getrandbits(40):010x}",
                service,
                ZONES[number % len(ZONES)],
                f"127.{self.block}.3.{number + 1}",
                self.record,
            )
            self.servers[server.id] = server
        seeds = [f"127.{self.block}.1.{number + 1}:{CONTROL_PORT}" for number in range(3)]
        self.nodes = [Node(number, self.block, self.folder, seeds) for number in range(nodes)]
        self.clients = Clients(self)

    def plain_servers(self) -> list[Server]:
        return [server for server in self.servers.values() if server.service == PLAIN]

    async def start(self) -> bool:
        """Start all; return whether all nodes became ready within 20 s."""
        await self.store.listen(f"127.{self.block}.2.1")
        self.store.put("keyed.op", "config", configuration(1))
        for server in self.servers.values():
            await server.listen()
            self.begin_heartbeats(server)
        await asyncio.sleep(1.5)
        for node in self.nodes:
            node.start()
        ends_at = now() + 20
        while now() < ends_at:
            await asyncio.sleep(0.2)
            if all([await node.is_ready() for node in self.nodes]):
                self.record(f"all {len(self.nodes)} nodes are ready")
                return True
        return False

    def begin_heartbeats(self, server: Server) -> None:
        self.states[server.id] = "ready"
        self._beats[server.id] = asyncio.ensure_future(self._beat(server))

    def end_heartbeats(self, server: Server) -> None:
        self._beats.pop(server.id).cancel()

    async def _beat(self, server: Server) -> None:
        await asyncio.sleep(random.uniform(0, 0.5))
        while True:
            self.store.put("keyed.servers", server.id, server.entry(self.states[server.id]))
            await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.95, 1.05))

    def stop(self) -> None:
        """End all processes that were started, and remove their folder."""
        for node in self.nodes:
            node.signal(signal.SIGKILL)
            node.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)


def count(values: object) -> str:
    return ", ".join(f"{key}: {number}" for key, number in collections.Counter(values).items())

"""Stand-ins of the platform's store and of its backend servers, and a client, for review scripts.

They speak what PROTOCOL states of HTTP/1.1, the store's log and the servers, with the standard library
alone. Each server counts what it runs; each script decides by that and by what its clients got.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""Root folder of the repository."""


COMMAND = ("python3", "scripts/platform_node.py", "deploy/load.jsonc")
"""Command of the deploy file."""


def free_port(ip: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, file=self._file, flush=True)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response with a length; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return first, headers, body
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a complete response."""
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """An HTTP listener that can be closed together with its connections."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(self._on_connection, ip, port)

    async def close(self) -> None:
        """Accept no more connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                response = await self.respond(method, target, headers, body)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes | None:
        """Return the response to a request; None to reset its connection."""
        raise NotImplementedError


class Topics:
    """The records of the store; outlives the listeners that serve it."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = {}

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record for an operator or a server; None deletes its key."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, key, data)

    def append(self, topic: str, key: str, data: bytes) -> int:
        """Append a record; returns its offset."""
        kept = self.records.setdefault(topic, [])
        kept.append((key, data))
        return len(kept) - 1


class Store(Listener):
    """One address of the store."""

    def __init__(self, topics: Topics) -> None:
        super().__init__()
        self._topics = topics
        self.calls = 0
        self.listed_at: dict[str, float] = {}
        """Time of the last listing of each topic."""

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes | None:
        """Serve a call after the 4 ms that the sheet states."""
        await asyncio.sleep(0.004)
        self.calls += 1
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        topic = query.get("topic", "")
        kept = self._topics.records.get(topic, [])
        if path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return encode_response(403, {}, b"{}")
            start, position = len(kept), 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                position += 4 + length
                key_end = 1 + content[0]
                self._topics.append(topic, content[1:key_end].decode(), content[key_end:])
            end = len(self._topics.records.get(topic, []))
            return _json(200, {"offset": start, "end": end})
        if path == "/log-read":
            start = int(query["from"])
            parts = [struct.pack(">QQ", len(kept), 0)]
            for key, data in kept[start : start + 1024]:
                content = bytes([len(key.encode())]) + key.encode() + data
                parts.append(struct.pack(">I", len(content)) + content)
            return encode_response(200, {}, b"".join(parts))
        if path == "/log-newest":
            self.listed_at[topic] = time.monotonic()
            newest = {key: (offset, data) for offset, (key, data) in enumerate(kept)}
            entries = [
                {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
                for key, (offset, data) in sorted(newest.items())
                if data and key > query.get("after", "")
            ]
            page = {"entries": entries[:500], "has_more": len(entries) > 500, "end": len(kept)}
            return _json(200, page)
        return encode_response(404, {}, b"{}")


def _json(status: int, value: object) -> bytes:
    return encode_response(
        status, {"Content-Type": "application/json"}, json.dumps(value).encode()
    )


class PlainServer(Listener):
    """A backend server of a plain service."""

    def __init__(self, server_id: str, service: str, record: Record) -> None:
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.born = int(time.time() * 1000)
        self.address = ""
        self.work_seconds = 0.045
        self.state = "ready"
        self.runs: list[tuple[float, str, str]] = []
        """Time, attempt id and tenant of each request that was run."""
        self._record = record
        self._sequence = 0

    async def start(self, ip: str) -> None:
        """Listen at a free port."""
        port = free_port(ip)
        await self.listen(ip, port)
        self.address = f"{ip}:{port}"

    def entry(self, zone: str = "z1", state: str = "") -> dict[str, object]:
        """Return its entry in the store's list of servers."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state or self.state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> bytes | None:
        """Run a request, or reject one that expects another server."""
        own = {"X-Instance-Id": self.server_id, "Keep-Alive": "timeout=15"}
        if target.startswith("/healthz"):
            return encode_response(200, own, b"")
        attempt = headers.get("x-attempt-id", "")
        own["X-Attempt-Id"] = attempt
        if headers.get("x-expect-instance", self.server_id) != self.server_id:
            return encode_response(421, own, b"")
        self.runs.append((time.monotonic(), attempt, headers.get("x-tenant", "")))
        self._record.write(
            f"server {self.server_id} runs {attempt} {method} {target}"
            f" tenant={headers.get('x-tenant', '')}"
        )
        await asyncio.sleep(self.work_seconds)
        own["X-Server-Stamp"] = f"3e1b.07.5a2.600.0.{len(self.runs):08x}"
        return encode_response(200, own, f"{self.server_id} {attempt}".encode())


_attempt_numbers = itertools.count(1)


class Client:
    """A client that opens a connection for each request."""

    def __init__(self, record: Record) -> None:
        self._record = record

    async def call(
        self, address: str, method: str, target: str, key: str, seconds: float = 1.5
    ) -> tuple[str, int]:
        """Send a request; returns its attempt id and the status, 0 without a complete answer."""
        attempt = f"a{next(_attempt_numbers):06d}"
        ip, _, port = address.rpartition(":")
        status = 0
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: h.example",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {int(seconds * 1000)}",
            f"X-Api-Key: {key}",
        ]
        if method == "POST":
            lines.append("Content-Length: 4")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"body" if method == "POST" else b"")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(data)
                message = await read_message(reader)
                if message is not None:
                    status = int(message[0].split(" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self._record.write(f"client {attempt} {method} {target} key={key} to {address}: {status}")
        return attempt, status


async def get_status(address: str, target: str) -> int:
    """Return the status of a GET request; 0 without an answer."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(f"GET {target} HTTP/1.1\r\nHost: h.example\r\n\r\n".encode())
            message = await read_message(reader)
            writer.close()
            return int(message[0].split(" ")[1]) if message else 0
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


class Node:
    """A node of the project as a process of its own, started as the deploy file says."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store_address: str,
        root: pathlib.Path = ROOT,
        command: tuple[str, ...] = COMMAND,
    ) -> None:
        self._root = root
        self._command = command
        self.name = f"edge-z1-{number}"
        self._ip = f"127.61.{os.getpid() % 250 + 1}.{number}"
        self.frontend = f"{self._ip}:{free_port(self._ip)}"
        self.ready = f"{self._ip}:{free_port(self._ip)}"
        self._directory = f"{self._ip}:{free_port(self._ip)}"
        self._folder = folder
        self._path = folder / f"{self.name}.yaml"
        self._process: asyncio.subprocess.Process | None = None
        self.write_settings(store_address)

    def write_settings(self, store_address: str) -> None:
        """Place the settings file, with the figures of a small deployment."""
        settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "edge",
            "served_roles": ["edge", "registry"],
            "ip": self._ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen_addresses": {
                "frontend": self.frontend,
                "ready": self.ready,
                "directory_service": self._directory,
            },
            "internal_port_range": [7340, 7355],
            "seed_nodes": [],
            "bootstrap": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover", "engine", "stream"),
                *("tenants", "places", "platform", "spans"),
            ],
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "rollback_slack_ms": 250,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_allowance": 102,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": store_address,
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "keep_s": 300,
            },
        }
        fresh = self._path.with_suffix(".new")
        fresh.write_text(json.dumps(settings, indent=1))
        fresh.replace(self._path)

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        environment = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DRAGONFLYCOVE_CONFIG"] = str(self._path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=self._root,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds: float = 15.0) -> bool:
        """Return whether the node says in time that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await get_status(self.ready, "/readyz") == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def end(self) -> None:
        """End the process."""
        if self.is_running and self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()



def run_case(main: object, folder: pathlib.Path) -> None:
    """Run a case for 110 seconds at most; exit with 2 if it could not run."""
    import tempfile

    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        # Ends the nodes also if the script is stopped.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            async with asyncio.timeout(110):
                return int(await main(record, pathlib.Path(scratch), has_trouble))  # type: ignore[operator]

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # The case has not been judged.
        record.write(f"the case could not run: {error!r}")
        code = 2
    record.write(f"exit {code}")
    sys.exit(code)


class StreamServer(PlainServer):
    """A model server: answers a request with a stream of events, and resumes it where asked to."""

    events = 8
    event_seconds = 0.1
    id_step = 1
    """Difference between the ids of two events of a stream."""
    first_id = 1
    """Id of the first event of a stream."""

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, _ = message
                _, target, _ = first.split(" ", 2)
                if target in ("/report", "/healthz"):
                    writer.write(_json(200, self.report()))
                    await writer.drain()
                    continue
                if headers.get("x-expect-instance", self.server_id) != self.server_id:
                    writer.write(encode_response(421, {"X-Instance-Id": self.server_id}, b""))
                    continue
                await self._stream(target, headers, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def report(self) -> dict[str, object]:
        """Return the load report."""
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 232_000,
            "kv_handles": 0,
            "pace": 1.0,
            "tickets": [],
            "born": self.born,
        }

    async def _stream(
        self, target: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        attempt = headers.get("x-attempt-id", "")
        after = int(headers.get("last-event-id", "0"))
        self.runs.append((time.monotonic(), attempt, headers.get("x-tenant", "")))
        self._record.write(f"server {self.server_id} runs {attempt} {target} after event {after}")
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Weight-Versions: 1\r\n"
            f"X-Server-Stamp: 3e1b.07.5a2.600.0.{len(self.runs):08x}\r\n\r\n"
        )
        sent = 0
        for number in range(1, self.events + 1):
            event_id = self.first_id + (number - 1) * self.id_step
            if event_id <= after:
                continue
            await asyncio.sleep(self.event_seconds)
            event = f"id: {event_id}\ndata: piece {number} of {attempt}\n\n".encode()
            writer.write((head.encode() if not sent else b"") + b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            sent += 1
        writer.write((head.encode() if not sent else b"") + b"0\r\n\r\n")
        await writer.drain()
        self._record.write(f"server {self.server_id} has ended {attempt}, {sent} events")


async def call_stream(
    record: Record,
    address: str,
    target: str,
    key: str,
    seconds: float = 10.0,
    last_event_id: int | None = None,
) -> tuple[str, int, list[int], bool]:
    """Request a stream; returns attempt id, status, ids of its events, whether it is complete."""
    attempt = f"s{next(_attempt_numbers):06d}"
    ip, _, port = address.rpartition(":")
    status, data, is_complete = 0, b"", False
    lines = [
        f"POST {target} HTTP/1.1",
        "Host: h.example",
        f"X-Attempt-Id: {attempt}",
        "X-Model: m",
        "X-Token-Counts: 1460,80",
        f"X-Prompt-Prefix: 5c1e07a2:40,{attempt[1:]}:1420",
        f"X-Deadline-Ms: {int(seconds * 1000)}",
        f"X-Api-Key: {key}",
        "Content-Length: 4",
    ]
    if last_event_id is not None:
        lines.append(f"Last-Event-Id: {last_event_id}")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            if "chunked" in head.lower():
                while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
                    data += await reader.readexactly(size)
                    await reader.readline()
                is_complete = True
            else:
                lengths = [
                    int(line.partition(":")[2])
                    for line in head.split("\r\n")
                    if line.lower().startswith("content-length:")
                ]
                data = await reader.readexactly(lengths[0] if lengths else 0)
                is_complete = True
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    ids = [int(line[3:]) for line in data.decode("latin-1").split("\n") if line.startswith("id:")]
    record.write(
        f"client {attempt} POST {target} last-event-id={last_event_id} to {address}:"
        f" status {status}, events {ids}, {'complete' if is_complete else 'cut'}"
    )
    return attempt, status, ids, is_complete


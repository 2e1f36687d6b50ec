"""Stand-in for the platform's backend servers: plain calls, streams, reservations and faults.

It writes raw bytes, since most of its faults are responses that no HTTP library would send.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

import h11

from dragonflycove.standins.platform import server_faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import catalog

STAMP = "3e1b.07.5a2"
"""Prefix of the `X-Server-Stamp` header, by which a response is known to come from a server."""


ENDLESS_CHUNK_BYTES = 65_536
"""Bytes written at once in a response that doesn't end."""

TRICKLE_SECONDS = 0.05
"""Time between two bytes of a response that trickles."""


class ExecutedRequest(NamedTuple):
    """A request that the server began to execute."""

    attempt_id: str
    """Value of `X-Attempt-Id`; empty if missing."""

    headers: dict[str, str]
    """Headers by lower-case name."""

    method: str
    """HTTP method."""

    target: str
    """Request target: path and query."""

    body: bytes
    """Complete request body."""


class Arrival(NamedTuple):
    """A request that arrived, executed or not."""

    sender_ip: str
    """IP address that it came from."""

    at: float
    """Loop time at which its head arrived."""


class RestRequest(NamedTuple):
    """A response that turned a request away and stated a time of rest."""

    sender_ip: str
    """IP address that it was sent to."""

    at: float
    """Loop time at which it was sent."""

    stated: str
    """Value of `Retry-After`."""


class ArrivalLog:
    """The requests that a server got, and what it responded to those that it turned away."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.arrivals = 0
        """Number of requests received, including refused ones but not reservations."""
        self.arrival_times: list[float] = []
        """Loop times of those requests."""
        self.arrivals_by_sender: list[Arrival] = []
        """Those requests with their senders."""
        self.rest_requests: list[RestRequest] = []
        """Responses that stated a time of rest."""


class PlatformServer(ArrivalLog):
    """One simulated backend server."""

    endless_bytes = 0
    """Bytes sent in responses that don't end."""

    stated_limit = ""
    """Value of `Server-Limit` in all responses; empty for none."""

    stated_rest = ""
    """Value of `Retry-After` in responses to requests that are turned away; empty for none."""

    turns_away = False
    """Whether requests are turned away with 503, as by a server in need of rest."""

    is_leaving = False
    """Whether all responses say that the server leaves."""

    slowdown = 1.0
    """Factor on the times of prefills and events."""

    prefill_seconds = 0.0
    """Time from the execution of a streamed request to its first event."""

    plain_seconds = 0.0
    """Time from the execution of a plain request to its response."""

    started_at_ms = 1
    """Start that the load report states, in Unix milliseconds."""

    first_event_number = 1
    """Number of the first event of each stream."""

    def __init__(self, server_id: str, *, events: int = 5, event_seconds: float = 0.01) -> None:
        """Create a server; `listen` starts it.

        Args:
            server_id: Id of the server.
            events: Number of events of each stream.
            event_seconds: Time between two events.
        """
        super().__init__()
        self.server_id = server_id
        """Id of the server."""
        self.events = events
        """Number of events of each stream."""
        self.event_seconds = event_seconds
        """Time between two events."""
        self.runs: list[ExecutedRequest] = []
        """Requests executed, in order of arrival."""
        self.faults: collections.deque[server_faults.Fault] = collections.deque()
        """Faults of the next requests, one each."""
        self.disconnected_runs = 0
        """Number of requests whose client disconnected or violated HTTP."""
        self.connections = 0
        """Number of connections accepted."""
        self.reserved_tokens_by_id: dict[str, int] = {}
        """KV cache tokens reserved, by reservation id."""
        self.crashing_paths: set[str] = set()
        """Paths of requests that crash the server as soon as it begins to execute them."""
        self.crashing_parts: set[str] = set()
        """Ids of parts of prompts that crash the server after the first event of its response."""
        self.crash_mode = server_faults.CrashMode.RESET
        """How the server crashes."""
        self.on_crash: Callable[[], None] | None = None
        """Called after the server has crashed."""
        self.is_crashed = False
        """Whether a request has crashed the server."""
        self.reservation_seconds = 0.0
        """Time before the response to a reservation."""
        self.refusing_helper_addresses: set[str] = set()
        """Addresses of helper engines that refuse to help, as a draining engine does."""
        self._is_speaking = asyncio.Event()
        self._is_speaking.set()
        self._expiry_timers: dict[str, asyncio.TimerHandle] = {}
        self._deferred_response = b""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._unaccepted: list[socket.socket] = []

    async def listen(self, address: catalog.Address) -> None:
        """Start to accept connections.

        Args:
            address: Listen address.
        """
        self._server = await asyncio.start_server(self._on_connection, address.ip, address.port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            _reset(writer)
        for unaccepted in self._unaccepted:
            unaccepted.close()

    def fall_silent(self, seconds: float) -> None:
        """Neither read nor write for a time, then go on; connections are accepted all the while.

        Args:
            seconds: The time.
        """
        self._is_speaking.clear()
        asyncio.get_running_loop().call_later(seconds, self._is_speaking.set)

    def crash(self) -> None:
        """End the server, with all its requests, in the way of `crash_mode`."""
        self.is_crashed = True
        assert self._server is not None
        address = self._server.sockets[0].getsockname()
        self._server.close()
        for writer in list(self._writers):
            if self.crash_mode is server_faults.CrashMode.RESET:
                _reset(writer)
            elif self.crash_mode is server_faults.CrashMode.CLOSE:
                writer.close()
        if self.crash_mode is server_faults.CrashMode.SILENT:
            self._block_connections(address)
        if self.on_crash is not None:
            self.on_crash()

    def _block_connections(self, address: tuple[str, int]) -> None:
        """Let connection attempts at an address hang, as at a host without power."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(0)
        self._unaccepted.append(listener)
        # The kernel drops opening packets while the queue of unaccepted connections is full.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._unaccepted.append(filler)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(parser, reader, writer):
                parser.start_next_cycle()
        except (OSError, h11.ProtocolError):
            self.disconnected_runs += 1
        except asyncio.CancelledError:
            # The stand-in is closing; asyncio would log an unhandled cancellation as an error.
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request and return whether the connection stays usable."""
        head = await _next_event(parser, reader)
        if not isinstance(head, h11.Request):
            return False
        await self._is_speaking.wait()
        headers = {name.decode(): value.decode() for name, value in head.headers}
        is_reservation = head.target == b"/order"
        is_control = is_reservation or head.target == b"/report"
        self.arrivals += not is_control
        sender_ip = str(writer.get_extra_info("peername", ("",))[0])
        if not is_control:
            self.arrival_times.append(asyncio.get_running_loop().time())
            self.arrivals_by_sender.append(Arrival(sender_ip, self.arrival_times[-1]))
        fault = self.faults.popleft() if self.faults and not is_control else None
        if fault is server_faults.Fault.EARLY_REFUSAL:
            writer.write(self._encode_response(headers, 413, b"too long", ["X-Not-Executed: 1"]))
        body = b""
        while isinstance(event := await _next_event(parser, reader), h11.Data):
            body += bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            return False
        if is_control and self.is_crashed:
            return await self._stay_silent(reader)
        if head.target == b"/report":
            report = {"waiting": 0, "running": 0, "kv_used": 0, "born": self.started_at_ms}
            writer.write(self._encode_response({}, 200, json.dumps(report).encode(), []))
        elif is_reservation:
            await asyncio.sleep(self.reservation_seconds)
            self._serve_reservation(json.loads(body), writer)
        elif fault is not server_faults.Fault.EARLY_REFUSAL:
            run = ExecutedRequest(
                headers.get("x-attempt-id", ""),
                headers,
                head.method.decode(),
                head.target.decode(),
                body,
            )
            if not await self._execute_or_refuse(run, fault, reader, writer):
                return False
        # Only the parser's state has to advance; the response was written as raw bytes.
        parser.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
        parser.send(h11.EndOfMessage())
        return parser.their_state is h11.DONE

    def _serve_reservation(
        self, reservation_order: dict[str, object], writer: asyncio.StreamWriter
    ) -> None:
        name = str(reservation_order["id"])
        expiry_timer = self._expiry_timers.pop(name, None)
        if expiry_timer is not None:
            expiry_timer.cancel()
        if reservation_order["operation"] == "reserve":
            self.reserved_tokens_by_id[name] = int(str(reservation_order["token_count"]))
            seconds = float(str(reservation_order["hold_ms"])) / 1000
            loop = asyncio.get_running_loop()
            self._expiry_timers[name] = loop.call_later(
                seconds, self.reserved_tokens_by_id.pop, name, None
            )
        else:
            self.reserved_tokens_by_id.pop(name, None)
        writer.write(self._encode_response({}, 200, b'{"free":1}', []))

    async def _execute_or_refuse(
        self,
        run: ExecutedRequest,
        fault: server_faults.Fault | None,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Execute or refuse a request and return whether the connection stays usable."""
        if self._deferred_response:
            writer.write(self._deferred_response)
            self._deferred_response = b""
        is_misdirected = run.headers.get("x-expect-instance", self.server_id) != self.server_id
        if fault is server_faults.Fault.MISDIRECTED or is_misdirected:
            writer.write(self._encode_response(run.headers, 421, b"", ["X-Instance-Id: other"]))
            return True
        if self.turns_away or fault is server_faults.Fault.REFUSED:
            self._turn_away(run, writer)
            return True
        for helper in run.headers.get("x-helpers", "").split(","):
            address = helper.partition("/")[0]
            if address in self.refusing_helper_addresses:
                header_lines = ["X-Not-Executed: 1", f"At-Server: {address}"]
                writer.write(self._encode_response(run.headers, 503, b"no help", header_lines))
                return True
        if self.is_crashed:
            return await self._stay_silent(reader)
        self.runs.append(run)
        if run.target.partition("?")[0] in self.crashing_paths:
            self.crash()
            return await self._stay_silent(reader)
        if fault in server_faults.ENDLESS_FAULTS:
            return await self._respond_endlessly(run, fault, writer)
        if fault in (
            server_faults.Fault.RESET,
            server_faults.Fault.NO_RESPONSE,
            server_faults.Fault.INVALID_RESPONSE,
            server_faults.Fault.UNSIGNED,
        ):
            return await self._respond_faultily(run, fault, reader, writer)
        if fault in (server_faults.Fault.ERROR, server_faults.Fault.EXECUTED_503):
            status = 500 if fault is server_faults.Fault.ERROR else 503
            writer.write(self._encode_response(run.headers, status, b"failed", []))
            return True
        if "x-token-counts" in run.headers:
            return await self._respond_stream(run, fault, reader, writer)
        return await self._respond_after_work(run, fault, writer)

    def _turn_away(self, run: ExecutedRequest, writer: asyncio.StreamWriter) -> None:
        """Refuse a request, with a time of rest if one is stated."""
        header_lines = ["X-Not-Executed: 1"]
        if self.stated_rest:
            header_lines.append(f"Retry-After: {self.stated_rest}")
            sender_ip = str(writer.get_extra_info("peername", ("",))[0])
            at = asyncio.get_running_loop().time()
            self.rest_requests.append(RestRequest(sender_ip, at, self.stated_rest))
        writer.write(self._encode_response(run.headers, 503, b"full", header_lines))

    async def _stay_silent(self, reader: asyncio.StreamReader) -> bool:
        """Leave a connection of a crashed server without a response until it is closed."""
        await reader.read(1)
        self.disconnected_runs += 1
        return False

    async def _respond_faultily(
        self,
        run: ExecutedRequest,
        fault: server_faults.Fault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if fault is server_faults.Fault.NO_RESPONSE:
            return await self._stay_silent(reader)
        if fault is server_faults.Fault.INVALID_RESPONSE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            await writer.drain()
        elif fault is server_faults.Fault.UNSIGNED:
            writer.write(self._encode_response(run.headers, 200, b"whole", [], signed=False))
            return True
        _reset(writer)
        return False

    async def _respond_endlessly(
        self, run: ExecutedRequest, fault: server_faults.Fault, writer: asyncio.StreamWriter
    ) -> bool:
        """Send bytes until the connection is closed."""
        data, pause = b"x" * ENDLESS_CHUNK_BYTES, 0.0
        if fault is server_faults.Fault.ENDLESS_INFORMATIONAL:
            data = b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000
        elif fault is not server_faults.Fault.ENDLESS_HEAD:
            head = self._encode_response(run.headers, 200, b"", [])
            writer.write(head.replace(b"Content-Length: 0\r\n", b""))
        if fault is server_faults.Fault.TRICKLING_EVENT:
            data, pause = b"x", TRICKLE_SECONDS
        while not writer.is_closing():
            writer.write(data)
            await writer.drain()
            self.endless_bytes += len(data)
            await asyncio.sleep(pause)
        return False

    async def _respond_after_work(
        self, run: ExecutedRequest, fault: server_faults.Fault | None, writer: asyncio.StreamWriter
    ) -> bool:
        if self.plain_seconds:
            await asyncio.sleep(self.plain_seconds * self.slowdown)
        return self._respond_plain(run, fault, writer)

    def _respond_plain(
        self, run: ExecutedRequest, fault: server_faults.Fault | None, writer: asyncio.StreamWriter
    ) -> bool:
        body = b"done " + run.attempt_id.encode()
        response = self._encode_response(run.headers, 200, body, [])
        if fault is server_faults.Fault.TRUNCATED:
            writer.write(response[:-3])
            return False
        if fault in (server_faults.Fault.UNFRAMED, server_faults.Fault.UNFRAMED_RESET):
            head = response.partition(b"\r\n\r\n")[0].replace(b"Content-Length", b"X-Was")
            writer.write(head + b"\r\n\r\n" + body)
            if fault is server_faults.Fault.UNFRAMED_RESET:
                _reset(writer)
            return False
        writer.write(response)
        if fault is server_faults.Fault.EXTRA_RESPONSE:
            writer.write(response)
        if fault is server_faults.Fault.LATE_EXTRA_RESPONSE:
            self._deferred_response = response
        return True

    async def _respond_stream(
        self,
        run: ExecutedRequest,
        fault: server_faults.Fault | None,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        last_id = run.headers.get("last-event-id")
        first_number = self.first_event_number if last_id is None else int(last_id) + 1
        end_number = self.first_event_number + self.events
        is_unframed = fault in (
            server_faults.Fault.UNFRAMED,
            server_faults.Fault.UNFRAMED_PARTIAL,
        )
        encode = bytes if is_unframed else _chunk
        header_lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            *(() if is_unframed else ("Transfer-Encoding: chunked",)),
            f"X-Server-Stamp: {STAMP}.{self.server_id}",
            f"X-Attempt-Id: {run.attempt_id}",
            *self._state_lines(),
        ]
        writer.write("\r\n".join(header_lines).encode() + b"\r\n\r\n")
        parts = {
            part.partition(":")[0] for part in run.headers.get("x-prompt-prefix", "").split(",")
        }
        await asyncio.sleep(self.prefill_seconds * self.slowdown)
        fault_event = first_number + (end_number - 1 - first_number) // 2
        for event_number in range(first_number, end_number):
            event = f"id: {event_number}\ndata: piece {event_number}\n\n".encode()
            if event_number == fault_event and fault in (
                server_faults.Fault.TRUNCATED,
                server_faults.Fault.STALLED_STREAM,
            ):
                writer.write(_chunk(event[:7]))
                await writer.drain()
                if fault is server_faults.Fault.STALLED_STREAM:
                    await reader.read(1)
                    self.disconnected_runs += 1
                _reset(writer)
                return False
            if event_number == fault_event and fault is server_faults.Fault.UNFRAMED_PARTIAL:
                writer.write(event[:7])
                return False
            await self._is_speaking.wait()
            if self.is_crashed:
                return await self._stay_silent(reader)
            writer.write(encode(event))
            await writer.drain()
            if parts & self.crashing_parts:
                self.crash()
                return await self._stay_silent(reader)
            await asyncio.sleep(self.event_seconds * self.slowdown)
            if reader.at_eof() or writer.is_closing():
                self.disconnected_runs += 1
                return False
        if is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    def _state_lines(self) -> list[str]:
        """Return the headers that all responses carry at present."""
        lines = [f"Server-Limit: {self.stated_limit}"] if self.stated_limit else []
        return [*lines, "Server-Leaving: 1"] if self.is_leaving else lines

    def _encode_response(
        self,
        headers: dict[str, str],
        status: int,
        body: bytes,
        extra_header_lines: list[str],
        *,
        signed: bool = True,
    ) -> bytes:
        header_lines = [
            f"HTTP/1.1 {status} Status",
            f"Content-Length: {len(body)}",
            *extra_header_lines,
            *self._state_lines(),
        ]
        if signed:
            header_lines.append(f"X-Server-Stamp: {STAMP}.{self.server_id}")
        if "x-attempt-id" in headers:
            header_lines.append(f"X-Attempt-Id: {headers['x-attempt-id']}")
        return "\r\n".join(header_lines).encode() + b"\r\n\r\n" + body


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _next_event(parser: h11.Connection, reader: asyncio.StreamReader) -> object:
    while (event := parser.next_event()) is h11.NEED_DATA:
        data = b""
        with contextlib.suppress(ConnectionResetError):  # A reset counts as end of input.
            data = await reader.read(65_536)
        parser.receive_data(data)
    return event

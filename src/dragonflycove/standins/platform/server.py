"""Stand-in for the platform's backend servers: plain calls, streams, reservations, and faults.

It writes raw bytes, since most of its faults are answers that no HTTP library would send.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import json
import socket
import struct
from typing import TYPE_CHECKING, NamedTuple

import h11

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

STAMP = "3e1b.07.5a2"
"""Signature that all answers bear."""


class Fault(enum.Enum):
    """What goes wrong with one request."""

    REFUSED = "refused"
    """Refused without running, with 503."""

    MISDIRECTED = "misdirected"
    """Another server has the address; 421."""

    ERROR = "error"
    """Runs and answers 500."""

    EXECUTED_503 = "false_promise"
    """Runs and answers 503 without saying that it did not run."""

    RESET = "reset"
    """Runs, then resets the connection without an answer."""

    NO_RESPONSE = "silent"
    """Runs and never answers."""

    TRUNCATED = "truncated"
    """Breaks off in the middle of the answer."""

    INVALID_RESPONSE = "garbage"
    """Answers with bytes that are no answer."""

    EXTRA_RESPONSE = "extra"
    """Sends a second answer after the first one."""

    LATE_EXTRA_RESPONSE = "extra_late"
    """Sends a second answer when the next request has arrived."""

    UNFRAMED = "unframed"
    """Answers without a length and closes the connection."""

    UNFRAMED_RESET = "unframed_reset"
    """Answers without a length and resets the connection on the way."""

    UNSIGNED = "unsigned"
    """Answers without the signature."""

    EARLY_REFUSAL = "early"
    """Refuses before the body has arrived, and keeps the connection."""

    STALLED_STREAM = "mute_midway"
    """Stops in the middle of a stream without closing it."""


class Run(NamedTuple):
    """A request that the server began to work on."""

    attempt_id: str
    """Id of the caller's try."""

    headers: dict[str, str]
    """Headers by lower-case name."""

    method: str
    """Method."""

    target: str
    """Path and query."""

    body: bytes
    """Body."""


class PlatformServer:
    """One backend server."""

    def __init__(self, server_id: str, *, events: int = 5, event_seconds: float = 0.01) -> None:
        """Create a server that does not listen.

        Args:
            server_id: Its id.
            events: Events of each stream.
            event_seconds: Time between two events.
        """
        self.server_id = server_id
        """Its id."""
        self.events = events
        """Events of each stream."""
        self.event_seconds = event_seconds
        """Time between two events."""
        self.runs: list[Run] = []
        """Requests that ran."""
        self.faults: collections.deque[Fault] = collections.deque()
        """Faults of the next requests, in turn."""
        self.arrivals = 0
        """Requests that arrived, refused ones included."""
        self.disconnected_runs = 0
        """Requests whose caller left while they ran."""
        self.connections = 0
        """Connections accepted."""
        self.reserved_tokens_by_id: dict[str, int] = {}
        """Memory set aside, tokens by id."""
        self.refusing_helper_addresses: set[str] = set()
        """Addresses of helpers that refuse, as one that is leaving does."""
        self._expiry_timers: dict[str, asyncio.TimerHandle] = {}
        self._deferred_response = b""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: catalog.Address) -> None:
        """Begin to accept connections.

        Args:
            address: Where to listen.
        """
        self._server = await asyncio.start_server(self._on_connection, address.ip, address.port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            _reset(writer)

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
            # The stand-in is closing; an unhandled cancellation would be logged as an error.
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
        """Serve one request; returns whether the connection can carry another."""
        head = await _next_event(parser, reader)
        if not isinstance(head, h11.Request):
            return False
        headers = {name.decode(): value.decode() for name, value in head.headers}
        is_reservation = head.target == b"/order"
        self.arrivals += not is_reservation
        fault = self.faults.popleft() if self.faults and not is_reservation else None
        if fault is Fault.EARLY_REFUSAL:
            writer.write(self._encode_response(headers, 413, b"too long", ["X-Not-Executed: 1"]))
        body = b""
        while isinstance(event := await _next_event(parser, reader), h11.Data):
            body += bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            return False
        if is_reservation:
            self._serve_reservation(json.loads(body), writer)
        elif fault is not Fault.EARLY_REFUSAL:
            run = Run(
                headers.get("x-attempt-id", ""),
                headers,
                head.method.decode(),
                head.target.decode(),
                body,
            )
            if not await self._run(run, fault, reader, writer):
                return False
        # The parser only reads here; the answer was written as raw bytes.
        parser.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
        parser.send(h11.EndOfMessage())
        return parser.their_state is h11.DONE

    def _serve_reservation(self, order: dict[str, object], writer: asyncio.StreamWriter) -> None:
        name = str(order["id"])
        held = self._expiry_timers.pop(name, None)
        if held is not None:
            held.cancel()
        if order["operation"] == "reserve":
            self.reserved_tokens_by_id[name] = int(str(order["token_count"]))
            seconds = float(str(order["hold_ms"])) / 1000
            loop = asyncio.get_running_loop()
            self._expiry_timers[name] = loop.call_later(
                seconds, self.reserved_tokens_by_id.pop, name, None
            )
        else:
            self.reserved_tokens_by_id.pop(name, None)
        writer.write(self._encode_response({}, 200, b'{"free":1}', []))

    async def _run(
        self,
        run: Run,
        fault: Fault | None,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Work on a request; returns whether the connection goes on."""
        if self._deferred_response:
            writer.write(self._deferred_response)
            self._deferred_response = b""
        is_misdirected = run.headers.get("x-expect-instance", self.server_id) != self.server_id
        if fault is Fault.MISDIRECTED or is_misdirected:
            writer.write(self._encode_response(run.headers, 421, b"", ["X-Instance-Id: other"]))
            return True
        if fault is Fault.REFUSED:
            writer.write(self._encode_response(run.headers, 503, b"full", ["X-Not-Executed: 1"]))
            return True
        for helper in run.headers.get("x-helpers", "").split(","):
            address = helper.partition("/")[0]
            if address in self.refusing_helper_addresses:
                lines = ["X-Not-Executed: 1", f"At-Server: {address}"]
                writer.write(self._encode_response(run.headers, 503, b"no help", lines))
                return True
        self.runs.append(run)
        if fault in (Fault.RESET, Fault.NO_RESPONSE, Fault.INVALID_RESPONSE, Fault.UNSIGNED):
            return await self._misbehave(run, fault, reader, writer)
        if fault in (Fault.ERROR, Fault.EXECUTED_503):
            status = 500 if fault is Fault.ERROR else 503
            writer.write(self._encode_response(run.headers, status, b"failed", []))
            return True
        if "x-token-counts" in run.headers:
            return await self._stream(run, fault, reader, writer)
        return self._plain(run, fault, writer)

    async def _misbehave(
        self,
        run: Run,
        fault: Fault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if fault is Fault.NO_RESPONSE:
            await reader.read(1)
            self.disconnected_runs += 1
            return False
        if fault is Fault.INVALID_RESPONSE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            await writer.drain()
        elif fault is Fault.UNSIGNED:
            writer.write(self._encode_response(run.headers, 200, b"whole", [], signed=False))
            return True
        _reset(writer)
        return False

    def _plain(self, run: Run, fault: Fault | None, writer: asyncio.StreamWriter) -> bool:
        body = b"done " + run.attempt_id.encode()
        response = self._encode_response(run.headers, 200, body, [])
        if fault is Fault.TRUNCATED:
            writer.write(response[:-3])
            return False
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            head = response.partition(b"\r\n\r\n")[0].replace(b"Content-Length", b"X-Was")
            writer.write(head + b"\r\n\r\n" + body)
            if fault is Fault.UNFRAMED_RESET:
                _reset(writer)
            return False
        writer.write(response)
        if fault is Fault.EXTRA_RESPONSE:
            writer.write(response)
        if fault is Fault.LATE_EXTRA_RESPONSE:
            self._deferred_response = response
        return True

    async def _stream(
        self,
        run: Run,
        fault: Fault | None,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        first = int(run.headers.get("last-event-id", "0")) + 1
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Server-Stamp: {STAMP}.{self.server_id}",
            f"X-Attempt-Id: {run.attempt_id}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        middle = first + (self.events - first) // 2
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if number == middle and fault in (Fault.TRUNCATED, Fault.STALLED_STREAM):
                writer.write(_chunk(event[:7]))
                await writer.drain()
                if fault is Fault.STALLED_STREAM:
                    await reader.read(1)
                    self.disconnected_runs += 1
                _reset(writer)
                return False
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.event_seconds)
            if reader.at_eof() or writer.is_closing():
                self.disconnected_runs += 1
                return False
        writer.write(b"0\r\n\r\n")
        return True

    def _encode_response(
        self,
        headers: dict[str, str],
        status: int,
        body: bytes,
        more: list[str],
        *,
        signed: bool = True,
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *more]
        if signed:
            lines.append(f"X-Server-Stamp: {STAMP}.{self.server_id}")
        if "x-attempt-id" in headers:
            lines.append(f"X-Attempt-Id: {headers['x-attempt-id']}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of an orderly end."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _next_event(parser: h11.Connection, reader: asyncio.StreamReader) -> object:
    while (event := parser.next_event()) is h11.NEED_DATA:
        data = b""
        with contextlib.suppress(ConnectionResetError):  # A caller that leaves ends the request.
            data = await reader.read(65_536)
        parser.receive_data(data)
    return event

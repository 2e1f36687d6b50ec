"""Callers' connections: reads requests, writes responses, detects callers that disconnect."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import select
from typing import TYPE_CHECKING, NamedTuple, Protocol

import h11

from dragonflycove.fleet import forwarding, relaying
from dragonflycove.fleet.memory import byte_account, connection_limit
from dragonflycove.gateway import (
    caller_input,
    caller_outputs,
    caller_responses,
    denials,
    request_admission,
    request_bodies,
)
from dragonflycove.platform import requests
from dragonflycove.telemetry import logs
from dragonflycove.transport import http1

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dragonflycove.fleet import catalog
    from dragonflycove.gateway import held_bytes

LISTEN_BACKLOG = 1_024
"""Connections that the kernel queues until they are accepted; callers open hundreds at once."""

LINGER_SECONDS = 1.0
"""Time without bytes from a caller after the last response, until the connection is closed."""

MAX_LINGER_SECONDS = 10.0
"""Time after the last response in which a caller may go on sending a refused request."""

MIN_IDLE_SECONDS = 1.0
"""Time without a request after which a stop closes a connection; callers that send one request
after the other do so sooner."""

QUIET_TURNS = 5
"""Turns of the event loop in which an accepted connection comes to be served."""

MAX_FINISH_TURNS = 200
"""Turns of the event loop after which no further connections are accepted in any case."""

UNREAD_BYTES = 65_536
"""Half of the bytes that are taken from a caller's socket before they are read from there."""

ACCOUNTED_UNREAD_BYTES = 8_192
"""The same where held bytes are accounted for, as these are not; most requests are smaller."""

_LIMIT_STATUSES = frozenset({413, 431})
"""Statuses of requests that exceed a limit which operators state."""

MAX_CONNECTIONS = 1_024
"""Default of the maximum number of connections that a listener keeps open."""

MAX_RECEIVED_BYTES = 32_768
"""Maximum bytes that are taken from a caller's socket at once."""

_TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
"""Response on a connection that is refused before a request has been read."""

_RESPONSE_SENT = frozenset({h11.DONE, h11.MUST_CLOSE})
"""States of a parser once a complete response has been written."""


class UnansweredCause(enum.Enum):
    """Why a connection ended on which a request had begun and was not completely answered."""

    CALLER_GONE = "caller_gone"
    """The caller disconnected or stopped reading."""

    CUT = "cut"
    """No attempt could go on with a response that had started."""

    EXCEPTION = "exception"
    """An exception was raised; it is logged as well."""

    STOP = "stop"
    """The process ended."""


class Handler(Protocol):
    """Serves one request."""

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Serve a request and write its response."""
        ...


class Accounting(NamedTuple):
    """How a listener accounts for the bytes that it holds."""

    node: held_bytes.HeldBytes
    """The account of the node."""

    name_organisation: Callable[[Sequence[tuple[bytes, bytes]]], str]
    """Returns the organisation of a request by its headers; empty if it has none."""

    refusal_header: bytes | None = None
    """Header with the reason of a refusal, for other nodes; None for callers."""

    has_responses: bool = True
    """Whether responses are accounted for as well as requests."""


class CallerListener:
    """Accepts callers' connections."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], catalog.CallerLimits],
        accounting: Accounting | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            handler: Serves the requests.
            limits: Returns the limits of the configuration in force.
            accounting: How held bytes are accounted for; None if they are not.
            max_connections: Maximum number of open connections.
        """
        self.connection_limit = connection_limit.ConnectionLimit[_CallerConnection](max_connections)
        """Bounds the open connections."""
        self.refused_connections = 0
        """Connections refused or closed for others so far, because too many were open."""
        self._accounting = accounting
        self._handler = handler
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._connections: set[_CallerConnection] = set()
        self.is_stopping = False
        """Whether the last response to what has arrived on a connection carries `Connection: close`,
        so that callers connect to another node."""
        self.active = 0
        """Requests that are being read or served."""
        self.carried_bytes = 0
        """Bytes read from and written to callers so far."""
        self.may_deny: Callable[[], bool] = lambda: True
        """Returns whether the limits in force are known to be the operators' newest ones."""
        self.pipelined = caller_input.PipelinedBytes()
        """Bytes of pipelined requests that are held while others are served."""

    def count_bytes(self, count: int) -> None:
        """Count bytes that a connection has carried.

        Args:
            count: Number of bytes.
        """
        self.carried_bytes += count

    @property
    def connection_count(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    async def listen(self, address: catalog.Address) -> None:
        """Begin to accept connections.

        Args:
            address: Address to bind.
        """
        self._server = await asyncio.start_server(
            self._on_connection,
            address.ip,
            address.port,
            backlog=LISTEN_BACKLOG,
            limit=UNREAD_BYTES if self._accounting is None else ACCOUNTED_UNREAD_BYTES,
        )

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http1.set_socket_options(writer)
        # asyncio takes up to 256 KiB at once, whatever the reader's limit is.
        writer.transport.max_size = MAX_RECEIVED_BYTES  # type: ignore[attr-defined]
        connection = _CallerConnection(
            self, self._handler, self._limits, self._accounting, reader, writer
        )
        if not self._admit(connection):
            connection.free_bytes()
            writer.close()
            return
        self._connections.add(connection)
        try:
            await connection.run()
        except asyncio.CancelledError:
            connection.log_unanswered(UnansweredCause.STOP)
            writer.transport.abort()
        except Exception as error:
            connection.log_unanswered(UnansweredCause.EXCEPTION)
            logs.exception(error)
        finally:
            await self._close(connection, writer)

    def _admit(self, connection: _CallerConnection) -> bool:
        """Return whether a connection may stay open; another one may be closed for it."""
        admission = self.connection_limit.admit(connection, asyncio.get_running_loop().time())
        if admission.closed is not None:
            admission.closed.shed()
        elif not admission.is_admitted:
            connection.refuse()
        else:
            return True
        self.refused_connections += 1
        return admission.is_admitted

    async def _close(self, connection: _CallerConnection, writer: asyncio.StreamWriter) -> None:
        """Close a connection after its last response has been passed to the kernel."""
        connection.free_bytes()
        self.connection_limit.discard(connection)
        try:
            with contextlib.suppress(OSError):  # The connection is closed either way.
                writer.close()
                await writer.wait_closed()
        finally:
            self._connections.discard(connection)

    @property
    def has_connections(self) -> bool:
        """Whether a connection is open, or a response on it is not completely passed to the kernel."""
        return bool(self._connections)

    def stop_accepting(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    async def finish_accepting(self) -> None:
        """Take over the connections that callers have opened, and accept no further ones.

        Closing the listening socket resets the connections that wait in the kernel, and drops those
        of which asyncio hasn't made a transport yet.
        """
        if self._server is None or not self._server.is_serving():
            return
        poll = select.poll()
        for listening in self._server.sockets:
            poll.register(listening.fileno(), select.POLLIN)
        quiet_turns = 0
        for _ in range(MAX_FINISH_TURNS):
            quiet_turns = 0 if poll.poll(0) else quiet_turns + 1
            if quiet_turns > QUIET_TURNS:
                break
            await asyncio.sleep(0)
        self.stop_accepting()

    def close_idle(self) -> int:
        """Close the connections on which no byte of a request has arrived for a while.

        Returns:
            Number of connections left open.
        """
        return sum(not connection.close_if_idle() for connection in list(self._connections))


class _CallerConnection:
    """One caller's connection, which carries requests one after the other."""

    def __init__(
        self,
        listener: CallerListener,
        handler: Handler,
        limits: Callable[[], catalog.CallerLimits],
        accounting: Accounting | None,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._accounting = accounting
        self._held: held_bytes.HeldConnection | None = None
        if accounting is not None:
            self._held = accounting.node.open(writer.transport, accounting.name_organisation)
        self._accounts_for_responses = accounting is not None and accounting.has_responses
        self._listener = listener
        self._handler = handler
        self._limits = limits
        self._input = caller_input.CallerInput(
            reader, writer, limits, self._on_read, listener.pipelined
        )
        self._writer = writer
        self._idle_since = asyncio.get_running_loop().time()
        self._request_id = ""
        self._served_requests = 0
        self._is_serving = False
        self._response: caller_responses.CallerResponse | None = None

    def log_unanswered(self, cause: UnansweredCause) -> None:
        """Log that the connection ends although a request has begun; no line if none has.

        Args:
            cause: Why the connection ends.
        """
        is_answered = (
            self._response is not None
            and self._response.is_written
            and self._input.parser.our_state in _RESPONSE_SENT
        )
        if is_answered or not (self._input.has_begun or self._input.has_buffered_bytes):
            return
        logs.event(
            "unanswered",
            request=self._request_id,
            cause=cause.value,
            started=self._response is not None and self._response.is_started,
            read=self._response is not None,
            stopping=self._listener.is_stopping,
        )

    def refuse(self) -> None:
        """Refuse the connection, on which nothing has been read; other nodes see it closed."""
        if self._accounting is None or self._accounting.refusal_header is None:
            self._writer.write(_TOO_MANY_CONNECTIONS)

    def shed(self) -> None:
        """End the connection, which waits for its caller, in favour of a new one."""
        self._writer.transport.abort()

    def _on_read(self, count: int) -> None:
        self._listener.count_bytes(count)
        if not self._is_serving:
            now = asyncio.get_running_loop().time()
            self._listener.connection_limit.on_waiting(self, now)

    def free_bytes(self) -> None:
        """Free what the connection holds, once it has ended."""
        self._input.close()
        if self._held is not None:
            self._held.close()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError as error:
                await self._reject_malformed(error)
                return
            except request_bodies.BytesRefusedError as error:
                await self._refuse_for_bytes(error)
                return
            except caller_outputs.CallerGoneError:
                self.log_unanswered(UnansweredCause.CALLER_GONE)
                return
            except Exception as error:
                if not self._input.has_begun:
                    raise
                logs.exception(error)
                await self._respond_to_exception("", b"", None)
                return
            if request is None:
                return
            if not await self._serve(request):
                return
            if not self._is_reusable():
                await self._linger()
                return
            self._idle_since = asyncio.get_running_loop().time()

    def _is_reusable(self) -> bool:
        """Whether the connection can carry another request after a complete response."""
        parser = self._input.parser
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE

    def close_if_idle(self) -> bool:
        """Close the connection if no byte of a request has arrived for a while.

        The time counts from when the last response has been passed to the kernel.

        Returns:
            Whether the connection is closed.
        """
        now = asyncio.get_running_loop().time()
        if self._writer.transport.get_write_buffer_size():
            self._idle_since = now
        if self._input.has_begun or now < self._idle_since + MIN_IDLE_SECONDS:
            return False
        if self._input.has_unread_bytes():
            return False
        self._writer.close()
        return True

    async def _read_request(self) -> forwarding.CallerRequest | None:
        """Read a complete request; None if the connection ended or stayed idle too long."""
        self._request_id = ""
        self._response = None
        if not await self._input.wait_for_request():
            return None
        self._listener.active += 1
        try:
            return await self._read_begun_request()
        finally:
            self._listener.active -= 1

    async def _read_begun_request(self) -> forwarding.CallerRequest:
        head: h11.Request | None = None
        body = request_bodies.RequestBody(lambda: self._limits().max_body_bytes, self._held)
        while True:
            event = self._input.next_event()
            if isinstance(event, h11.Request):
                head = event
                self._request_id = requests.read_attempt_id(head.headers)
                await body.begin(head)
                self._send_continue()
            elif isinstance(event, h11.Data):
                await body.add(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                request = requests.decode_request(
                    head.method, head.target, head.headers, body.take()
                )
                return request._replace(arrived_at=body.begun_at)
            elif event is h11.NEED_DATA:
                body.on_read()
                await self._input.read()
            else:
                raise RuntimeError(f"unexpected event while a request is read: {event}")

    def _send_continue(self) -> None:
        """Send `100 Continue` if the caller waits for it before the body."""
        if not self._input.parser.they_are_waiting_for_100_continue:
            return
        response = h11.InformationalResponse(status_code=100, headers=[])
        self._writer.write(self._input.parser.send(response) or b"")

    async def _serve(self, request: forwarding.CallerRequest) -> bool:
        """Serve a request; returns whether the connection can be reused.

        A caller that disconnects cancels its request.
        """
        self._served_requests += 1
        self._listener.active += 1
        self._is_serving = True
        self._listener.connection_limit.on_served(self)
        response = caller_responses.CallerResponse(
            self._input.parser,
            self._writer,
            request.attempt_id,
            request.method,
            is_last=self._is_last_response,
            held=self._held if self._accounts_for_responses else None,
            on_write=self._listener.count_bytes,
        )
        self._request_id = request.attempt_id
        if self._held is not None:
            self._held.request_id = request.attempt_id
        self._response = response
        try:
            outcome, is_caller_gone = await self._run_handler(request, response)
            return await self._end_request(
                request, response, outcome, is_caller_gone=is_caller_gone
            )
        finally:
            self._listener.active -= 1
            self._is_serving = False
            now = asyncio.get_running_loop().time()
            self._listener.connection_limit.on_waiting(self, now)
            response.close()
            if self._held is not None:
                self._held.end_request()

    def _is_last_response(self) -> bool:
        """Whether the connection ends after the response; not if another request has begun to arrive."""
        return self._listener.is_stopping and not self._input.has_unread_bytes()

    async def _run_handler(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> tuple[BaseException | None, bool]:
        """Return what the handler raised, and whether the caller disconnected meanwhile."""
        serve_task = asyncio.ensure_future(self._run_and_flush(request, response))
        close_task = asyncio.ensure_future(self._input.wait_for_close())
        is_caller_gone = False
        try:
            await asyncio.wait({serve_task, close_task}, return_when=asyncio.FIRST_COMPLETED)
            is_caller_gone = close_task.done()
        finally:
            for task in (serve_task, close_task):
                if not task.done():
                    task.cancel()
            outcomes = await asyncio.gather(serve_task, close_task, return_exceptions=True)
        return outcomes[0], is_caller_gone

    async def _run_and_flush(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        await self._handler.serve(request, response)
        await response.flush()

    async def _end_request(
        self,
        request: forwarding.CallerRequest,
        response: caller_responses.CallerResponse,
        outcome: BaseException | None,
        *,
        is_caller_gone: bool,
    ) -> bool:
        """End a request after its handler; returns whether the connection can be reused."""
        is_complete = self._input.parser.our_state in _RESPONSE_SENT
        if response.is_aborted:
            cause = UnansweredCause.CUT
        elif isinstance(outcome, caller_outputs.CallerGoneError) or (
            is_caller_gone and isinstance(outcome, asyncio.CancelledError)
        ):
            cause = UnansweredCause.CALLER_GONE
        elif outcome is None and is_complete:
            return True
        else:
            cause = UnansweredCause.EXCEPTION
            logs.exception(outcome or RuntimeError("the handler wrote no complete response"))
            if is_complete:
                with contextlib.suppress(caller_outputs.CallerGoneError):
                    await response.flush()
                await self._linger()
                return False
            if not response.is_started:
                await self._respond_to_exception(
                    request.attempt_id, request.method, response.refusal_header
                )
                return False
        self.log_unanswered(cause)
        self._writer.transport.abort()
        return False

    async def _refuse_for_bytes(self, error: request_bodies.BytesRefusedError) -> None:
        """Refuse a request for which there is no room, before it was read whole; ends the connection."""
        head = error.head
        request = requests.decode_request(head.method, head.target, head.headers, b"")
        if self._held is not None:
            self._held.on_refused(request.attempt_id, error.size)
            self._held.end_request()
        response = caller_responses.CallerResponse(
            self._input.parser,
            self._writer,
            request.attempt_id,
            request.method,
            is_last=lambda: True,
        )
        response.refusal_header = self._accounting.refusal_header if self._accounting else None
        final = forwarding.FinalResponse(
            503, relaying.NODE_MEMORY, byte_account.RETRY_AFTER_SECONDS
        )
        with contextlib.suppress(caller_outputs.CallerGoneError):
            await response.write_refusal(final)
            await self._linger()

    async def _respond_to_exception(
        self, attempt_id: str, method: bytes, refusal_header: bytes | None
    ) -> None:
        """Respond to a request that can't be served due to an exception; ends the connection."""
        final = forwarding.FinalResponse(502, "internal_error", None)
        logs.event("failed", request=attempt_id, status=final.status, reason=final.reason)
        # After an error of its own side, the connection's parser can't send.
        parser = h11.Connection(h11.SERVER)
        response = caller_responses.CallerResponse(
            parser, self._writer, attempt_id, method, is_last=lambda: True
        )
        response.refusal_header = refusal_header
        with contextlib.suppress(caller_outputs.CallerGoneError):
            await response.write_refusal(final)
            await self._linger()

    async def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Respond to a malformed or incomplete request, and close the connection."""
        status = error.error_status_hint
        if status in _LIMIT_STATUSES and not self._listener.may_deny():
            await self._refuse_by_limits()
            return
        denials.log_by_parser(
            self._request_id,
            error,
            version=self._limits().version,
            served_requests=self._served_requests,
            read_bytes=self._input.parsed_bytes,
        )
        if self._held is not None:
            self._held.end_request()
        parser = self._input.parser
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            data = parser.send(h11.Response(status_code=status, headers=headers)) or b""
            data += parser.send(h11.EndOfMessage()) or b""
            self._writer.write(data)
            await self._linger()

    async def _refuse_by_limits(self) -> None:
        """Refuse a request that exceeds a limit; operators may have stated a greater one by now."""
        if self._held is not None:
            self._held.end_request()
        final = (
            request_admission.UNCONFIGURED
            if self._limits().are_defaults
            else request_admission.OUTDATED
        )
        logs.event("refused", request=self._request_id, status=final.status, reason=final.reason)
        response = caller_responses.CallerResponse(
            self._input.parser, self._writer, self._request_id, b"", is_last=lambda: True
        )
        with contextlib.suppress(caller_outputs.CallerGoneError):
            await response.write_refusal(final)
            await self._linger()

    async def _linger(self) -> None:
        """Let the caller read the response before the connection closes."""
        with contextlib.suppress(OSError):  # The connection is closed in any case.
            if self._writer.can_write_eof():
                self._writer.write_eof()
        await self._input.discard(LINGER_SECONDS, MAX_LINGER_SECONDS)

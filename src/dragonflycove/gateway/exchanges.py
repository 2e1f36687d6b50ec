"""Sends a request on one connection and relays the response to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import result

from dragonflycove.fleet import catalog, event_stream, forwarding, server_health
from dragonflycove.gateway import send_values, unreadable_ids
from dragonflycove.platform import requests
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from dragonflycove.gateway import (
        caller_responses,
        connection_pool,
        request_context,
        response_bodies,
    )
    from dragonflycove.telemetry import fleet_metrics
    from dragonflycove.transport import http1

MAX_CROSSED_RESPONSES = 16
"""Responses to earlier requests that may precede a response on its connection."""

MAX_REFUSALS_PER_CONNECTION = 64
"""Refusals from which on a connection is not reused; bounds the ids that are kept of them."""

DISCARD_TIMEOUT_SECONDS = 0.5
"""Timeout for discarding the rest of an unused response, so that its connection can be reused."""

MIN_COUNTED_TIMEOUT_SECONDS = 1.0
"""Minimum wait without a response, up to the deadline, that counts as a failure of the server.

Healthy servers respond to plain calls within a quarter of this time, outliers included.
"""

_STATUSES_READ_AS_NOT_EXECUTED = frozenset({408, 421, 429, 503})
"""Response statuses by which callers conclude that the request did not run."""


_T = TypeVar("_T")


class Exchange:
    """A request and its response on one connection, to a server or to a node that relays it."""

    def __init__(
        self,
        context: request_context.RequestContext,
        callbacks: send_values.ExchangeCallbacks,
        response: caller_responses.CallerResponse,
        progress: send_values.StreamProgress,
        connection: http1.Connection,
        address: catalog.Address,
        pool: connection_pool.ConnectionPool,
        metrics: fleet_metrics.FleetMetrics,
        bodies: response_bodies.ResponseBodies,
    ) -> None:
        """Create an exchange that has sent nothing.

        Args:
            context: The request.
            callbacks: What the exchange calls while it runs.
            response: The response to the caller.
            progress: Position in the caller's stream over all attempts.
            connection: Connection without a request in flight.
            address: Where the connection leads.
            pool: Takes the connection back if it can be reused.
            metrics: Records response times and gaps.
            bodies: Reads complete responses.
        """
        self._bodies = bodies
        self._address = address
        self._metrics = metrics
        self._unreadable_ids = unreadable_ids.UnreadableIds(context.request.attempt_id)
        self._last_event_at = 0.0
        self._reading_since = 0.0
        self._context = context
        self._callbacks = callbacks
        self._response = response
        self._progress = progress
        self._connection = connection
        self._pool = pool
        self._started_at = asyncio.get_running_loop().time()
        self._is_reused_connection = connection.completed_responses > 0
        self._first_event_seconds = 0.0
        self._resumed_run = event_stream.ResumedRun() if progress.first_head is not None else None
        self.is_pooled = False
        """Whether the connection was returned to the pool."""

    async def run(self, request: http1.Request) -> send_values.AttemptResult:
        """Send the request and relay the response.

        Args:
            request: The encoded request.

        Returns:
            How the attempt ended.
        """
        self._connection.send(request)
        self._callbacks.on_sent()
        head = await self._read_with_timeout(self._first_event_timeout(), self._read_own_head())
        if isinstance(head, result.Err):
            return self._classify_loss(head.err_value, response_started=False)
        return await self._handle_head(head.ok_value)

    def _first_event_timeout(self) -> float:
        """Return the time without a response after which the request is moved if it can be."""
        raise NotImplementedError

    def _on_gap(self, seconds: float, writing_seconds: float) -> None:
        """Measure the gap before an event, and how much of it passed writing to the caller."""

    def _on_response(self, seconds: float) -> None:
        """Measure the time to a complete response."""

    def _gap_timeout(self) -> float:
        """Return the time without an event after which a running stream is moved if it can be."""
        return forwarding.gap_timeout_seconds(self._context.route)

    async def _read_with_timeout(
        self, seconds: float, read_operation: Awaitable[result.Result[_T, object]]
    ) -> result.Result[_T, forwarding.AttemptEnd]:
        """Wait for a part of the response; an error states how the attempt ended.

        After `seconds` without a response, the attempt ends once the request may go on at another
        server; until then the response is awaited up to the deadline.
        """
        loop = asyncio.get_running_loop()
        deadline_at = self._context.deadline_at
        read = asyncio.ensure_future(read_operation)
        tasks: set[asyncio.Future[Any]] = {read}
        move: asyncio.Task[None] | None = None
        try:
            await asyncio.wait(tasks, timeout=max(0.0, min(deadline_at - loop.time(), seconds)))
            if not read.done() and loop.time() < deadline_at:
                move = asyncio.ensure_future(self._callbacks.wait_for_move())
                tasks.add(move)
                await asyncio.wait(
                    tasks,
                    timeout=max(0.0, deadline_at - loop.time()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if move is not None and move.done():
                move.result()  # Raises if the search for another server has failed.
                return result.Err(forwarding.AttemptEnd.TIMEOUT)
            if not read.done():
                return result.Err(forwarding.AttemptEnd.TIMEOUT)
            response = read.result()
        finally:
            for task in tasks:
                task.cancel()
            # A place must neither be found nor stay charged after the attempt has ended.
            if move is not None and not move.done():
                await asyncio.wait({move})
        if isinstance(response, result.Err):
            return result.Err(forwarding.AttemptEnd.BROKEN)
        return response

    async def _read_own_head(self) -> result.Result[forwarding.ResponseHead, object]:
        """Read response heads until one belongs to this request; drop responses to earlier ones."""
        for _ in range(MAX_CROSSED_RESPONSES + 1):
            read = await self._connection.read_head()
            if isinstance(read, result.Err):
                return read
            head = requests.decode_response_head(read.ok_value)
            own_id = self._context.request.attempt_id
            if head.attempt_id is None and own_id and self._is_reused_connection:
                # It may repeat the response to an earlier request of the connection.
                logs.event("unidentified_response", request=own_id, status=head.status)
                return result.Err("unidentified_response")
            if head.attempt_id is None or head.attempt_id == own_id:
                self._callbacks.on_head(head)
                return result.Ok(head)
            logs.event("crossed_answer", request=own_id, other=head.attempt_id)
            self._callbacks.on_crossed_head(head)
            while (chunk := await self._connection.read_body_chunk()) is not None:
                if isinstance(chunk, result.Err):
                    return chunk
            if head.closes or not self._connection.expect_another_response():
                return result.Err("connection_ends")
        return result.Err("too_many_crossed_answers")

    def _classify_loss(
        self, end: forwarding.AttemptEnd, *, response_started: bool
    ) -> send_values.AttemptResult:
        """Return the outcome of an attempt whose response is missing or incomplete.

        A reused connection that was closed before the response head counts as stale, which is no
        evidence of the server's health.
        """
        now = asyncio.get_running_loop().time()
        if end is forwarding.AttemptEnd.TIMEOUT:
            deadline_passed = now >= self._context.deadline_at
            server_outcome = server_health.Outcome.TIMEOUT
            # A missed short deadline of the caller is no evidence of the server's health.
            is_early = now - self._started_at < MIN_COUNTED_TIMEOUT_SECONDS
            if deadline_passed and (is_early or self._first_event_seconds):
                server_outcome = server_health.Outcome.ABANDONED
            return send_values.AttemptResult(
                end, server_outcome, first_event_seconds=self._first_event_seconds
            )
        if self._is_reused_connection and not response_started:
            return send_values.AttemptResult(
                forwarding.AttemptEnd.STALE, server_health.Outcome.ABANDONED
            )
        return send_values.AttemptResult(
            end, server_health.Outcome.BROKEN, first_event_seconds=self._first_event_seconds
        )

    async def _handle_head(self, head: forwarding.ResponseHead) -> send_values.AttemptResult:
        if head.is_not_executed:
            await self._discard_body(head)
            return self._handle_not_executed(head)
        is_success = 200 <= head.status < 300
        if is_success and (not head.is_signed or head.is_encoded):
            return _broken_by_server()
        if is_success and self._context.route.kind is catalog.CallKind.STREAMING:
            return await self._relay_stream(head)
        body = await self._read_with_timeout(float("inf"), self._read_body())
        if isinstance(body, result.Err):
            return self._classify_loss(body.err_value, response_started=True)
        self._return_connection(head)
        return await self._handle_complete_response(head, body.ok_value)

    def _handle_not_executed(self, head: forwarding.ResponseHead) -> send_values.AttemptResult:
        is_wrong_instance = head.status == 421
        server_outcome = (
            server_health.Outcome.WRONG_INSTANCE
            if is_wrong_instance
            else server_health.Outcome.FULL
        )
        return send_values.AttemptResult(forwarding.AttemptEnd.NOT_EXECUTED, server_outcome)

    async def _handle_complete_response(
        self, head: forwarding.ResponseHead, body: bytes
    ) -> send_values.AttemptResult:
        """Relay a complete response, unless its status or a started response prevents it."""
        seconds = asyncio.get_running_loop().time() - self._started_at
        if head.status in _STATUSES_READ_AS_NOT_EXECUTED:
            # The request may have run, but relaying this status would tell the caller it did not.
            return _broken_by_server()
        if 300 <= head.status < 500 and not head.is_signed:
            # Passed on, it would be this node's own verdict on the request.
            logs.event(
                "unsigned_denial",
                request=self._context.request.attempt_id,
                status=head.status,
                address=self._address,
            )
            return _broken_by_server()
        fallback = send_values.FallbackResponse(head, body)
        if head.status >= 500:
            return send_values.AttemptResult(
                forwarding.AttemptEnd.ERROR_STATUS,
                server_health.Outcome.SERVER_ERROR,
                fallback=fallback,
            )
        if self._response.is_started:
            return _broken_by_server()
        if 200 <= head.status < 300:
            self._on_response(seconds)
        await self._response.write_complete(head.status, head.headers, body)
        self._metrics.record_first_event(self._context.route.kind, seconds)
        return send_values.AttemptResult(
            forwarding.AttemptEnd.DELIVERED,
            server_health.Outcome.ANSWERED,
            is_success=200 <= head.status < 300,
            first_event_seconds=seconds,
        )

    async def _read_body(self) -> result.Result[bytes, object]:
        return await self._bodies.read(
            self._connection,
            self._response.held,
            self._context.request.attempt_id,
            self._address,
        )

    async def _discard_body(self, head: forwarding.ResponseHead) -> None:
        """Read and drop the rest of a refusal, so that its connection can be reused."""
        refused_ids = self._connection.refused_request_ids
        refused_ids.add(self._context.request.attempt_id)
        if len(refused_ids) > MAX_REFUSALS_PER_CONNECTION:
            return
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_SECONDS):
                body = await self._read_body()
        except TimeoutError:
            return
        if isinstance(body, result.Ok):
            self._return_connection(head)

    def _return_connection(self, head: forwarding.ResponseHead) -> None:
        self._pool.put(self._address, self._connection, head)
        self.is_pooled = True

    async def _relay_stream(self, head: forwarding.ResponseHead) -> send_values.AttemptResult:
        """Relay a stream event by event until it ends or fails."""
        first_head = self._progress.first_head
        if first_head is not None and not forwarding.continues_stream(first_head, head):
            return _broken_by_server()
        splitter = event_stream.EventSplitter()
        loop = asyncio.get_running_loop()
        timeout_seconds = self._first_event_timeout()
        waiting_since = loop.time()
        while True:
            # Bytes that complete no event don't extend the wait for one.
            seconds_left = max(0.0, waiting_since + timeout_seconds - loop.time())
            chunk = await self._read_with_timeout(seconds_left, self._read_chunk())
            if isinstance(chunk, result.Err):
                return self._classify_loss(chunk.err_value, response_started=True)
            if chunk.ok_value is None:
                break
            events = splitter.feed(chunk.ok_value)
            self._unreadable_ids.log_first(events)
            if splitter.is_overlong:
                return self._classify_loss(forwarding.AttemptEnd.BROKEN, response_started=True)
            if not events:
                continue
            now = waiting_since = loop.time()
            if self._first_event_seconds:
                self._metrics.record_gap(now - self._last_event_at)
                self._on_gap(now - self._last_event_at, self._reading_since - self._last_event_at)
            else:
                self._first_event_seconds = now - self._started_at
                self._metrics.record_first_event(
                    self._context.route.kind, self._first_event_seconds
                )
                self._callbacks.on_first_event()
            self._last_event_at = now
            selected = event_stream.select_new(events, self._progress.position, self._resumed_run)
            # While the caller is written to or the next event is awaited, only the bytes are kept.
            events.clear()
            await self._relay_events(head, selected)
            if not selected.is_contiguous:
                return _broken_by_server()
            self._reading_since = loop.time()
            if self._context.route.is_resumable:
                timeout_seconds = self._gap_timeout()
        return await self._end_stream(head, splitter)

    async def _end_stream(
        self, head: forwarding.ResponseHead, splitter: event_stream.EventSplitter
    ) -> send_values.AttemptResult:
        """End the caller's stream after the end of the server's, if that is complete."""
        if splitter.has_partial_event:
            return self._classify_loss(forwarding.AttemptEnd.BROKEN, response_started=True)
        if self._resumed_run and not self._resumed_run.is_complete(self._progress.position):
            return _broken_by_server()
        self._return_connection(head)
        if not self._response.is_started:
            await self._start_stream(head, b"")
        await self._response.end_stream()
        return send_values.AttemptResult(
            forwarding.AttemptEnd.DELIVERED,
            server_health.Outcome.ANSWERED,
            is_success=True,
            first_event_seconds=self._first_event_seconds,
        )

    async def _read_chunk(self) -> result.Result[bytes | None, object]:
        chunk = await self._connection.read_body_chunk()
        return result.Ok(None) if chunk is None else chunk

    async def _relay_events(
        self, head: forwarding.ResponseHead, selected: event_stream.NewEvents
    ) -> None:
        """Write new events to the caller."""
        if not selected.event_count:
            return
        self._progress.relayed_events += selected.event_count
        self._progress.last_event_at = asyncio.get_running_loop().time()
        if self._response.is_started:
            await self._response.write_stream(selected.data)
        else:
            await self._start_stream(head, selected.data)

    async def _start_stream(self, head: forwarding.ResponseHead, data: bytes) -> None:
        self._progress.first_head = head
        await self._response.start_stream(head.status, head.headers, data)


def _broken_by_server() -> send_values.AttemptResult:
    """Return the outcome of an attempt whose response can't be used."""
    return send_values.AttemptResult(
        forwarding.AttemptEnd.BROKEN, server_health.Outcome.SERVER_ERROR
    )

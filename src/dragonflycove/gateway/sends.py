"""One send of a request to a server, and what it brought."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import result

from dragonflycove.fleet import catalog, event_stream, forwarding, server_health
from dragonflycove.gateway import send_values
from dragonflycove.platform import requests
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from dragonflycove.fleet import knowledge
    from dragonflycove.gateway import callers, lives, server_pool
    from dragonflycove.telemetry import fleet_metrics
    from dragonflycove.transport import http1

ANSWER_BYTES = 16_777_216
"""Longest answer that is held until it is whole; the users' plain answers have a few kilobytes."""

DRAIN_SECONDS = 0.5
"""Time to read the rest of an answer that is of no use, so that its connection stays usable."""

TELLING_SECONDS = 1.0
"""Time without an answer at the deadline from which the server counts as silent.

Sound servers answer plain calls in a quarter of it, a long tail included.
"""

ASK_MOVE_SECONDS = 0.1
"""Time between two looks at whether a silent request can be moved."""

_PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise the caller that nothing ran."""


_T = TypeVar("_T")


class Sender:
    """Sends requests to servers and passes answers on."""

    def __init__(
        self,
        pool: server_pool.ServerPool,
        belief: knowledge.Knowledge,
        metrics: fleet_metrics.FleetMetrics,
    ) -> None:
        """Create a sender.

        Args:
            pool: Connections to servers.
            belief: What is known of the servers.
            metrics: Where times are recorded.
        """
        self._pool = pool
        self._belief = belief
        self._metrics = metrics

    async def send(
        self,
        life: lives.Life,
        plan: send_values.Plan,
        response: callers.CallerResponse,
        stream: send_values.StreamState,
    ) -> send_values.Outcome:
        """Send a request once.

        Args:
            life: The request.
            plan: Where and how.
            response: The caller's answer.
            stream: How far the caller's stream has come.

        Returns:
            How it ended.
        """
        server = plan.grant.lead
        loop = asyncio.get_running_loop()
        taken = await self._pool.take(
            server.address,
            fresh=not life.route.is_repeatable,
            connect_seconds=max(0.01, life.deadline_at - loop.time()),
        )
        if isinstance(taken, result.Err):
            return send_values.Outcome(forwarding.End.NOT_SENT, server_health.Outcome.UNREACHABLE)
        connection = taken.ok_value
        left = life.deadline_at - loop.time()
        if left <= 0 or not self._belief.is_usable(server.instance, loop.time()):
            connection.close()
            return send_values.Outcome(forwarding.End.NOT_SENT, server_health.Outcome.ABANDONED)
        exchange = _Exchange(life, plan, response, stream, connection, self._pool, self._metrics)
        try:
            return await exchange.run(left)
        finally:
            if not exchange.is_kept:
                connection.close()


class _Exchange:
    """A request and its answer on one connection."""

    def __init__(
        self,
        life: lives.Life,
        plan: send_values.Plan,
        response: callers.CallerResponse,
        stream: send_values.StreamState,
        connection: http1.Connection,
        pool: server_pool.ServerPool,
        metrics: fleet_metrics.FleetMetrics,
    ) -> None:
        self._metrics = metrics
        self._last_event_at = 0.0
        self._life = life
        self._plan = plan
        self._response = response
        self._stream = stream
        self._connection = connection
        self._pool = pool
        self._started_at = asyncio.get_running_loop().time()
        self._was_used = connection.exchanges > 0
        self._first_seconds = 0.0
        self.is_kept = False
        """Whether the connection went back to the pool."""

    async def run(self, left: float) -> send_values.Outcome:
        life = self._life
        organisation = life.organisation.name if life.organisation else None
        send = requests.Send(
            server=self._plan.grant.lead,
            seconds_left=left,
            organisation=organisation,
            priority=life.priority,
            helpers=self._plan.helpers,
            last_event_number=self._stream.position.last_number,
        )
        self._connection.send(requests.encode_for_server(life.request, send))
        head = await self._within(self._first_limit(), self._read_own_head())
        if isinstance(head, result.Err):
            return self._lost(head.err_value, began=False)
        return await self._on_head(head.ok_value)

    def _first_limit(self) -> float:
        route = self._life.route
        if route.kind is catalog.CallKind.STREAMING and route.is_resumable:
            return forwarding.silence_before_first_event(
                route,
                self._plan.predicted_seconds,
                holds_memory=any(part.reserved_tokens for part in self._plan.grant.helpers),
            )
        return forwarding.repeat_after(route) or float("inf")

    async def _within(
        self, seconds: float, reading: Awaitable[result.Result[_T, object]]
    ) -> result.Result[_T, forwarding.End]:
        """Wait for a part of the answer; an error names how the send ended.

        A silent server is left only for another one. Where the request can't be moved, its answer
        is waited for until the deadline.
        """
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(reading)
        until = min(self._life.deadline_at, loop.time() + seconds)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=max(0.0, until - loop.time()))
                now = loop.time()
                if task.done():
                    break
                if now >= self._life.deadline_at or self._plan.may_move():
                    return result.Err(forwarding.End.SILENT)
                until = min(self._life.deadline_at, now + ASK_MOVE_SECONDS)
            got = task.result()
        finally:
            task.cancel()
        if isinstance(got, result.Err):
            return result.Err(forwarding.End.BROKEN)
        return got

    async def _read_own_head(self) -> result.Result[forwarding.AnswerHead, object]:
        """Read heads until one answers this request; answers to earlier ones are dropped."""
        while True:
            head = await self._connection.read_head()
            if isinstance(head, result.Err):
                return head
            answer = requests.decode_answer(head.ok_value)
            own_id = self._life.request.attempt_id
            if answer.attempt_id is None or answer.attempt_id == own_id:
                return result.Ok(answer)
            logs.event("crossed_answer", request=own_id, other=answer.attempt_id)
            while (piece := await self._connection.read_body()) is not None:
                if isinstance(piece, result.Err):
                    return piece
            if answer.closes or not self._connection.skip_answer():
                return result.Err("connection_ends")

    def _lost(self, end: forwarding.End, *, began: bool) -> send_values.Outcome:
        """Judge a send whose answer did not come whole."""
        now = asyncio.get_running_loop().time()
        if end is forwarding.End.SILENT:
            out_of_time = now >= self._life.deadline_at
            judged = server_health.Outcome.SILENT
            # A caller with little time tells nothing of the server.
            is_short = now - self._started_at < TELLING_SECONDS
            if out_of_time and (is_short or self._first_seconds):
                judged = server_health.Outcome.ABANDONED
            return send_values.Outcome(end, judged, first_event_seconds=self._first_seconds)
        if self._was_used and not began:
            return send_values.Outcome(forwarding.End.STALE, server_health.Outcome.ABANDONED)
        return send_values.Outcome(
            end, server_health.Outcome.BROKEN, first_event_seconds=self._first_seconds
        )

    async def _on_head(self, answer: forwarding.AnswerHead) -> send_values.Outcome:
        if answer.is_not_run:
            await self._drain(answer)
            return self._not_run(answer)
        is_success = 200 <= answer.status < 300
        if is_success and (not answer.is_signed or answer.is_encoded):
            return send_values.Outcome(forwarding.End.BROKEN, server_health.Outcome.SERVER_ERROR)
        if is_success and self._life.route.kind is catalog.CallKind.STREAMING:
            return await self._pass_stream(answer)
        body = await self._within(float("inf"), self._read_body())
        if isinstance(body, result.Err):
            return self._lost(body.err_value, began=True)
        self._keep(answer)
        return await self._on_whole(answer, body.ok_value)

    def _not_run(self, answer: forwarding.AnswerHead) -> send_values.Outcome:
        for part in self._plan.grant.helpers:
            if part.server.address == answer.faulty_address:
                return send_values.Outcome(
                    forwarding.End.NOT_RUN,
                    server_health.Outcome.ABANDONED,
                    unhelpful=part.server.instance.server_id,
                )
        is_wrong = answer.status == 421
        judged = server_health.Outcome.WRONG_INSTANCE if is_wrong else server_health.Outcome.FULL
        return send_values.Outcome(forwarding.End.NOT_RUN, judged)

    async def _on_whole(self, answer: forwarding.AnswerHead, body: bytes) -> send_values.Outcome:
        """Pass a whole answer on, unless another server may give a better one."""
        seconds = asyncio.get_running_loop().time() - self._started_at
        if answer.status in _PROMISES:
            # Passed on, the status would promise that the request never ran.
            return send_values.Outcome(forwarding.End.BROKEN, server_health.Outcome.SERVER_ERROR)
        kept = send_values.KeptAnswer(answer, body)
        if answer.status >= 500:
            return send_values.Outcome(
                forwarding.End.ERROR_STATUS, server_health.Outcome.SERVER_ERROR, kept=kept
            )
        if self._response.is_started:
            return send_values.Outcome(forwarding.End.BROKEN, server_health.Outcome.SERVER_ERROR)
        await self._response.write_whole(answer.status, answer.headers, body)
        self._metrics.first(self._life.route.kind, seconds)
        return send_values.Outcome(
            forwarding.End.DELIVERED,
            server_health.Outcome.ANSWERED,
            first_event_seconds=seconds,
        )

    async def _read_body(self) -> result.Result[bytes, object]:
        body = bytearray()
        while (piece := await self._connection.read_body()) is not None:
            if isinstance(piece, result.Err):
                return piece
            body += piece.ok_value
            if len(body) > ANSWER_BYTES:
                return result.Err("answer_too_long")
        return result.Ok(bytes(body))

    async def _drain(self, answer: forwarding.AnswerHead) -> None:
        """Read the rest of an answer that is of no use."""
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                body = await self._read_body()
        except TimeoutError:
            return
        if isinstance(body, result.Ok):
            self._keep(answer)

    def _keep(self, answer: forwarding.AnswerHead) -> None:
        self._pool.put(self._plan.grant.lead.address, self._connection, answer)
        self.is_kept = True

    async def _pass_stream(self, answer: forwarding.AnswerHead) -> send_values.Outcome:
        """Pass a stream on, event by event, until it ends or breaks."""
        splitter = event_stream.EventSplitter()
        loop = asyncio.get_running_loop()
        limit = self._first_limit()
        while True:
            piece = await self._within(limit, self._read_piece())
            if isinstance(piece, result.Err):
                return self._lost(piece.err_value, began=True)
            if piece.ok_value is None:
                break
            events = splitter.feed(piece.ok_value)
            if not events:
                continue
            now = loop.time()
            if self._first_seconds:
                self._metrics.gap(now - self._last_event_at)
            else:
                self._first_seconds = now - self._started_at
                self._metrics.first(self._life.route.kind, self._first_seconds)
                self._plan.on_first_event()
            self._last_event_at = now
            if not await self._pass_events(answer, events):
                return send_values.Outcome(
                    forwarding.End.BROKEN, server_health.Outcome.SERVER_ERROR
                )
            if self._life.route.is_resumable:
                limit = forwarding.silence_between_events(self._life.route)
        if splitter.has_part:
            return self._lost(forwarding.End.BROKEN, began=True)
        self._keep(answer)
        if not self._response.is_started:
            await self._response.start_stream(answer.status, answer.headers, b"")
        await self._response.end_stream()
        return send_values.Outcome(
            forwarding.End.DELIVERED,
            server_health.Outcome.ANSWERED,
            first_event_seconds=self._first_seconds,
        )

    async def _read_piece(self) -> result.Result[bytes | None, object]:
        piece = await self._connection.read_body()
        return result.Ok(None) if piece is None else piece

    async def _pass_events(
        self, answer: forwarding.AnswerHead, events: list[event_stream.Event]
    ) -> bool:
        """Write events that the caller lacks; returns whether none is missing."""
        wanted = []
        whole = True
        for event in events:
            step = self._stream.position.advance(event)
            if step is event_stream.Step.GAP:
                whole = False
                break
            if step is event_stream.Step.NEXT:
                wanted.append(event.raw)
        if wanted:
            self._stream.delivered += len(wanted)
            self._stream.last_event_at = asyncio.get_running_loop().time()
            data = b"".join(wanted)
            if self._response.is_started:
                await self._response.write_stream(data)
            else:
                await self._response.start_stream(answer.status, answer.headers, data)
        return whole

"""Owns the claim table: follows the stream, appends to it, and sends what the table allows."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.backends import plain_client
from dragonflycove.claims import claim_limits, claim_table, effects, keys, records
from dragonflycove.telemetry import logs
from dragonflycove.transport import exchange
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Sequence

    from dragonflycove.configuration import schema
    from dragonflycove.infrastructure import log_client
    from dragonflycove.values import identifiers, requests

PAGE_RECORDS = 500
"""Most records read at once."""

POLL_SECONDS = 2.0
"""Time for which the log may hold a reading that finds nothing new, seconds."""

CALL_SECONDS = 5.0
"""Bound on one reading of the log, seconds."""

APPEND_SECONDS = 2.0
"""Bound on one append to the log, seconds."""

RETRY_SECONDS = 0.5
"""Longest pause before the log is read again after a failure, seconds."""

TICK_SECONDS = 0.05
"""Time between looks at what is overdue, seconds."""

DEFAULT_APPENDS_PER_SECOND = 20.0
"""Share of the log's append rate of one node among a few, appends a second."""

DEFAULT_LIMITS = claim_limits.ClaimLimits(
    key_validity=keys.KeyValidity(lifetime_seconds=600.0, future_seconds=60.0),
    retention_seconds=900.0,
    claim_seconds=5.0,
    outcome_seconds=60.0,
    keys_limit=500_000,
)
"""Bounds for a log that keeps records for 15 minutes or longer."""


class CallResult(NamedTuple):
    """What became of a call."""

    outcome: outcomes.Outcome
    """Its outcome."""

    response: records.Response | None
    """The plain service's answer, where there is one."""


class _PendingCall(NamedTuple):
    """A call that waits for its result."""

    headers: tuple[tuple[str, str], ...]
    body: bytes
    servers: tuple[schema.Server, ...]
    finished: asyncio.Future[CallResult]


class ClaimTask:
    """Runs calls that are not idempotent, each key at most once in the whole system."""

    def __init__(
        self,
        log: log_client.LogClient,
        plain: plain_client.PlainClient,
        identity: identifiers.NodeIdentity,
        rng: random.Random,
        limits: claim_limits.ClaimLimits = DEFAULT_LIMITS,
        appends_per_second: float = DEFAULT_APPENDS_PER_SECOND,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Create the task.

        Args:
            log: The log service.
            plain: Client of plain services.
            identity: This node.
            rng: Generator for identifiers.
            limits: Bounds of the claim protocol.
            appends_per_second: The node's share of the log's append rate.
            wall_clock: Unix time, to compare with the keys' times.
        """
        self.table = claim_table.ClaimTable.from_config(limits, identity, appends_per_second, rng)
        """The claims of this node."""
        self._log = log
        self._plain = plain
        self._rng = rng
        self._wall_clock = wall_clock
        self._pending_by_request: dict[str, _PendingCall] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        try:
            await asyncio.gather(self._follow_log(), self._keep_time())
        finally:
            for task in self._background:
                task.cancel()

    async def call(
        self,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        servers: Sequence[schema.Server],
    ) -> CallResult:
        """Run a call at most once.

        Args:
            call: The call; its request identifier is unique.
            headers: Headers to pass on.
            body: Body to pass on.
            servers: Servers to try, the best first; the next one only if nothing was sent.

        Returns:
            What became of it.
        """
        finished: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        pending = _PendingCall(headers, body, tuple(servers), finished)
        self._pending_by_request[call.request_id] = pending
        self._carry_out(self.table.begin(call, _now(), self._wall_clock()))
        return await finished

    async def _follow_log(self) -> None:
        offset = 0
        # No waiting for news before the end was reached once: calls are refused until then.
        wait_seconds = 0.0
        while True:
            page = await self._log.read(
                records.STREAM, offset, PAGE_RECORDS, wait_seconds, CALL_SECONDS
            )
            if isinstance(page, result.Err):
                logs.warning("claims_read_failed", reason=page.err_value.reason)
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.0))
                continue
            for record in page.ok_value.records:
                self._take_record(record)
            offset = page.ok_value.next_offset
            if len(page.ok_value.records) < PAGE_RECORDS:
                self.table.on_end_reached()
                wait_seconds = POLL_SECONDS

    def _take_record(self, record: log_client.LogRecord) -> None:
        found = self.table.on_record(record.offset, record.appended_at, record.value, _now())
        self._carry_out(found)

    async def _keep_time(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._carry_out(self.table.tick(_now()))

    def _carry_out(self, found: list[effects.Effect]) -> None:
        for effect in found:
            self._perform(effect)

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_append(self, effect: effects.Append) -> None:
        self._start(self._append(effect))

    @_perform.register
    def _perform_send(self, effect: effects.Send) -> None:
        self._start(self._send(effect))

    @_perform.register
    def _perform_finish(self, effect: effects.Finish) -> None:
        pending = self._pending_by_request.pop(effect.request_id, None)
        if pending is not None and not pending.finished.done():
            pending.finished.set_result(CallResult(effect.outcome, effect.response))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _append(self, effect: effects.Append) -> None:
        answer = await self._log.append(records.STREAM, effect.records, APPEND_SECONDS)
        operation_id = effect.operation_id
        if isinstance(answer, result.Ok):
            found = self.table.on_append_done(operation_id, _now())
        elif isinstance(answer.err_value, exchange.NotExecuted):
            retry_after = answer.err_value.retry_after_seconds or 0.0
            found = self.table.on_append_not_done(operation_id, _now(), retry_after)
        else:
            logs.warning("claims_append_unknown", reason=answer.err_value.reason)
            found = self.table.on_append_unknown(operation_id, _now())
        self._carry_out(found)

    async def _send(self, effect: effects.Send) -> None:
        """Send a call to the first server that can be reached."""
        pending = self._pending_by_request.get(effect.call.request_id)
        servers = () if pending is None else pending.servers
        reason = outcomes.Reason.NO_SERVER
        for server in servers:
            assert pending is not None
            # Nothing may be awaited between this check and the call.
            if not self.table.try_mark_sent(effect.claim_id, _now()):
                reason = outcomes.Reason.DEADLINE
                break
            answer = await self._send_to(server, effect.call, pending)
            if isinstance(answer, result.Err) and isinstance(
                answer.err_value, plain_client.NotSent
            ):
                self.table.on_not_sent(effect.claim_id)
                reason = outcomes.Reason.BACKEND_UNREACHABLE
                continue
            recorded = _to_record(answer)
            self._carry_out(self.table.on_response(effect.claim_id, recorded, _now()))
            return
        self._carry_out(self.table.withdraw(effect.claim_id, reason, _now()))

    async def _send_to(
        self, server: schema.Server, call: requests.ServiceCall, pending: _PendingCall
    ) -> result.Result[plain_client.PlainAnswer, plain_client.PlainError]:
        """Send a call to one server, on a connection that carried nothing before."""
        timeout = max(0.0, call.deadline - _now())
        return await self._plain.call(
            server.address,
            call.method,
            call.path,
            pending.headers,
            pending.body,
            timeout,
            fresh_connection=True,
        )


def _to_record(
    answer: result.Result[plain_client.PlainAnswer, plain_client.PlainError],
) -> records.Response | None:
    """Return the form in which an answer is recorded."""
    if isinstance(answer, result.Err):
        return None
    plain = answer.ok_value
    types = [value for name, value in plain.headers if name.lower() == "content-type"]
    return records.Response(plain.status, types[0] if types else "", plain.body)


def _now() -> float:
    return asyncio.get_running_loop().time()

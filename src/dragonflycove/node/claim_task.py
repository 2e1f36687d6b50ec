"""Task that sends non-idempotent calls under claims that nodes append to the log."""

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

MAX_PAGE_RECORDS = 500
"""Maximum number of records per read of the log."""

LONG_POLL_SECONDS = 2.0
"""Time for which the log may delay the response to a read while it has no new records."""

READ_TIMEOUT_SECONDS = 5.0
"""Timeout of one read of the log."""

APPEND_TIMEOUT_SECONDS = 2.0
"""Timeout of one append to the log."""

MAX_RETRY_DELAY_SECONDS = 0.5
"""Maximum delay before a failed read of the log is retried; the delay is random from half of it."""

TICK_INTERVAL_SECONDS = 0.05
"""Interval at which the claim table is checked for calls that are past their time limits."""

DEFAULT_APPENDS_PER_SECOND = 20.0
"""Initial share of the log's append rate, for a node in a group of a few nodes."""

DEFAULT_LIMITS = claim_limits.ClaimLimits(
    key_validity=keys.KeyValidity(lifetime_seconds=600.0, future_seconds=60.0),
    retention_seconds=900.0,
    claim_seconds=5.0,
    outcome_seconds=60.0,
    keys_limit=500_000,
)
"""Limits that need a log that retains records for at least 15 minutes."""


class CallResult(NamedTuple):
    """Result of a non-idempotent call."""

    outcome: outcomes.Outcome
    """Whether the call was executed, refused or failed, and why."""

    response: records.Response | None
    """The plain service's response; `None` if none was recorded."""


class _PendingCall(NamedTuple):
    """A call whose result is not known yet."""

    headers: tuple[tuple[str, str], ...]
    body: bytes
    servers: tuple[schema.Server, ...]
    finished: asyncio.Future[CallResult]


class ClaimTask:
    """Executes non-idempotent calls, at most once per idempotency key over all nodes."""

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
            identity: Identity of this node.
            rng: Generator for claim identifiers and retry delays.
            limits: Limits of the claim protocol.
            appends_per_second: Initial share of this node of the log's append rate.
            wall_clock: Returns Unix time in seconds, to compare with the times in the keys.
        """
        self.table = claim_table.ClaimTable.from_config(limits, identity, appends_per_second, rng)
        """Claims of all nodes, as read from the log, and this node's calls."""
        self._log = log
        self._plain_client = plain
        self._rng = rng
        self._wall_clock = wall_clock
        self._pending_by_request: dict[str, _PendingCall] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Follow the log and check the time limits of calls until cancelled."""
        try:
            await asyncio.gather(self._follow_log(), self._tick_regularly())
        finally:
            for task in self._background_tasks:
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
            headers: Headers to forward.
            body: Body to forward.
            servers: Servers in order of preference. The next one is tried only if nothing was sent
                to the previous one.

        Returns:
            The outcome and the response, if any.
        """
        finished: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        pending = _PendingCall(headers, body, tuple(servers), finished)
        self._pending_by_request[call.request_id] = pending
        self._carry_out(self.table.begin(call, _now(), self._wall_clock()))
        return await finished

    async def _follow_log(self) -> None:
        offset = 0
        # No long polling until the end was reached once, because calls are refused until then.
        wait_seconds = 0.0
        while True:
            page = await self._log.read(
                records.STREAM, offset, MAX_PAGE_RECORDS, wait_seconds, READ_TIMEOUT_SECONDS
            )
            if isinstance(page, result.Err):
                logs.warning("claims_read_failed", reason=page.err_value.reason)
                await asyncio.sleep(MAX_RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.0))
                continue
            for record in page.ok_value.records:
                self._process_record(record)
            offset = page.ok_value.next_offset
            if len(page.ok_value.records) < MAX_PAGE_RECORDS:
                self.table.on_end_reached()
                wait_seconds = LONG_POLL_SECONDS

    def _process_record(self, record: log_client.LogRecord) -> None:
        new_effects = self.table.on_record(record.offset, record.appended_at, record.value, _now())
        self._carry_out(new_effects)

    async def _tick_regularly(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self._carry_out(self.table.tick(_now()))

    def _carry_out(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            self._perform(effect)

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_append(self, effect: effects.Append) -> None:
        self._start_background(self._append(effect))

    @_perform.register
    def _perform_send(self, effect: effects.Send) -> None:
        self._start_background(self._send(effect))

    @_perform.register
    def _perform_finish(self, effect: effects.Finish) -> None:
        pending = self._pending_by_request.pop(effect.request_id, None)
        if pending is not None and not pending.finished.done():
            pending.finished.set_result(CallResult(effect.outcome, effect.response))

    def _start_background(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _append(self, effect: effects.Append) -> None:
        response = await self._log.append(records.STREAM, effect.records, APPEND_TIMEOUT_SECONDS)
        operation_id = effect.operation_id
        if isinstance(response, result.Ok):
            new_effects = self.table.on_append_done(operation_id, _now())
        elif isinstance(response.err_value, exchange.NotExecuted):
            retry_after = response.err_value.retry_after_seconds or 0.0
            new_effects = self.table.on_append_not_done(operation_id, _now(), retry_after)
        else:
            logs.warning("claims_append_unknown", reason=response.err_value.reason)
            new_effects = self.table.on_append_unknown(operation_id, _now())
        self._carry_out(new_effects)

    async def _send(self, effect: effects.Send) -> None:
        """Send a call to the first reachable server; withdraw its claim if none is reachable."""
        pending = self._pending_by_request.get(effect.call.request_id)
        servers = () if pending is None else pending.servers
        reason = outcomes.Reason.NO_SERVER
        for server in servers:
            assert pending is not None
            # There must be no `await` between this check and the call.
            if not self.table.try_mark_sent(effect.claim_id, _now()):
                reason = outcomes.Reason.DEADLINE
                break
            response = await self._send_to(server, effect.call, pending)
            if isinstance(response, result.Err) and isinstance(
                response.err_value, plain_client.NotSent
            ):
                self.table.on_not_sent(effect.claim_id)
                reason = outcomes.Reason.BACKEND_UNREACHABLE
                continue
            recorded = _to_record(response)
            self._carry_out(self.table.on_response(effect.claim_id, recorded, _now()))
            return
        self._carry_out(self.table.withdraw(effect.claim_id, reason, _now()))

    async def _send_to(
        self, server: schema.Server, call: requests.ServiceCall, pending: _PendingCall
    ) -> result.Result[plain_client.PlainResponse, plain_client.PlainError]:
        """Send a call to one server, on a connection that has carried no other call."""
        timeout = max(0.0, call.deadline - _now())
        return await self._plain_client.call(
            server.address,
            call.method,
            call.path,
            pending.headers,
            pending.body,
            timeout,
            fresh_connection=True,
        )


def _to_record(
    response: result.Result[plain_client.PlainResponse, plain_client.PlainError],
) -> records.Response | None:
    """Return the record of a response; `None` if there was no response."""
    if isinstance(response, result.Err):
        return None
    plain = response.ok_value
    types = [value for name, value in plain.headers if name.lower() == "content-type"]
    return records.Response(plain.status, types[0] if types else "", plain.body)


def _now() -> float:
    return asyncio.get_running_loop().time()

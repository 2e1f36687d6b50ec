"""Notices backend servers that end while they run a request, and refuses what crashes servers.

A server that closes its connections is probed at once. One that falls silent, or whose caller left
first, is probed beside the request's next attempt. An attempt without a complete response at a
server that accepts connections is kept in mind for a while: if the server's record then lapses or
states another start, the server had ended.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import forwarding, server_health
from dragonflycove.quarantine import blamed_parts, crash_counts
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.fleet import catalog, store_view
    from dragonflycove.gateway import connection_pool, crash_exchange, request_context, send_values

SILENCE_SECONDS = 0.5
"""Time without a byte from a server after which it is probed when the caller leaves."""

SUSPICION_SECONDS = 8.0
"""Time for which an attempt without a complete response is kept in mind.

A record lapses after three heartbeats of silence, some 3.6 s, and is read up to 1.5 s later.
"""

CHECK_INTERVAL_SECONDS = 0.5
"""Interval at which the servers of such attempts are looked up in the store's records."""

MAX_UNANSWERED = 2_000
"""Attempts kept in mind at once; the oldest are forgotten."""


class WatchedAttempt:
    """One attempt at a server, as far as it matters if the server ends."""

    def __init__(
        self, server: catalog.BackendServer, context: request_context.RequestContext
    ) -> None:
        """Create an attempt that has sent nothing yet.

        Args:
            server: The server.
            context: The request.
        """
        self.server = server
        """The server."""
        self.context = context
        """The request."""
        self.sent_at: float | None = None
        """Loop time at which the request was sent; None before."""

    def mark_sent(self) -> None:
        """Record that the request was sent."""
        self.sent_at = asyncio.get_running_loop().time()


class _Unanswered(NamedTuple):
    """An attempt that ended without a complete response at a server that may have ended."""

    attempt: WatchedAttempt
    end: str
    until: float


class CrashWatch:
    """Finds out whether servers have ended that gave no complete response."""

    def __init__(
        self,
        counts: crash_counts.CrashCounts,
        exchange: crash_exchange.CrashExchange,
        pool: connection_pool.ConnectionPool,
        view: store_view.StoreView,
        may_try: Callable[[float], bool] = lambda _: False,
        reaches: Callable[[str, float], Awaitable[bool]] | None = None,
    ) -> None:
        """Create a watch.

        Args:
            counts: Servers that requests have crashed.
            exchange: Reports crashes to the other nodes.
            pool: Connections to servers.
            view: Servers as this node knows them.
            may_try: Returns whether this node lets requests with blamed parts through from time to
                time, at a loop time.
            reaches: Finds out whether this node reaches any server, after one of a service was
                lost at a loop time; None if it always counts as doing so.
        """
        self._reaches = reaches
        self._may_try = may_try
        self._counts = counts
        self._blamed_parts = blamed_parts.BlamedParts(counts)
        self._logged_blame: frozenset[frozenset[int]] = frozenset()
        self._exchange = exchange
        self._pool = pool
        self._store_view = view
        self._unanswered: list[_Unanswered] = []
        self._probe_tasks: set[asyncio.Task[bool]] = set()

    async def run(self) -> None:
        """Look up the servers of unanswered attempts at intervals; runs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._check_records()
            self._check_survivals()
            self._log_blame()

    def _log_blame(self) -> None:
        """Log the parts that are blamed, when they have changed."""
        found = self._blamed_parts.found(asyncio.get_running_loop().time())
        blamed = frozenset(one.parts for one in found)
        if blamed != self._logged_blame:
            self._logged_blame = blamed
            texts = sorted("+".join(str(part) for part in sorted(parts)) for parts in blamed)
            logs.event("parts_blamed", parts=",".join(texts))

    def refusal_seconds(self, context: request_context.RequestContext) -> float | None:
        """Return for how long a request is refused because it crashes servers; None if it isn't.

        Args:
            context: The request.
        """
        now = asyncio.get_running_loop().time()
        seconds = self._counts.refusal_seconds(context.fingerprint, now)
        if seconds is not None:
            return seconds
        if not context.part_fingerprints or not self._blamed_parts.found(now):
            return None
        request = blamed_parts.PartRequest(context.request.attempt_id, context.part_fingerprints)
        return self._blamed_parts.refusal_seconds(request, now, may_try=self._may_try(now))

    def log_refusal(self, context: request_context.RequestContext) -> None:
        """Log that a request is refused because it crashes servers.

        Args:
            context: The request.
        """
        now = asyncio.get_running_loop().time()
        logs.event(
            "crasher_refused",
            request=context.request.attempt_id,
            fingerprint=context.fingerprint_text,
            lost=self._counts.crash_count(context.fingerprint, now),
            blamed=",".join(self._blamed_ids(context, now)),
        )

    def _blamed_ids(self, context: request_context.RequestContext, now: float) -> list[str]:
        """Return the ids of the parts of a request for which it is refused."""
        own = frozenset(context.part_fingerprints)
        blamed = {
            part for one in self._blamed_parts.found(now) if one.parts <= own for part in one.parts
        }
        return [
            part_id
            for part_id, part in zip(
                context.request.shared_parts, context.part_fingerprints, strict=True
            )
            if part in blamed
        ]

    def on_answered(self, context: request_context.RequestContext) -> None:
        """Clear a request of crashes, after a server has responded completely and with success.

        Args:
            context: The request.
        """
        now = asyncio.get_running_loop().time()
        cleared = [
            answer
            for answer in (
                crash_counts.Answer(fingerprint, now)
                for fingerprint in (context.fingerprint, *context.part_fingerprints)
            )
            if self._counts.add_answer(answer, now)
        ]
        if cleared:
            logs.event(
                "suspect_cleared", fingerprint=context.fingerprint_text, cleared=len(cleared)
            )
            self._exchange.report_answers(cleared)

    async def classify_end(
        self, attempt: WatchedAttempt, outcome: send_values.AttemptResult
    ) -> forwarding.AttemptEnd:
        """Return the end of an attempt; probes a server without a complete response.

        If the server closed the connection and accepts no other, the attempt doesn't count towards
        the route's limit, and the server counts as crashed by the request.

        Args:
            attempt: The attempt.
            outcome: How it ended, as seen on its connection.
        """
        end = outcome.end
        if end is forwarding.AttemptEnd.TIMEOUT:
            # The probe of a silent server takes its timeout, for which the request need not wait.
            self._probe_later(attempt, end.value)
            return end
        is_closed = end is forwarding.AttemptEnd.STALE or (
            end is forwarding.AttemptEnd.BROKEN
            and outcome.server_outcome is server_health.Outcome.BROKEN
        )
        if not is_closed or await self._is_reachable(attempt, end.value):
            return end
        return forwarding.AttemptEnd.SERVER_UNREACHABLE

    async def _is_reachable(self, attempt: WatchedAttempt, end: str) -> bool:
        """Whether a server accepts connections after an attempt; if not, it counts as crashed.

        It counts as reachable while this node reaches no server at all.
        """
        probed_at = asyncio.get_running_loop().time()
        if await self._pool.is_reachable(attempt.server.address):
            self._keep_in_mind(attempt, end)
            return True
        if self._reaches is not None and not await self._reaches(attempt.server.service, probed_at):
            # This node is cut off; whether the server has ended shows in its record.
            self._keep_in_mind(attempt, end)
            return True
        self._pool.discard(attempt.server.address)
        self._on_crash(attempt, end)
        return False

    def _probe_later(self, attempt: WatchedAttempt, end: str) -> None:
        """Find out in the background whether a server that fell silent accepts connections."""
        task = asyncio.ensure_future(self._is_reachable(attempt, end))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    def on_caller_gone(self, attempt: WatchedAttempt, last_event_at: float) -> None:
        """Watch a server whose response the caller did not wait for.

        Args:
            attempt: The attempt.
            last_event_at: Loop time of the last event from the server; -inf if there was none.
        """
        if attempt.sent_at is None:
            return
        silent_since = max(attempt.sent_at, last_event_at)
        if asyncio.get_running_loop().time() - silent_since >= SILENCE_SECONDS:
            self._probe_later(attempt, "caller_gone")
        else:
            self._keep_in_mind(attempt, "caller_gone")

    def _keep_in_mind(self, attempt: WatchedAttempt, end: str) -> None:
        until = asyncio.get_running_loop().time() + SUSPICION_SECONDS
        self._unanswered.append(_Unanswered(attempt, end, until))
        del self._unanswered[:-MAX_UNANSWERED]

    def _check_records(self) -> None:
        """Count the crashes of servers whose record has lapsed or states another start."""
        now = asyncio.get_running_loop().time()
        undecided = []
        for unanswered in self._unanswered:
            if self._store_view.has_crashed(unanswered.attempt.server.instance, now):
                self._on_crash(unanswered.attempt, unanswered.end)
            elif now < unanswered.until:
                undecided.append(unanswered)
        self._unanswered = undecided

    def _check_survivals(self) -> None:
        """Report servers that have written their record after they were noticed as lost."""
        now = asyncio.get_running_loop().time()
        for crash in self._counts.counted_crashes(1, now):
            alive_at = self._store_view.alive_at(crash.instance)
            # A server whose record states no start may have started again.
            if alive_at < crash.at or not crash.instance.started_at_ms:
                continue
            survival = crash_counts.Survival(crash.instance, alive_at)
            if self._counts.add_survival(survival):
                logs.event("server_survived", server=crash.instance.server_id)
                self._exchange.report_survival(survival)

    def _on_crash(self, attempt: WatchedAttempt, end: str) -> None:
        now = asyncio.get_running_loop().time()
        context = attempt.context
        instance = attempt.server.instance
        sent_at = now if attempt.sent_at is None else attempt.sent_at
        fingerprints = (context.fingerprint, *context.part_fingerprints)
        while any(
            self._counts.has_crashed_before(one, instance, sent_at, now) for one in fingerprints
        ):
            # The server has started again under its id, and its new record has not arrived yet. Any
            # number that tells the start from the known ones will do.
            instance = instance._replace(started_at_ms=instance.started_at_ms + 1)
        crashes = [
            crash
            for crash in (crash_counts.Crash(one, instance, now) for one in fingerprints)
            if self._counts.add(crash, now)
        ]
        if not crashes:
            return
        logs.event(
            "server_lost",
            request=context.request.attempt_id,
            fingerprint=context.fingerprint_text,
            server=instance.server_id,
            born=instance.started_at_ms,
            end=end,
            parts=context.parts_text,
            lost=self._counts.crash_count(context.fingerprint, now),
        )
        self._exchange.report_crashes(crashes)

"""A node's view of each model engine's load: the last report plus work dispatched since."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.configuration import schema

PRIORITIES = 2
"""Number of priorities at an engine, which prefills priority 0 before 1."""

TRANSIT_SECONDS = 0.01
"""Time after its dispatch from which a request is assumed to be included in load reports."""

PENDING_LIMIT = 256
"""Maximum items of pending work kept for one engine; the oldest is dropped first."""


class LoadReport(NamedTuple):
    """One load report of a model engine."""

    server_id: str
    """Identifier of the engine."""
    age_seconds: float
    """Time since the engine measured its load."""
    start_id: str
    """Identifier of the engine's process start; changes with a restart."""
    running: int
    """Number of requests that the engine runs."""
    waiting: int
    """Number of requests queued in the engine."""
    waiting_prefill_tokens: tuple[int, int]
    """Prompt tokens of queued requests still to prefill, by priority."""
    running_prefill_tokens: tuple[int, int]
    """Prompt tokens of running requests still to prefill, by priority."""
    memory_used_tokens: int
    """KV cache in use, tokens."""
    memory_tokens: int
    """KV cache size, tokens."""
    finished_since_start: int
    """Requests finished since the engine started."""
    models: tuple[str, ...]
    """Names of the loaded models."""


class PendingWork(NamedTuple):
    """Work dispatched to an engine that no load report includes yet."""

    sent_at: float
    """Loop time of the dispatch, or at which a peer made its digest, seconds."""
    request_id: str
    """Identifier of the request; empty for the sum of a peer's work."""
    prefill_tokens: tuple[int, int]
    """Prompt tokens to prefill, by priority."""
    memory_tokens: int
    """KV cache that it will take, tokens."""
    requests: int
    """Number of requests."""


class EngineLoadView:
    """View of one engine's load: its last report and the work dispatched since."""

    __slots__ = (
        "blocked_until",
        "in_flight",
        "in_flight_limit",
        "measured_at",
        "reported_memory_tokens",
        "peer_work_by_host",
        "pending",
        "pending_memory_tokens",
        "pending_requests",
        "pending_prefill_tokens",
        "prefill_tokens_per_second",
        "reported_prefill_tokens",
        "reported_requests",
        "server",
        "start_id",
    )

    def __init__(self, server: schema.Server, limit: int) -> None:
        """Create the view of an engine that has not reported yet.

        Args:
            server: The engine.
            limit: Maximum number of requests that this node may have in flight there.
        """
        self.server = server
        """The engine as configured."""
        self.in_flight_limit = limit
        """Maximum number of requests that this node may have in flight there."""
        self.prefill_tokens_per_second = max(1.0, server.prefill_tokens_per_second)
        """Configured prefill rate; at least 1, because it is a divisor."""
        self.in_flight = 0
        """Number of requests that this node has in flight there."""
        self.blocked_until = 0.0
        """Loop time until which the engine gets no new work from this node, seconds."""
        self.measured_at = float("-inf")
        """Loop time at which the last report was measured, seconds; -inf before the first."""
        self.start_id = ""
        """Identifier of the engine's process start in the last report; empty before the first."""
        self.reported_requests = 0
        """Number of running and queued requests in the last report."""
        self.reported_memory_tokens = 0
        """KV cache in use in the last report, tokens."""
        self.reported_prefill_tokens = [0.0] * PRIORITIES
        """Prompt tokens still to prefill in the last report, by priority."""
        self.pending: deque[PendingWork] = deque()
        """This node's work that the last report does not include, the oldest first."""
        self.peer_work_by_host: dict[str, PendingWork] = {}
        """Each peer's work that the last report does not include."""
        self.pending_prefill_tokens = [0] * PRIORITIES
        """Prompt tokens to prefill of all pending work, peers' included, by priority."""
        self.pending_memory_tokens = 0
        """KV cache of all pending work, peers' included, tokens."""
        self.pending_requests = 0
        """Number of requests of all pending work, peers' included."""

    def on_report(self, report: LoadReport, now: float) -> None:
        """Apply a report and drop the work that it includes; an older report changes nothing.

        Args:
            report: The report.
            now: Loop time, seconds.
        """
        measured_at = now - report.age_seconds
        if measured_at < self.measured_at:
            return
        self.measured_at = measured_at
        self.start_id = report.start_id
        self.reported_requests = report.running + report.waiting
        self.reported_memory_tokens = report.memory_used_tokens
        for priority in range(PRIORITIES):
            self.reported_prefill_tokens[priority] = (
                report.waiting_prefill_tokens[priority] + report.running_prefill_tokens[priority]
            )
        while self.pending and self.pending[0].sent_at + TRANSIT_SECONDS <= measured_at:
            self._subtract_from_totals(self.pending.popleft())
        if self.peer_work_by_host:
            self._drop_peer_work(measured_at - TRANSIT_SECONDS)

    def add(self, work: PendingWork) -> None:
        """Count work dispatched to the engine, unless the last report already includes it.

        Args:
            work: The work, dispatched no earlier than any that was added before.
        """
        if work.sent_at + TRANSIT_SECONDS <= self.measured_at:
            return
        self.pending.append(work)
        self._add_to_totals(work)
        if len(self.pending) > PENDING_LIMIT:
            self._subtract_from_totals(self.pending.popleft())

    def set_peer_work(self, host: str, work: PendingWork | None) -> None:
        """Replace a peer's pending work on the engine.

        Args:
            host: Name of the peer's host.
            work: The sum of its pending work; `None` if it has none.
        """
        previous = self.peer_work_by_host.pop(host, None)
        if previous is not None:
            self._subtract_from_totals(previous)
        if work is not None and work.sent_at + TRANSIT_SECONDS > self.measured_at:
            self.peer_work_by_host[host] = work
            self._add_to_totals(work)

    def _drop_peer_work(self, until: float) -> None:
        """Drop peers' work that was sent no later than a loop time, seconds."""
        for host in [
            host for host, work in self.peer_work_by_host.items() if work.sent_at <= until
        ]:
            self._subtract_from_totals(self.peer_work_by_host.pop(host))

    def on_prefill_done(self, request_id: str) -> None:
        """Remove a request's prompt from the pending prefill; its KV cache stays pending.

        Args:
            request_id: Identifier of the request.
        """
        for index, work in enumerate(self.pending):
            if work.request_id == request_id:
                self._subtract_from_totals(work)
                self.pending[index] = work._replace(prefill_tokens=(0, 0))
                self._add_to_totals(self.pending[index])
                return

    def remove(self, request_id: str) -> None:
        """Remove the pending work of a request that has ended.

        Args:
            request_id: Identifier of the request.
        """
        for index, work in enumerate(self.pending):
            if work.request_id == request_id:
                del self.pending[index]
                self._subtract_from_totals(work)
                return

    def _add_to_totals(self, work: PendingWork) -> None:
        for priority in range(PRIORITIES):
            self.pending_prefill_tokens[priority] += work.prefill_tokens[priority]
        self.pending_memory_tokens += work.memory_tokens
        self.pending_requests += work.requests

    def _subtract_from_totals(self, work: PendingWork) -> None:
        for priority in range(PRIORITIES):
            self.pending_prefill_tokens[priority] -= work.prefill_tokens[priority]
        self.pending_memory_tokens -= work.memory_tokens
        self.pending_requests -= work.requests

    def backlog_seconds(self, now: float) -> tuple[float, float]:
        """Estimate how long the engine needs to prefill the prompts that it has.

        Args:
            now: Loop time, seconds.

        Returns:
            Seconds for the prompts of the higher priority, and for those of both priorities.
        """
        higher, lower = self.reported_prefill_tokens
        if higher or lower:
            prefilled = self.prefill_tokens_per_second * (now - self.measured_at)
            both = higher + lower - prefilled
            higher = higher - prefilled if higher > prefilled else 0.0
            both = both if both > 0.0 else 0.0
        else:
            both = 0.0
        pending_higher, pending_lower = self.pending_prefill_tokens
        return (
            (higher + pending_higher) / self.prefill_tokens_per_second,
            (both + pending_higher + pending_lower) / self.prefill_tokens_per_second,
        )

    def has_free_slot(self, now: float) -> bool:
        """Return whether this node may have one more request in flight there.

        Args:
            now: Loop time, seconds.

        Returns:
            False also while the engine is blocked.
        """
        return self.in_flight < self.in_flight_limit and self.blocked_until <= now

    def free_memory_tokens(self) -> int:
        """Return the estimated free KV cache, tokens; negative if overcommitted."""
        return self.server.memory_tokens - self.reported_memory_tokens - self.pending_memory_tokens


class LoadView:
    """Load views of all engines of the configuration."""

    def __init__(self) -> None:
        """Create a view of no engines."""
        self.loads_by_id: dict[str, EngineLoadView] = {}
        """Load view of each engine by its identifier."""

    def set_servers(self, servers: Iterable[schema.Server]) -> None:
        """Replace the set of engines; engines whose address is unchanged keep their load.

        Args:
            servers: The engines.
        """
        previous = self.loads_by_id
        self.loads_by_id = {}
        for server in servers:
            load = previous.get(server.server_id)
            if load is None or load.server.address != server.address:
                load = EngineLoadView(server, server.concurrency)
            load.server = server
            load.prefill_tokens_per_second = max(1.0, server.prefill_tokens_per_second)
            self.loads_by_id[server.server_id] = load

"""What one node believes about the load of each model engine."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.configuration import schema

PRIORITIES = 2
"""Number of engine priorities; 0 goes before 1."""

TRANSIT_SECONDS = 0.01
"""Time after which a dispatch is taken to have reached the engine."""

PENDING_LIMIT = 256
"""Most dispatches remembered for one engine; the oldest are forgotten first."""


class LoadReport(NamedTuple):
    """One load report of a model engine."""

    server_id: str
    """Identifier of the engine."""
    age_seconds: float
    """Time since the engine measured it."""
    start_id: str
    """Identifier of this start of the engine."""
    running: int
    """Requests that run."""
    waiting: int
    """Requests that wait in the engine."""
    waiting_prefill_tokens: tuple[int, int]
    """Prompt tokens of waiting requests still to be read, by priority."""
    running_prefill_tokens: tuple[int, int]
    """Prompt tokens of running requests still to be read, by priority."""
    memory_used_tokens: int
    """KV memory in use, tokens."""
    memory_tokens: int
    """KV memory, tokens."""
    finished_since_start: int
    """Requests finished since the engine started."""
    models: tuple[str, ...]
    """Names of the models that are loaded."""


class PendingWork(NamedTuple):
    """Work sent to an engine that no report has shown yet."""

    sent_at: float
    """Time of sending, seconds."""
    request_id: str
    """The request; empty for the sum of a peer's work."""
    prefill_tokens: tuple[int, int]
    """Prompt tokens to read, by priority."""
    memory_tokens: int
    """KV memory that it will take."""
    requests: int
    """Number of requests."""


class EngineLoadView:
    """Belief about one engine: its last report and what was sent since."""

    __slots__ = (
        "blocked_until",
        "in_flight",
        "in_flight_limit",
        "measured_at",
        "reported_memory_tokens",
        "peer_work_by_node",
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
        """Create the belief about an engine that has not reported yet.

        Args:
            server: The engine.
            limit: Most requests that this node may have running there.
        """
        self.server = server
        self.in_flight_limit = limit
        self.prefill_tokens_per_second = max(1.0, server.prefill_tokens_per_second)
        self.in_flight = 0
        self.blocked_until = 0.0
        self.measured_at = float("-inf")
        self.start_id = ""
        self.reported_requests = 0
        self.reported_memory_tokens = 0
        self.reported_prefill_tokens = [0.0] * PRIORITIES
        self.pending: deque[PendingWork] = deque()
        self.peer_work_by_node: dict[str, PendingWork] = {}
        self.pending_prefill_tokens = [0] * PRIORITIES
        self.pending_memory_tokens = 0
        self.pending_requests = 0

    def on_report(self, report: LoadReport, now: float) -> None:
        """Take in a report; one older than the last changes nothing.

        Args:
            report: The report.
            now: Time, seconds.
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
        if self.peer_work_by_node:
            self._drop_peer_work(measured_at - TRANSIT_SECONDS)

    def add(self, work: PendingWork) -> None:
        """Count work that was sent to the engine.

        Args:
            work: The work, no older than what was counted before.
        """
        if work.sent_at + TRANSIT_SECONDS <= self.measured_at:
            return
        self.pending.append(work)
        self._add_to_totals(work)
        if len(self.pending) > PENDING_LIMIT:
            self._subtract_from_totals(self.pending.popleft())

    def set_peer_work(self, node: str, work: PendingWork | None) -> None:
        """Replace what a peer says that it has sent.

        Args:
            node: The peer.
            work: What it has sent and no report has shown; `None` for nothing.
        """
        previous = self.peer_work_by_node.pop(node, None)
        if previous is not None:
            self._subtract_from_totals(previous)
        if work is not None and work.sent_at + TRANSIT_SECONDS > self.measured_at:
            self.peer_work_by_node[node] = work
            self._add_to_totals(work)

    def _drop_peer_work(self, until: float) -> None:
        for node in [
            node for node, work in self.peer_work_by_node.items() if work.sent_at <= until
        ]:
            self._subtract_from_totals(self.peer_work_by_node.pop(node))

    def on_prefill_done(self, request_id: str) -> None:
        """Stop counting the prompt of a request of this node; its memory still counts.

        Args:
            request_id: The request.
        """
        for index, work in enumerate(self.pending):
            if work.request_id == request_id:
                self._subtract_from_totals(work)
                self.pending[index] = work._replace(prefill_tokens=(0, 0))
                self._add_to_totals(self.pending[index])
                return

    def remove(self, request_id: str) -> None:
        """Stop counting a request of this node that has ended.

        Args:
            request_id: The request.
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
        """Estimate how long the engine reads the prompts that it has.

        Args:
            now: Time, seconds.

        Returns:
            Seconds for those of the higher priority, and for those of both.
        """
        first, second = self.reported_prefill_tokens
        if first or second:
            prefilled = self.prefill_tokens_per_second * (now - self.measured_at)
            both = first + second - prefilled
            first = first - prefilled if first > prefilled else 0.0
            both = both if both > 0.0 else 0.0
        else:
            both = 0.0
        pending_first, pending_second = self.pending_prefill_tokens
        return (
            (first + pending_first) / self.prefill_tokens_per_second,
            (both + pending_first + pending_second) / self.prefill_tokens_per_second,
        )

    def has_free_slot(self, now: float) -> bool:
        """Tell whether this node may have one more request running there.

        Args:
            now: Time, seconds.

        Returns:
            False also while nothing is to be sent there.
        """
        return self.in_flight < self.in_flight_limit and self.blocked_until <= now

    def free_memory_tokens(self) -> int:
        """Return the KV memory that is believed free, tokens."""
        return self.server.memory_tokens - self.reported_memory_tokens - self.pending_memory_tokens


class LoadView:
    """Belief about every engine of the configuration."""

    def __init__(self) -> None:
        """Create a view of no engines."""
        self.loads_by_id: dict[str, EngineLoadView] = {}

    def set_servers(self, servers: Iterable[schema.Server]) -> None:
        """Replace the set of engines; those that stay keep what is known of them.

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

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


class Pending(NamedTuple):
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


class EngineLoad:
    """Belief about one engine: its last report and what was sent since."""

    __slots__ = (
        "blocked_until",
        "in_flight",
        "limit",
        "measured_at",
        "memory_used",
        "peers",
        "pending",
        "pending_memory",
        "pending_requests",
        "pending_tokens",
        "rate",
        "reported_tokens",
        "running",
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
        self.limit = limit
        self.rate = max(1.0, server.prefill_tokens_per_second)
        self.in_flight = 0
        self.blocked_until = 0.0
        self.measured_at = float("-inf")
        self.start_id = ""
        self.running = 0
        self.memory_used = 0
        self.reported_tokens = [0.0] * PRIORITIES
        self.pending: deque[Pending] = deque()
        self.peers: dict[str, Pending] = {}
        self.pending_tokens = [0] * PRIORITIES
        self.pending_memory = 0
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
        self.running = report.running + report.waiting
        self.memory_used = report.memory_used_tokens
        for priority in range(PRIORITIES):
            self.reported_tokens[priority] = (
                report.waiting_prefill_tokens[priority] + report.running_prefill_tokens[priority]
            )
        while self.pending and self.pending[0].sent_at + TRANSIT_SECONDS <= measured_at:
            self._forget(self.pending.popleft())
        if self.peers:
            self._forget_peers(measured_at - TRANSIT_SECONDS)

    def add(self, work: Pending) -> None:
        """Count work that was sent to the engine.

        Args:
            work: The work, no older than what was counted before.
        """
        if work.sent_at + TRANSIT_SECONDS <= self.measured_at:
            return
        self.pending.append(work)
        self._count(work)
        if len(self.pending) > PENDING_LIMIT:
            self._forget(self.pending.popleft())

    def set_peer(self, node: str, work: Pending | None) -> None:
        """Replace what a peer says that it has sent.

        Args:
            node: The peer.
            work: What it has sent and no report has shown; `None` for nothing.
        """
        previous = self.peers.pop(node, None)
        if previous is not None:
            self._forget(previous)
        if work is not None and work.sent_at + TRANSIT_SECONDS > self.measured_at:
            self.peers[node] = work
            self._count(work)

    def _forget_peers(self, until: float) -> None:
        for node in [node for node, work in self.peers.items() if work.sent_at <= until]:
            self._forget(self.peers.pop(node))

    def prompt_read(self, request_id: str) -> None:
        """Stop counting the prompt of a request of this node; its memory still counts.

        Args:
            request_id: The request.
        """
        for index, work in enumerate(self.pending):
            if work.request_id == request_id:
                self._forget(work)
                self.pending[index] = work._replace(prefill_tokens=(0, 0))
                self._count(self.pending[index])
                return

    def remove(self, request_id: str) -> None:
        """Stop counting a request of this node that has ended.

        Args:
            request_id: The request.
        """
        for index, work in enumerate(self.pending):
            if work.request_id == request_id:
                del self.pending[index]
                self._forget(work)
                return

    def _count(self, work: Pending) -> None:
        for priority in range(PRIORITIES):
            self.pending_tokens[priority] += work.prefill_tokens[priority]
        self.pending_memory += work.memory_tokens
        self.pending_requests += work.requests

    def _forget(self, work: Pending) -> None:
        for priority in range(PRIORITIES):
            self.pending_tokens[priority] -= work.prefill_tokens[priority]
        self.pending_memory -= work.memory_tokens
        self.pending_requests -= work.requests

    def backlog_seconds(self, now: float) -> tuple[float, float]:
        """Estimate how long the engine reads the prompts that it has.

        Args:
            now: Time, seconds.

        Returns:
            Seconds for those of the higher priority, and for those of both.
        """
        first, second = self.reported_tokens
        if first or second:
            drained = self.rate * (now - self.measured_at)
            both = first + second - drained
            first = first - drained if first > drained else 0.0
            both = both if both > 0.0 else 0.0
        else:
            both = 0.0
        pending_first, pending_second = self.pending_tokens
        return (
            (first + pending_first) / self.rate,
            (both + pending_first + pending_second) / self.rate,
        )

    def has_slot(self, now: float) -> bool:
        """Tell whether this node may have one more request running there.

        Args:
            now: Time, seconds.

        Returns:
            False also while nothing is to be sent there.
        """
        return self.in_flight < self.limit and self.blocked_until <= now

    def memory_free(self) -> int:
        """Return the KV memory that is believed free, tokens."""
        return self.server.memory_tokens - self.memory_used - self.pending_memory


class LoadView:
    """Belief about every engine of the configuration."""

    def __init__(self) -> None:
        """Create a view of no engines."""
        self.loads_by_id: dict[str, EngineLoad] = {}

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
                load = EngineLoad(server, server.concurrency)
            load.server = server
            load.rate = max(1.0, server.prefill_tokens_per_second)
            self.loads_by_id[server.server_id] = load

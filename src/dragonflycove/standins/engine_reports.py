"""Reports of the stand-in model engine: its load, with a lag, and its activity for tests."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.standins import engine_streams

SNAPSHOTS_PER_LAG = 20
"""Approximate number of load snapshots within the lag, which is the age of the reported load.

It limits the size of the history.
"""


class Load(NamedTuple):
    """Load of the engine at one time."""

    start_id: str
    """Identifier of the engine's current start; each crash gives a new one."""

    running: int
    """Number of running streams."""

    waiting: int
    """Number of waiting streams."""

    waiting_prefill_tokens: dict[int, int]
    """Remaining prefill tokens of waiting streams, by priority."""

    running_prefill_tokens: dict[int, int]
    """Remaining prefill tokens of running streams, by priority."""

    memory_used_tokens: int
    """KV cache tokens allocated or reserved."""

    memory_tokens: int
    """Total KV cache tokens."""

    finished_since_start: int
    """Number of streams finished since the current start."""

    models: tuple[str, ...]
    """Names of the loaded models, sorted."""


class LoadHistory:
    """Recent loads, from which a report takes the one that is as old as the lag."""

    def __init__(self, lag_seconds: float, first: Load) -> None:
        """Create the history.

        Args:
            lag_seconds: Age of the load that is reported.
            first: Load at start, reported until the lag has passed.
        """
        self._lag_seconds = lag_seconds
        self._snapshots = collections.deque([(float("-inf"), first)])

    def record(self, now: float, load: Load) -> None:
        """Add the current load; replaces the last snapshot if that followed the previous one too soon."""
        interval = self._lag_seconds / SNAPSHOTS_PER_LAG
        if len(self._snapshots) > 1 and now - self._snapshots[-2][0] < interval:
            self._snapshots.pop()
        self._snapshots.append((now, load))
        self._trim(now)

    def as_reported(self, now: float) -> tuple[float, Load]:
        """Return the time that the reported load describes, and that load."""
        self._trim(now)
        return now - self._lag_seconds, self._snapshots[0][1]

    def _trim(self, now: float) -> None:
        """Drop snapshots older than the reported one."""
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self._lag_seconds:
            self._snapshots.popleft()


class AttemptRecord(NamedTuple):
    """Progress of one attempt at this engine."""

    owner: str
    """`host/incarnation` of the last owner."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    prefilled_tokens: int
    """Prompt tokens prefilled by this engine, without cached and imported ones."""

    emitted: int
    """Number of tokens generated, including those before an import."""

    end: str
    """End at this engine: `finished`, `cancelled`, `exported`, `dropped`, `crashed` or empty."""


class Activity:
    """What the engine has done since the stand-in's start; crashes don't reset it."""

    def __init__(self) -> None:
        """Create a record without activity."""
        self._records_by_attempt: dict[str, AttemptRecord] = {}
        self._crashes: list[dict[str, Any]] = []
        self._state_orders: list[dict[str, Any]] = []
        self._rejections_by_status: collections.Counter[str] = collections.Counter()
        self._peak_cold = 0

    def record_stream(self, stream: engine_streams.Stream, end: str = "") -> None:
        """Record a stream's progress and end; a finished stream stays `finished`."""
        submission = stream.submission
        self._records_by_attempt[submission.attempt] = AttemptRecord(
            stream.owner,
            submission.prompt_tokens,
            stream.prefilled,
            stream.emitted,
            "finished" if stream.is_finished else end,
        )

    def record_crash(
        self, now: float, reason: str, streams: Iterable[engine_streams.Stream]
    ) -> None:
        """Record a crash and the streams that were lost in it."""
        attempts = []
        for stream in streams:
            self.record_stream(stream, "crashed")
            attempts.append(stream.submission.attempt)
        self._crashes.append({"at": now, "reason": reason, "attempts": attempts})

    def record_state_order(self, fencing: int, applied: bool) -> None:
        """Record a request to change the engine's state."""
        self._state_orders.append({"fencing": fencing, "applied": applied})

    def record_rejection(self, status: int) -> None:
        """Count a rejected request."""
        self._rejections_by_status[str(status)] += 1

    def record_cold_in_flight(self, in_flight: int) -> None:
        """Record the number of streams in cold start; the maximum is kept."""
        self._peak_cold = max(self._peak_cold, in_flight)

    def to_json(self) -> dict[str, Any]:
        """Return the activity as values for JSON."""
        return {
            "attempts": {
                attempt: record._asdict() for attempt, record in self._records_by_attempt.items()
            },
            "crashes": self._crashes,
            "orders": self._state_orders,
            "rejections_by_status": dict(self._rejections_by_status),
            "peak_cold_in_flight": self._peak_cold,
        }

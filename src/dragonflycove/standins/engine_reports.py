"""What the model engine's stand-in reports of itself: lagged load, and its books."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.standins import engine_streams

SNAPSHOTS_PER_LAG = 20
"""Load snapshots kept within one lag; the load is noted no more often."""


class Load(NamedTuple):
    """Load at one time."""

    start_id: str
    """Identifier of this start."""

    running: int
    """Streams that run."""

    waiting: int
    """Streams that wait."""

    waiting_prefill_tokens: dict[int, int]
    """Prompt tokens of waiting streams still to be read, by priority."""

    running_prefill_tokens: dict[int, int]
    """Prompt tokens of running streams still to be read, by priority."""

    memory_used_tokens: int
    """Memory held, tokens."""

    memory_tokens: int
    """Memory in all, tokens."""

    finished_since_start: int
    """Streams finished since this start."""

    models: tuple[str, ...]
    """Models in force."""


class LoadHistory:
    """Loads of the last while, so that an old one can be shown."""

    def __init__(self, lag_seconds: float, first: Load) -> None:
        """Create the history.

        Args:
            lag_seconds: Age of the load that is shown.
            first: Load at the start.
        """
        self._lag_seconds = lag_seconds
        self._snapshots = collections.deque([(float("-inf"), first)])

    def note(self, now: float, load: Load) -> None:
        """Note the load at a time."""
        interval = self._lag_seconds / SNAPSHOTS_PER_LAG
        if len(self._snapshots) > 1 and now - self._snapshots[-2][0] < interval:
            self._snapshots.pop()
        self._snapshots.append((now, load))
        self._trim(now)

    def as_reported(self, now: float) -> tuple[float, Load]:
        """Return the time at which the shown load was true, and the load."""
        self._trim(now)
        return now - self._lag_seconds, self._snapshots[0][1]

    def _trim(self, now: float) -> None:
        """Drop snapshots older than the one that is shown."""
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - self._lag_seconds:
            self._snapshots.popleft()


class AttemptRecord(NamedTuple):
    """What the engine has done for one attempt."""

    owner: str
    """`host/incarnation` of the last owner."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    prefilled_tokens: int
    """Prompt tokens that this engine has read."""

    emitted: int
    """Tokens generated, those before an import included."""

    end: str
    """How it ended here: `finished`, `cancelled`, `exported`, `crashed`, or empty."""


class Activity:
    """All that the engine has done since the stand-in began, crashes included."""

    def __init__(self) -> None:
        """Create empty books."""
        self._records_by_attempt: dict[str, AttemptRecord] = {}
        self._crashes: list[dict[str, Any]] = []
        self._orders: list[dict[str, Any]] = []
        self._rejections_by_status: collections.Counter[str] = collections.Counter()
        self._peak_cold = 0

    def note_stream(self, stream: engine_streams.Stream, end: str = "") -> None:
        """Note how far a stream has come; a finished one stays finished."""
        submission = stream.submission
        self._records_by_attempt[submission.attempt] = AttemptRecord(
            stream.owner,
            submission.prompt_tokens,
            stream.prefilled,
            stream.emitted,
            "finished" if stream.is_finished else end,
        )

    def note_crash(self, now: float, reason: str, streams: Iterable[engine_streams.Stream]) -> None:
        """Note a crash and the streams that it broke."""
        attempts = []
        for stream in streams:
            self.note_stream(stream, "crashed")
            attempts.append(stream.submission.attempt)
        self._crashes.append({"at": now, "reason": reason, "attempts": attempts})

    def note_order(self, fencing: int, applied: bool) -> None:
        """Note an order to change state."""
        self._orders.append({"fencing": fencing, "applied": applied})

    def note_rejection(self, status: int) -> None:
        """Note a request that was not taken."""
        self._rejections_by_status[str(status)] += 1

    def note_cold(self, in_flight: int) -> None:
        """Note how many streams a cold engine bears."""
        self._peak_cold = max(self._peak_cold, in_flight)

    def to_json(self) -> dict[str, Any]:
        """Return the books as what JSON can hold."""
        return {
            "attempts": {
                attempt: record._asdict() for attempt, record in self._records_by_attempt.items()
            },
            "crashes": self._crashes,
            "orders": self._orders,
            "rejections_by_status": dict(self._rejections_by_status),
            "peak_cold_in_flight": self._peak_cold,
        }

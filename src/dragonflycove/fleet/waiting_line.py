"""Requests that wait for room, in the order in which they get it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import work

if TYPE_CHECKING:
    from dragonflycove.fleet import placer

LEAST_SERVICE_SECONDS = 0.1
"""Time below which a request that still waits can't be answered; a pass and its read take longer."""

MOST_WAITING = 500
"""Requests that wait at once; more than a fleet of a hundred engines clears within a deadline."""


class Placed(NamedTuple):
    """What became of a request that waited."""

    key: work.JobKey
    """The request."""

    decision: work.Grant | work.Refusal
    """Where it goes, or why it goes nowhere."""


class _Waiting(NamedTuple):
    job: work.Job
    since: float
    deadline_at: float


class WaitingLine:
    """The requests that wait at one placer."""

    def __init__(self, deciding: placer.Placer) -> None:
        """Create an empty line.

        Args:
            deciding: Places the requests.
        """
        self._placer = deciding
        self._waiting_by_key: dict[work.JobKey, _Waiting] = {}
        self._grants = 0
        self._grant_seconds = 0.1
        self._last_grant_at = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting_by_key)

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a request, or let it wait.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            Where it goes, why it goes nowhere, or that it waits.
        """
        if job.key in self._waiting_by_key:
            return work.Wait(self._expected_wait())
        decision = self._placer.place(job, now)
        if not isinstance(decision, work.Wait):
            return decision
        expected = self._expected_wait()
        if len(self._waiting_by_key) >= MOST_WAITING:
            return work.Refusal("line_full", expected)
        if expected + LEAST_SERVICE_SECONDS > job.deadline_seconds:
            return work.Refusal("no_room_in_time", expected)
        self._waiting_by_key[job.key] = _Waiting(job, now, now + job.deadline_seconds)
        return work.Wait(expected)

    def _expected_wait(self) -> float:
        """Return the wait of a newcomer, from how fast the line has moved."""
        return (1 + len(self._waiting_by_key)) * self._grant_seconds

    def advance(self, now: float) -> list[Placed]:
        """Place the requests for which there is room now.

        Args:
            now: Loop time.

        Returns:
            The requests that no longer wait.
        """
        placed = []
        for key, waiting in sorted(self._waiting_by_key.items(), key=_rank):
            left = waiting.deadline_at - now
            if left < LEAST_SERVICE_SECONDS:
                decision: work.Grant | work.Refusal = work.Refusal(
                    "no_room_in_time", self._expected_wait()
                )
            else:
                aged = waiting.job._replace(
                    deadline_seconds=left,
                    goal_seconds=max(0.001, waiting.job.goal_seconds - (now - waiting.since)),
                )
                choice = self._placer.place(aged, now)
                if isinstance(choice, work.Wait):
                    continue
                decision = choice
            del self._waiting_by_key[key]
            placed.append(Placed(key, decision))
            if isinstance(decision, work.Grant):
                self._measure_grant(now)
        if not self._waiting_by_key:
            self._last_grant_at = now
        return placed

    def _measure_grant(self, now: float) -> None:
        gap = min(1.0, max(0.0, now - self._last_grant_at))
        self._grant_seconds += 0.2 * (gap - self._grant_seconds)
        self._last_grant_at = now

    def withdraw(self, key: work.JobKey) -> None:
        """Take a request out of the line.

        Args:
            key: The request.
        """
        self._waiting_by_key.pop(key, None)


def _rank(item: tuple[work.JobKey, _Waiting]) -> tuple[int, float]:
    waiting = item[1]
    return waiting.job.priority, waiting.since

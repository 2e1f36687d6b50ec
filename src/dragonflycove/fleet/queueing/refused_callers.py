"""Callers that were refused and are expected to return.

Answers callers that return early or all at once: a returned request is recognised, and its latency
target counts from its first request, so that returning early doesn't make it new.
"""

from __future__ import annotations

import collections
import heapq
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import work

if TYPE_CHECKING:
    from collections.abc import Iterator

DEADLINE_TOLERANCE_SECONDS = 0.1
"""Difference of two deadlines up to which they may be those of one caller's requests."""

MAX_CALLERS = 20_000
"""Maximum number of remembered callers; above it the oldest is forgotten."""


class RefusedCaller(NamedTuple):
    """A caller whose request was refused."""

    service: str
    """Service of its request."""

    first_at: float
    """Loop time of its first request."""

    deadline_at: float
    """Loop time of its deadline."""

    due_at: float
    """Loop time at which it was told to return."""


class RefusedCallers:
    """The refused callers whose deadlines haven't passed."""

    def __init__(self) -> None:
        """Create without callers."""
        self._caller_by_fingerprint: collections.OrderedDict[int, RefusedCaller] = (
            collections.OrderedDict()
        )
        self._due_count_by_service: collections.Counter[str] = collections.Counter()
        self._deadlines: list[tuple[float, int]] = []
        self._due: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of remembered callers."""
        return len(self._caller_by_fingerprint)

    def due_count(self, service: str, now: float) -> int:
        """Return how many callers of a service were told to return later than now.

        Args:
            service: The service.
            now: Loop time.
        """
        self._discard_past_due(now)
        return self._due_count_by_service[service]

    def on_refused(
        self, job: work.Job, first_at: float, retry_after_seconds: float, now: float
    ) -> None:
        """Remember a refused caller.

        Args:
            job: Its request.
            first_at: Loop time of its first request.
            retry_after_seconds: Time after which it was told to return.
            now: Loop time.
        """
        self._forget_until(now)
        self._discard_past_due(now)
        self._forget(job.fingerprint)
        deadline_at = now + job.deadline_seconds
        self._caller_by_fingerprint[job.fingerprint] = RefusedCaller(
            job.service, first_at, deadline_at, now + retry_after_seconds
        )
        self._due_count_by_service[job.service] += 1
        heapq.heappush(self._due, (now + retry_after_seconds, job.service))
        heapq.heappush(self._deadlines, (deadline_at, job.fingerprint))
        if len(self._caller_by_fingerprint) > MAX_CALLERS:
            self._forget(next(iter(self._caller_by_fingerprint)))

    def on_return(self, job: work.Job, now: float) -> RefusedCaller | None:
        """Forget the caller of a new request, if it was refused before.

        Args:
            job: The new request.
            now: Loop time.

        Returns:
            What is known of it; None for a new caller. A caller of equal content with a later
                deadline is a new one.
        """
        self._forget_until(now)
        caller = self._caller_by_fingerprint.get(job.fingerprint)
        if caller is None or caller.service != job.service:
            return None
        if now + job.deadline_seconds > caller.deadline_at + DEADLINE_TOLERANCE_SECONDS:
            return None
        self._forget(job.fingerprint)
        return caller

    def _discard_past_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            self._due_count_by_service[heapq.heappop(self._due)[1]] -= 1

    def _forget_until(self, now: float) -> None:
        for deadline_at, fingerprint in self._passed_deadlines(now):
            caller = self._caller_by_fingerprint.get(fingerprint)
            if caller is not None and caller.deadline_at <= deadline_at:
                self._forget(fingerprint)

    def _passed_deadlines(self, now: float) -> Iterator[tuple[float, int]]:
        while self._deadlines and self._deadlines[0][0] <= now:
            yield heapq.heappop(self._deadlines)

    def _forget(self, fingerprint: int) -> None:
        self._caller_by_fingerprint.pop(fingerprint, None)


def aged_target(job: work.Job, first_at: float, now: float) -> work.Job:
    """Return a request whose latency target counts from its caller's first request.

    Args:
        job: The request, with the target of a new one.
        first_at: Loop time of the caller's first request.
        now: Loop time.
    """
    target = job.latency_target_seconds - (now - first_at)
    return job._replace(latency_target_seconds=max(work.MIN_LATENCY_TARGET_SECONDS, target))

"""Requests that wait for capacity, and the order in which they are placed."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.fleet import engine_forecast, work
from dragonflycove.fleet.queueing import organisation_shares

MAX_MISS_PROBABILITY = 0.5
"""Probability of missing the latency target above which a request counts as missing it."""


class QueuedJob(NamedTuple):
    """A request in the queue."""

    job: work.Job
    """The request."""

    queued_at: float
    """Loop time at which it was queued."""

    expires_at: float
    """Loop time of its deadline, or of its caller's timeout if that is earlier."""

    service_seconds: float
    """Predicted time from its placement to its first event."""

    has_returned: bool = False
    """Whether its caller was refused before and has returned when told."""

    @classmethod
    def from_job(cls, job: work.Job, service_seconds: float, now: float) -> QueuedJob:
        """Queue a request until its deadline, or its caller's timeout if that is earlier.

        Args:
            job: The request.
            service_seconds: Predicted time from its placement to its first event.
            now: Loop time.
        """
        timeout = min(job.deadline_seconds, job.next_event_deadline_seconds)
        return cls(job, now, now + timeout, service_seconds)

    @property
    def must_be_served(self) -> bool:
        """Whether it is served also after its latency target, before those that can be in time.

        An interrupted stream is worse for its caller than one that hasn't started, and a retry-after
        is a promise.
        """
        return self.job.has_started or self.has_returned

    @property
    def is_short(self) -> bool:
        """Whether it has a short target for gaps, as short prompts have."""
        return engine_forecast.has_short_gap_target(self.job)

    def misses_target(self, now: float) -> bool:
        """Whether it would miss its latency target if it were placed now.

        Args:
            now: Loop time.
        """
        return (
            engine_forecast.miss_probability(
                now - self.queued_at + self.service_seconds, self.job.latency_target_seconds
            )
            > MAX_MISS_PROBABILITY
        )

    @property
    def late_at(self) -> float:
        """Loop time from which `misses_target` is true; infinite without a target."""
        target = self.job.latency_target_seconds
        if target <= 0:
            return float("inf")
        return self.queued_at + engine_forecast.MISS_MIDPOINT_SHARE * target - self.service_seconds

    def aged_job(self, now: float) -> work.Job:
        """Return the request with the times that it has left.

        Args:
            now: Loop time.
        """
        job, waited = self.job, now - self.queued_at
        return job._replace(
            deadline_seconds=job.deadline_seconds - waited,
            next_event_deadline_seconds=job.next_event_deadline_seconds - waited,
            latency_target_seconds=max(
                work.MIN_LATENCY_TARGET_SECONDS, job.latency_target_seconds - waited
            ),
        )

    def sort_key(
        self, now: float, share_rank: organisation_shares.Rank = organisation_shares.EQUAL
    ) -> tuple[float, ...]:
        """Return the sort key; the lowest is placed first.

        Args:
            now: Loop time.
            share_rank: Rank of its organisation; the lowest goes first.
        """
        misses_target = self.misses_target(now) and not self.must_be_served
        # Value is ignored after the target, so that no late request starves.
        value = 0.0 if misses_target else self.job.value
        return (
            self.job.priority,
            not self.has_returned,
            share_rank.is_over_share,
            misses_target,
            share_rank.start,
            -value,
            self.queued_at,
        )

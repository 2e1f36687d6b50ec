"""Requests that wait for room, in the order in which they get it.

The load that it answers: for some seconds more requests arrive than the servers have places for, as
when traffic jumps while an availability zone is evacuated. In order of arrival everyone would wait
for the same time, and all first events would come late. Here room goes first to requests that can
still be in time, the worth most first. Those whose time has passed get what is left, and are told to
come back when that is too little.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, work

if TYPE_CHECKING:
    from dragonflycove.fleet import placer

LEAST_SERVICE_SECONDS = 0.1
"""Time below which a request that still waits can't be answered; a pass and its read take longer."""

MOST_WAITING = 500
"""Requests that wait at once; more than a fleet of a hundred engines clears within a deadline."""

LEAST_RETURN_SECONDS = 1.0
"""Shortest time after which a refused caller comes back; a jump of the load lasts for seconds."""

MOST_RETURN_SECONDS = 5.0
"""Longest such time; what the line will be like after that is not known."""

FIRST_GRANT_SECONDS = 0.1
"""Time between two grants assumed until some were seen."""

LONGEST_GRANT_SECONDS = 1.0
"""Longest time between two grants that counts; above it the line stood empty or all servers did."""

GRANT_WEIGHT = 0.2
"""Weight of the newest time in the mean time between grants; about the last ten count."""

LONG_RETRY_SECONDS = 0.1
"""Time between two tries of a long prompt that waits; weighing its splits is the dearest decision."""

LATE_CHANCE = 0.5
"""Chance of being late above which a request no longer counts as one that can be in time."""


class Placed(NamedTuple):
    """What became of a request that waited."""

    key: work.JobKey
    """The request."""

    decision: work.Grant | work.Refusal
    """Where it goes, or why it goes nowhere."""


class QueuedJob(NamedTuple):
    """A request in the line."""

    job: work.Job
    """The request."""

    queued_at: float
    """Loop time at which it began to wait."""

    ends_at: float
    """Loop time at which its deadline is reached or its caller gives up."""

    service_seconds: float
    """Predicted time from its placement to its first event."""

    @property
    def is_short(self) -> bool:
        """Whether one engine reads its prompt between the passes of others."""
        return engine_forecast.is_tight(self.job)

    def is_late(self, now: float) -> bool:
        """Whether its goal would be missed if it were placed now."""
        return (
            engine_forecast.late_chance(
                now - self.queued_at + self.service_seconds, self.job.latency_target_seconds
            )
            > LATE_CHANCE
        )

    def rank(self, now: float) -> tuple[float, ...]:
        """Return the place in the line; the lowest goes first."""
        # A stream that stands still is worse for its caller than one that hasn't begun.
        is_late = self.is_late(now) and not self.job.has_started
        # Among the late ones worth doesn't count, so that none is overtaken for ever.
        worth = 0.0 if is_late else self.job.value
        return self.job.priority, is_late, -worth, self.queued_at


class _Group(NamedTuple):
    """Requests that get places alike; long prompts differ too much from each other."""

    service: str
    is_short: bool
    is_late: bool


_EITHER = (False, True)


class _Pace:
    """How fast requests of one kind leave the line."""

    def __init__(self, now: float) -> None:
        self._seconds = FIRST_GRANT_SECONDS
        self._last_at = now

    def on_grant(self, now: float) -> None:
        """Note that a request was placed."""
        gap = min(LONGEST_GRANT_SECONDS, max(0.0, now - self._last_at))
        self._seconds += GRANT_WEIGHT * (gap - self._seconds)
        self._last_at = now

    def on_empty(self, now: float) -> None:
        """Note that nobody waits; the time until the next one comes says nothing."""
        self._last_at = now

    def wait_seconds(self, place: int, now: float) -> float:
        """Return the expected time until the one at a place in the line, from 1, is placed."""
        # With no grant for some time, the next one is expected after as long again.
        return max(self._seconds, now - self._last_at) + (place - 1) * self._seconds


class PlacementQueue:
    """The requests that wait at one placer."""

    def __init__(self, deciding: placer.Placer) -> None:
        """Create an empty line.

        Args:
            deciding: Places the requests.
        """
        self._placer = deciding
        self._waiting_by_key: dict[work.JobKey, QueuedJob] = {}
        self._next_try_by_key: dict[work.JobKey, float] = {}
        self._pace_by_service: dict[str, _Pace] = {}
        self._late_pace_by_service: dict[str, _Pace] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting_by_key)

    def _sort_key(self, waiting: QueuedJob, now: float) -> tuple[float, ...]:
        """Return a request's place in the line; the lowest goes first."""
        return waiting.rank(now)

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a request, or let it wait.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            Where it goes, why it goes nowhere, or that it waits.
        """
        known = self._waiting_by_key.get(job.key)
        if known is not None:
            return work.Wait(known.service_seconds, is_full=False)
        decision = self._placer.place(job, now)
        if not isinstance(decision, work.Wait):
            return decision
        # Nobody looks at an empty line, so its clocks may stand where it was last left.
        self._forget_paces(now)
        patience = min(job.deadline_seconds, job.next_event_deadline_seconds)
        waiting = QueuedJob(job, now, now + patience, decision.service_seconds)
        expected = self._expected_wait(waiting, now)
        if len(self._waiting_by_key) >= MOST_WAITING:
            return work.Refusal("line_full", self._return_seconds(job.service, now))
        if expected + LEAST_SERVICE_SECONDS > patience:
            return work.Refusal("no_room_in_time", self._return_seconds(job.service, now))
        self._waiting_by_key[job.key] = waiting
        return decision

    def _return_seconds(self, service: str, now: float) -> float:
        """Return when a refused caller should come back: after all who wait now."""
        waiting = sum(1 for one in self._waiting_by_key.values() if one.job.service == service)
        pace = self._pace_by_service.get(service)
        seconds = pace.wait_seconds(1 + waiting, now) if pace else LEAST_RETURN_SECONDS
        return min(MOST_RETURN_SECONDS, max(LEAST_RETURN_SECONDS, seconds))

    def _expected_wait(self, newcomer: QueuedJob, now: float) -> float:
        """Return the wait of a newcomer, from how fast the line has moved."""
        rank = self._sort_key(newcomer, now)
        ahead = sum(
            1
            for waiting in self._waiting_by_key.values()
            if waiting.job.service == newcomer.job.service and self._sort_key(waiting, now) <= rank
        )
        pace = self._pace_by_service.get(newcomer.job.service)
        return pace.wait_seconds(1 + ahead, now) if pace else (1 + ahead) * FIRST_GRANT_SECONDS

    def place_queued(self, now: float) -> list[Placed]:
        """Place the requests for which there is room now.

        Args:
            now: Loop time.

        Returns:
            The requests that no longer wait.
        """
        placed = []
        late_ahead: collections.Counter[str] = collections.Counter()
        full: set[_Group] = set()
        for key, waiting in sorted(
            self._waiting_by_key.items(), key=lambda item: self._sort_key(item[1], now)
        ):
            decision = self._decide(waiting, late_ahead, full, now)
            if decision is None:
                continue
            self.withdraw(key)
            placed.append(Placed(key, decision))
        self._forget_paces(now)
        return placed

    def _decide(
        self,
        waiting: QueuedJob,
        late_ahead: collections.Counter[str],
        full: set[_Group],
        now: float,
    ) -> work.Grant | work.Refusal | None:
        """Place one request or refuse it; None if it goes on waiting.

        Args:
            waiting: The request.
            late_ahead: Late requests before it that go on waiting, by service.
            full: Groups that have no place now, which are not asked for again.
            now: Loop time.
        """
        service = waiting.job.service
        left = waiting.ends_at - now
        is_late = waiting.is_late(now)
        late_pace = self._late_pace_by_service.setdefault(service, _Pace(now))
        if left < LEAST_SERVICE_SECONDS:
            return work.Refusal("no_room_in_time", self._return_seconds(service, now))
        choice = self._try(waiting, _Group(service, waiting.is_short, is_late), full, now)
        if isinstance(choice, work.Refusal):
            return choice
        if isinstance(choice, work.Grant):
            self._pace_by_service.setdefault(service, _Pace(now)).on_grant(now)
            if is_late:
                late_pace.on_grant(now)
            return choice
        # To refuse a stream that has begun would cut it.
        if is_late and not waiting.job.has_started:
            late_ahead[service] += 1
            expected = late_pace.wait_seconds(late_ahead[service], now)
            if expected + LEAST_SERVICE_SECONDS > left:
                return work.Refusal("no_room_in_time", self._return_seconds(service, now))
        return None

    def _try(
        self, waiting: QueuedJob, group: _Group, full: set[_Group], now: float
    ) -> work.Grant | work.Refusal | None:
        """Ask for a place, unless there is none for requests like this one."""
        key = waiting.job.key
        if group in full or now < self._next_try_by_key.get(key, now):
            return None
        job, waited = waiting.job, now - waiting.queued_at
        aged = job._replace(
            deadline_seconds=job.deadline_seconds - waited,
            next_event_deadline_seconds=job.next_event_deadline_seconds - waited,
            latency_target_seconds=max(
                work.MIN_LATENCY_TARGET_SECONDS, job.latency_target_seconds - waited
            ),
        )
        choice = self._placer.place(aged, now)
        if not isinstance(choice, work.Wait):
            return choice
        if choice.is_full:
            full.update(_Group(job.service, short, late) for short in _EITHER for late in _EITHER)
        elif waiting.is_short:
            full.add(group)
        else:
            self._next_try_by_key[key] = now + LONG_RETRY_SECONDS
        return None

    def _forget_paces(self, now: float) -> None:
        """Stop the clocks of the kinds of which nobody waits."""
        waiting = {one.job.service for one in self._waiting_by_key.values()}
        late = {one.job.service for one in self._waiting_by_key.values() if one.is_late(now)}
        for service, pace in self._pace_by_service.items():
            if service not in waiting:
                pace.on_empty(now)
        for service, pace in self._late_pace_by_service.items():
            if service not in late:
                pace.on_empty(now)

    def withdraw(self, key: work.JobKey) -> None:
        """Take a request out of the line.

        Args:
            key: The request.
        """
        self._waiting_by_key.pop(key, None)
        self._next_try_by_key.pop(key, None)

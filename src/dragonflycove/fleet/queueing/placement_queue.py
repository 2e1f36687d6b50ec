"""Priority queue of requests that wait for capacity.

It serves short overloads, as when traffic jumps while an availability zone is evacuated. In order
of arrival all requests would wait about equally long, and all would miss their latency targets.
Here requests that can still meet their target are placed first, the most valuable first. Those that
would miss it get the capacity that is left, and are refused with a retry-after when that is too
little.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import load_parts, work
from dragonflycove.fleet.queueing import (
    grant_intervals,
    organisation_shares,
    queued_jobs,
    return_bookings,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import limited_servers, peer_messages, placer

MIN_SERVICE_SECONDS = 0.1
"""Time left below which a queued request is refused; a prefill and a pass take longer."""

MAX_QUEUED = 500
"""Maximum length of the queue; a hundred engines can't serve more within a deadline."""

MIN_RETRY_AFTER_SECONDS = 1.0
"""Lower limit of retry-after; an overload lasts for seconds."""

MAX_RETRY_AFTER_SECONDS = 5.0
"""Upper limit of retry-after; the queue's length can't be predicted further ahead."""

RETURNED_WAIT_SECONDS = 1.0
"""Time that a caller who returned when told may wait for a rate-limited server."""

LONG_PROMPT_RETRY_SECONDS = 0.1
"""Time between two placement tries of a queued long prompt, which take most of the CPU time."""


class QueueResult(NamedTuple):
    """The final decision on a request that was queued."""

    key: work.JobKey
    """The request."""

    decision: work.Grant | work.Refusal
    """The servers that it was placed on, or a refusal."""


class _JobGroup(NamedTuple):
    """Requests that are skipped together once one of them found no capacity.

    Long prompts differ too much from each other, so each is retried on its own.
    """

    service: str
    is_short: bool
    misses_target: bool


_BOTH = (False, True)


class PlacementQueue:
    """The requests that wait for one placer."""

    def __init__(
        self,
        job_placer: placer.Placer,
        parts: load_parts.LoadParts = load_parts.NO_PARTS,
        shares: organisation_shares.OrganisationShares | None = None,
    ) -> None:
        """Create an empty queue.

        Args:
            job_placer: Places the requests.
            parts: Parts of the handling of heavy load that are in use.
            shares: Work that each organisation has received; None for equal organisations.
        """
        self._placer = job_placer
        self._parts = parts
        self._shares = shares if parts.organisation_shares else None
        self._queued_by_key: dict[work.JobKey, queued_jobs.QueuedJob] = {}
        self._places: collections.Counter[str] = collections.Counter()
        self._giving_way: set[work.JobKey] = set()
        self._held_priority_by_service: dict[str, int] = {}
        self._next_try_by_key: dict[work.JobKey, float] = {}
        self._intervals_by_service: dict[str, grant_intervals.GrantIntervals] = {}
        self._late_intervals_by_service: dict[str, grant_intervals.GrantIntervals] = {}
        self._bookings_by_service: dict[str, return_bookings.ReturnBookings] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued_by_key)

    @property
    def organisation_count(self) -> int:
        """Number of organisations whose requests are queued."""
        return len(self._places)

    def _sort_key(self, queued: queued_jobs.QueuedJob, now: float) -> tuple[float, ...]:
        """Return a request's sort key; the lowest is placed first."""
        return queued.sort_key(now, self._share_rank(queued.job, now))

    def _share_rank(self, job: work.Job, now: float) -> organisation_shares.Rank:
        if self._shares is None:
            return organisation_shares.EQUAL
        return self._shares.rank(job, now)

    def _on_granted(self, job: work.Job, now: float) -> None:
        """Charge the organisation of a request that was placed."""
        if self._shares is not None:
            self._shares.on_placed(job, now)

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a request or queue it.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            The servers, a refusal, or a wait if the request is queued.
        """
        known = self._queued_by_key.get(job.key)
        if known is not None:
            return work.Wait(known.service_seconds, is_full=False)
        capacity = self._placer.rate_capacity(job, now)
        if capacity is not None:
            not_yet = self._wait_for_rate(job, capacity, now)
            if not_yet is not None:
                return not_yet
        decision = self._place_new(job, now)
        if not isinstance(decision, work.Wait):
            return decision
        # An empty queue isn't polled, so its intervals may have started long ago.
        self._restart_idle_intervals(now)
        return self._enqueue(job, decision, now)

    def _place_new(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a new request if it need not wait."""
        self._held_priority_by_service.clear()
        if self._is_held_back(job, now) or self._is_overtaking(job, now):
            return work.Wait(self._placer.service_seconds(job), is_full=False)
        decision = self._placer.place(job, now)
        if isinstance(decision, work.Grant):
            self._on_granted(job, now)
        return decision

    def _is_overtaking(self, job: work.Job, now: float) -> bool:
        """Whether another organisation's similar request is to be placed before a new one."""
        if self._shares is None or not self._queued_by_key:
            return False
        seconds = self._placer.service_seconds(job)
        new_job = queued_jobs.QueuedJob.from_job(job, seconds, now)
        sort_key = self._sort_key(new_job, now)
        return any(
            one.job.service == job.service
            and one.job.organisation != job.organisation
            and one.is_short == new_job.is_short
            and self._sort_key(one, now) < sort_key
            for one in self._queued_by_key.values()
        )

    def _is_held_back(self, job: work.Job, now: float) -> bool:
        """Whether the last free slots are kept for organisations within their share.

        They are kept from all less urgent requests as well.
        """
        if self._shares is None or job.has_started:
            return False
        held_priority = self._held_priority_by_service.get(job.service)
        if held_priority is not None and job.priority > held_priority:
            return True
        reserved_slots = self._shares.reserved_slots(job, now)
        if not reserved_slots:
            return False
        if held_priority is None:
            if self._placer.free_slots(job.service, now) > reserved_slots:
                return False
            self._held_priority_by_service[job.service] = job.priority
        return True

    def _make_place(self, job: work.Job, max_queued: int) -> bool:
        """Let a request give way to a new one if the organisations' shares ask for it.

        Returns:
            Whether the new one has a place; otherwise it is refused for its organisation's share.
        """
        if self._shares is None:
            return True
        queued = (
            one.job
            for key, one in self._queued_by_key.items()
            if key not in self._giving_way and not one.has_returned
        )
        refused = self._shares.request_to_refuse(job, self._places, queued, max_queued)
        if refused is None:
            return True
        if refused.key == job.key:
            return False
        self._giving_way.add(refused.key)
        self._places[refused.organisation] -= 1
        return True

    def _refuse_giving_way(self, now: float) -> list[QueueResult]:
        """Refuse the requests that gave way to others since the last pass."""
        refused = []
        for key in list(self._giving_way):
            refused.append(QueueResult(key, self._refuse_for_share(self._queued_by_key[key], now)))
            self.withdraw(key)
        return refused

    def _refuse_for_share(self, queued: queued_jobs.QueuedJob, now: float) -> work.Refusal:
        seconds = self._retry_after_seconds(queued.job.service, now)
        return work.Refusal(work.ORGANISATION_SHARE, seconds)

    def _enqueue(self, job: work.Job, decision: work.Wait, now: float) -> work.Wait | work.Refusal:
        """Queue a new request, unless it would wait for too long."""
        queued = queued_jobs.QueuedJob.from_job(job, decision.service_seconds, now)
        timeout = queued.expires_at - now
        expected_wait = self._expected_wait(queued, now)
        if self._shares is None and len(self._queued_by_key) >= MAX_QUEUED:
            return work.Refusal("line_full", self._retry_after_seconds(job.service, now))
        if expected_wait + MIN_SERVICE_SECONDS > timeout:
            return work.Refusal("no_room_in_time", self._retry_after_seconds(job.service, now))
        if not self._make_place(job, MAX_QUEUED):
            return self._refuse_for_share(queued, now)
        self._add(queued)
        return decision

    def _add(self, queued: queued_jobs.QueuedJob) -> None:
        self._queued_by_key[queued.job.key] = queued
        self._places[queued.job.organisation] += 1

    def _wait_for_rate(
        self, job: work.Job, capacity: limited_servers.RateCapacity, now: float
    ) -> work.Wait | work.Refusal | None:
        """Queue or refuse a request whose servers all have rate limits; None if one may get it now.

        It is queued only for so short a time that it can still meet its latency target, or if its
        caller returned when told. A refused caller is told when there is capacity for it.
        """
        bookings = self._bookings(job.service)
        has_returned = bookings.redeem(job, now)
        queued_count = self._queued_count(job.service)
        service_seconds = self._placer.service_seconds(job)
        max_wait = max(0.0, job.latency_target_seconds - service_seconds)
        if has_returned:
            ahead, ahead_in_wait = 0, queued_count
            max_wait = max(max_wait, RETURNED_WAIT_SECONDS)
        else:
            # What comes just before a booked time is kept, so that it is there at that time.
            ahead = queued_count + bookings.due_within(1 / capacity.requests_per_second, now)
            ahead_in_wait = queued_count + bookings.due_within(max_wait, now)
        if capacity.seconds_until(1 + ahead) <= 0:
            return None
        # Refusing a stream that has started would cut it off.
        may_wait = job.has_started or capacity.seconds_until(1 + ahead_in_wait) <= max_wait
        if may_wait and len(self._queued_by_key) < MAX_QUEUED:
            self._restart_idle_intervals(now)
            wait = work.Wait(service_seconds, is_full=False)
            queued = queued_jobs.QueuedJob.from_job(job, service_seconds, now)
            self._add(queued._replace(has_returned=has_returned))
            return wait
        return self._refuse_for_rate(job, capacity, now)

    def _refuse_for_rate(
        self, job: work.Job, capacity: limited_servers.RateCapacity, now: float
    ) -> work.Refusal:
        """Refuse a request because of its servers' rate limits, and book its return."""
        bookings = self._bookings(job.service)
        seconds = bookings.seconds_to_booking(job, now)
        if seconds is None:
            position = 1 + self._queued_count(job.service)
            seconds = bookings.book(job, position, capacity, now)
        return work.Refusal(work.SERVER_LIMIT, seconds)

    def _bookings(self, service: str) -> return_bookings.ReturnBookings:
        return self._bookings_by_service.setdefault(service, return_bookings.ReturnBookings())

    def _queued_count(self, service: str) -> int:
        return sum(one.job.service == service for one in self._queued_by_key.values())

    def _retry_after_seconds(self, service: str, now: float) -> float:
        """Return the retry-after of a refused request: the time to place all that wait now."""
        queued_count = self._queued_count(service)
        intervals = self._intervals_by_service.get(service)
        seconds = (
            intervals.wait_seconds(1 + queued_count, now) if intervals else MIN_RETRY_AFTER_SECONDS
        )
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))

    def _expected_wait(self, new_job: queued_jobs.QueuedJob, now: float) -> float:
        """Return a new request's expected wait, by its position and the grant intervals."""
        sort_key = self._sort_key(new_job, now)
        ahead = sum(
            1
            for queued in self._queued_by_key.values()
            if queued.job.service == new_job.job.service and self._sort_key(queued, now) <= sort_key
        )
        intervals = self._intervals_by_service.get(new_job.job.service)
        return (
            intervals.wait_seconds(1 + ahead, now)
            if intervals
            else (1 + ahead) * grant_intervals.INITIAL_GRANT_INTERVAL_SECONDS
        )

    def place_queued(self, now: float) -> list[QueueResult]:
        """Place or refuse the queued requests that can be decided now.

        Args:
            now: Loop time.

        Returns:
            The decisions on the requests that left the queue.
        """
        self._held_priority_by_service.clear()
        placed = self._refuse_giving_way(now)
        late_ahead: collections.Counter[str] = collections.Counter()
        full_groups: set[_JobGroup] = set()
        pending = collections.deque(self._in_order(self._queued_by_key.values(), now))
        while pending:
            queued = pending.popleft()
            key = queued.job.key
            decision = self._decide(queued, late_ahead, full_groups, now)
            if decision is None:
                continue
            self.withdraw(key)
            placed.append(QueueResult(key, decision))
            if self._shares is not None and isinstance(decision, work.Grant):
                # It changed the rank of its organisation.
                pending = collections.deque(self._in_order(pending, now))
        self._restart_idle_intervals(now)
        return placed

    def _in_order(
        self, queued: Iterable[queued_jobs.QueuedJob], now: float
    ) -> list[queued_jobs.QueuedJob]:
        return sorted(queued, key=lambda one: self._sort_key(one, now))

    def _decide(
        self,
        queued: queued_jobs.QueuedJob,
        late_ahead: collections.Counter[str],
        full_groups: set[_JobGroup],
        now: float,
    ) -> work.Grant | work.Refusal | None:
        """Place or refuse a queued request; return None if it stays queued.

        Args:
            queued: The request.
            late_ahead: Requests ahead of it that miss their target and stay queued, by service.
            full_groups: Groups without capacity, which are not tried again in this call.
            now: Loop time.
        """
        service = queued.job.service
        remaining_seconds = queued.expires_at - now
        misses_target = queued.misses_target(now)
        late_intervals = self._late_intervals_by_service.setdefault(
            service, grant_intervals.GrantIntervals(now)
        )
        if remaining_seconds < MIN_SERVICE_SECONDS:
            return work.Refusal("no_room_in_time", self._retry_after_seconds(service, now))
        decision = self._try_place(
            queued, _JobGroup(service, queued.is_short, misses_target), full_groups, now
        )
        if isinstance(decision, work.Refusal):
            return decision
        if isinstance(decision, work.Grant):
            self._on_granted(queued.job, now)
            self._intervals_by_service.setdefault(
                service, grant_intervals.GrantIntervals(now)
            ).on_grant(now)
            if misses_target:
                late_intervals.on_grant(now)
            return decision
        if misses_target and not queued.must_be_served:
            capacity = self._placer.rate_capacity(queued.job, now)
            if capacity is not None:
                return self._refuse_for_rate(queued.job, capacity, now)
            late_ahead[service] += 1
            expected_wait = late_intervals.wait_seconds(late_ahead[service], now)
            if expected_wait + MIN_SERVICE_SECONDS > remaining_seconds:
                return work.Refusal("no_room_in_time", self._retry_after_seconds(service, now))
        return None

    def _try_place(
        self,
        queued: queued_jobs.QueuedJob,
        group: _JobGroup,
        full_groups: set[_JobGroup],
        now: float,
    ) -> work.Grant | work.Refusal | None:
        """Try to place a request, unless its group is known to have no capacity."""
        key = queued.job.key
        if group in full_groups or now < self._next_try_by_key.get(key, now):
            return None
        if not queued.must_be_served and self._is_held_back(queued.job, now):
            return None
        job = queued.job
        decision = self._placer.place(queued.aged_job(now), now)
        if not isinstance(decision, work.Wait):
            return decision
        if decision.is_full:
            full_groups.update(
                _JobGroup(job.service, short, late) for short in _BOTH for late in _BOTH
            )
        elif queued.is_short:
            full_groups.add(group)
        else:
            self._next_try_by_key[key] = now + LONG_PROMPT_RETRY_SECONDS
        return None

    def _restart_idle_intervals(self, now: float) -> None:
        """Restart the intervals of services for which no request waits, or none that is late."""
        queued_services = {one.job.service for one in self._queued_by_key.values()}
        late_services = {
            one.job.service for one in self._queued_by_key.values() if one.misses_target(now)
        }
        for service, intervals in self._intervals_by_service.items():
            if service not in queued_services:
                intervals.on_empty(now)
        for service, intervals in self._late_intervals_by_service.items():
            if service not in late_services:
                intervals.on_empty(now)

    @property
    def late_count(self) -> int:
        """Queued requests that give way since they are late; 0 without the part."""
        return 0

    @property
    def booked_count(self) -> int:
        """Bookings of refused callers that haven't returned yet; 0 without the part."""
        return 0

    def restore_bookings(
        self, records: tuple[peer_messages.BookingRecord, ...], now: float
    ) -> None:
        """Take over bookings that another hub made; ignored without the part.

        Args:
            records: The bookings that a node reports.
            now: Loop time.
        """

    def on_end(self, key: work.JobKey, now: float) -> None:
        """Count the end of a request that was placed.

        Args:
            key: The request.
            now: Loop time.
        """

    def withdraw(self, key: work.JobKey) -> None:
        """Remove a request from the queue.

        Args:
            key: The request; ignored if it isn't queued.
        """
        queued = self._queued_by_key.pop(key, None)
        if queued is not None and key not in self._giving_way:
            self._places[queued.job.organisation] -= 1
            if self._places[queued.job.organisation] <= 0:
                del self._places[queued.job.organisation]
        self._giving_way.discard(key)
        self._next_try_by_key.pop(key, None)

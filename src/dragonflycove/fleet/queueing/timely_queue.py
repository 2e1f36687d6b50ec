"""The placement queue in overloads of seconds, in which most callers can't be served in time.

Requests that can be in time go first, the newest of them first while a queue stands. Late ones get
the slots that those leave, and are refused at once when these are too few. The design note
`docs/design/timely-queue.md` says why.
"""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, work
from dragonflycove.fleet.queueing import (
    capacity_bookings,
    capacity_outlook,
    grant_intervals,
    lanes,
    placement_queue,
    queued_jobs,
    refused_callers,
    return_bookings,
)

if TYPE_CHECKING:
    from dragonflycove.fleet import load_parts, peer_messages, placer
    from dragonflycove.fleet.queueing import organisation_shares

MAX_QUEUED = 5_000
"""Maximum length of the queue; bounds its memory, since late requests leave it."""


class _Pass(NamedTuple):
    """One pass over the requests of a service."""

    lanes: lanes.ServiceLanes
    """The requests."""

    is_standing: bool
    """Whether the newest requests go first."""

    now: float
    """Loop time."""

    results: list[placement_queue.QueueResult]
    """The decisions."""


class TimelyQueue(placement_queue.PlacementQueue):
    """The requests that wait for one placer, where late ones give way to those in time."""

    def __init__(
        self,
        job_placer: placer.Placer,
        parts: load_parts.LoadParts,
        shares: organisation_shares.OrganisationShares | None = None,
    ) -> None:
        """Create an empty queue.

        Args:
            job_placer: Places the requests.
            parts: Parts of the handling of heavy load that are in use.
            shares: Work that each organisation has received; None for equal organisations.
        """
        super().__init__(job_placer, parts, shares)
        self._lanes_by_service: dict[str, lanes.ServiceLanes] = {}
        self._booked_by_service: dict[str, capacity_bookings.CapacityBookings] = {}
        self._outlook_by_service: dict[str, capacity_outlook.CapacityOutlook] = {}
        self._outlook_within_share_by_service: dict[str, capacity_outlook.CapacityOutlook] = {}
        self._services_with_excess: set[str] = set()
        self._refused = refused_callers.RefusedCallers()
        self._first_at_by_key: dict[work.JobKey, float] = {}

    @property
    def late_count(self) -> int:
        """Queued short requests that can't be in time."""
        return sum(service_lanes.late_count for service_lanes in self._lanes_by_service.values())

    @property
    def booked_count(self) -> int:
        """Bookings of refused callers that haven't returned yet."""
        return sum(len(booked) for booked in self._booked_by_service.values())

    def offer(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a request, queue it, or refuse it.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            The servers, a refusal, or a wait if the request is queued.
        """
        if job.key in self._queued_by_key:
            return super().offer(job, now)
        caller = self._refused.on_return(job, now)
        if caller is not None:
            job = refused_callers.aged_target(job, caller.first_at, now)
            self._first_at_by_key[job.key] = caller.first_at
        arrival = self._booked(job.service).on_return(job, now, is_known=caller is not None)
        decision: work.Grant | work.Refusal | work.Wait
        if arrival is capacity_bookings.Arrival.EARLY:
            decision = self._refuse_early(job, now)
        elif arrival is capacity_bookings.Arrival.DUE:
            decision = self._place_returned(job, now)
        else:
            decision = super().offer(job, now)
        if not isinstance(decision, work.Wait):
            self._first_at_by_key.pop(job.key, None)
        return decision

    def _refuse_early(self, job: work.Job, now: float) -> work.Refusal:
        """Refuse a caller that has returned before the time of its booking, which is kept."""
        seconds = self._booked(job.service).seconds_to(job.fingerprint, now)
        self._refused.on_refused(job, self._first_at_by_key.get(job.key, now), seconds, now)
        return work.Refusal(work.BOOKED_RETURN, seconds)

    def _place_returned(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a caller that has returned at its booked time, or queue it before newcomers."""
        decision = super()._place_new(job, now)
        if isinstance(decision, work.Wait):
            queued = queued_jobs.QueuedJob.from_job(job, decision.service_seconds, now)
            self._add(queued._replace(has_returned=True))
        return decision

    def _place_new(self, job: work.Job, now: float) -> work.Grant | work.Refusal | work.Wait:
        """Place a new request if it need not wait and takes no slot from a request in time."""
        if engine_forecast.has_short_gap_target(job) and not job.has_started:
            queued = queued_jobs.QueuedJob.from_job(job, self._placer.service_seconds(job), now)
            service_lanes = self._lanes(job.service)
            is_late = queued.misses_target(now)
            if not is_late:
                self._outlook(job.service).on_arrival(now)
                if self._share_rank(job, now).is_over_share:
                    self._services_with_excess.add(job.service)
                elif self._shares is not None:
                    self._outlook_within_share(job.service).on_arrival(now)
            takes_newcomers_slot = is_late and self._outlook_for(job, now).spare_slots(now) <= 0
            if takes_newcomers_slot or service_lanes.has_more_urgent(job.priority):
                return work.Wait(queued.service_seconds, is_full=False)
        decision = super()._place_new(job, now)
        if isinstance(decision, work.Grant):
            self._intervals(job.service, now).on_grant(now)
        return decision

    def _on_granted(self, job: work.Job, now: float) -> None:
        super()._on_granted(job, now)
        self._outlook(job.service).on_placed(job, now)
        if self._shares is not None:
            self._outlook_within_share(job.service).on_placed(job, now)

    def on_end(self, key: work.JobKey, now: float) -> None:
        """Count the end of a request that was placed.

        Args:
            key: The request; ignored if it wasn't placed here.
            now: Loop time.
        """
        for outlook in self._outlook_by_service.values():
            outlook.on_end(key, now)
        for outlook in self._outlook_within_share_by_service.values():
            outlook.on_end(key, now)

    def _booked(self, service: str) -> capacity_bookings.CapacityBookings:
        return self._booked_by_service.setdefault(service, capacity_bookings.CapacityBookings())

    def _outlook(self, service: str) -> capacity_outlook.CapacityOutlook:
        """Return what is left by all newcomers."""
        return self._made_outlook(self._outlook_by_service, service)

    def _outlook_within_share(self, service: str) -> capacity_outlook.CapacityOutlook:
        """Return what is left by newcomers of organisations that aren't over their share."""
        if self._shares is None:
            return self._outlook(service)
        return self._made_outlook(self._outlook_within_share_by_service, service)

    def _outlook_for(self, job: work.Job, now: float) -> capacity_outlook.CapacityOutlook:
        """Return what is left by the newcomers that go before a late request."""
        has_excess = job.service in self._services_with_excess
        if not has_excess or self._share_rank(job, now).is_over_share:
            return self._outlook(job.service)
        return self._outlook_within_share(job.service)

    def _made_outlook(
        self, outlook_by_service: dict[str, capacity_outlook.CapacityOutlook], service: str
    ) -> capacity_outlook.CapacityOutlook:
        outlook = outlook_by_service.get(service)
        if outlook is None:
            outlook = capacity_outlook.CapacityOutlook(
                functools.partial(self._placer.free_slots, service),
                self._booked(service).due_times,
                lambda key: self._placer.placement(key) is not None,
            )
            outlook_by_service[service] = outlook
        return outlook

    def _enqueue(self, job: work.Job, decision: work.Wait, now: float) -> work.Wait | work.Refusal:
        """Queue a new request, unless it is late and would wait in vain."""
        queued = queued_jobs.QueuedJob.from_job(job, decision.service_seconds, now)
        is_late = queued.is_short and not job.has_started and queued.misses_target(now)
        is_full = self._shares is None and len(self) >= MAX_QUEUED
        if is_full or queued.expires_at - queued.service_seconds <= now:
            return self._refuse(queued, now)
        if is_late and not self._may_wait_late(queued, now):
            return self._refuse(queued, now)
        if not self._make_place(job, MAX_QUEUED):
            return self._refuse_for_share(queued, now)
        self._add(queued)
        return decision

    def _refuse_for_share(self, queued: queued_jobs.QueuedJob, now: float) -> work.Refusal:
        return self._refuse(queued, now)._replace(reason=work.ORGANISATION_SHARE)

    def _is_overtaking(self, job: work.Job, now: float) -> bool:
        if self._shares is None or not engine_forecast.has_short_gap_target(job):
            return False
        return self._lanes(job.service).goes_before(job, lambda one: self._share_rank(one, now))

    def _add(self, queued: queued_jobs.QueuedJob) -> None:
        super()._add(queued)
        self._lanes(queued.job.service).add(queued, is_late=queued.misses_target(queued.queued_at))

    def _lanes(self, service: str) -> lanes.ServiceLanes:
        service_lanes = self._lanes_by_service.get(service)
        if service_lanes is None:
            service_lanes = lanes.ServiceLanes(has_organisations=self._shares is not None)
            self._lanes_by_service[service] = service_lanes
        return service_lanes

    def _intervals(self, service: str, now: float) -> grant_intervals.GrantIntervals:
        return self._intervals_by_service.setdefault(service, grant_intervals.GrantIntervals(now))

    def _queued_count(self, service: str) -> int:
        return len(self._lanes(service))

    def _may_wait_late(self, queued: queued_jobs.QueuedJob, now: float) -> bool:
        """Whether a late request would be placed soon, by the slots that newcomers leave."""
        service = queued.job.service
        position = 1 + self._lanes(service).late_count
        patience = queued.expires_at - queued.service_seconds - now
        outlook = self._outlook_for(queued.job, now)
        return outlook.seconds_until_spare(position, now) <= patience

    def _refuse(self, queued: queued_jobs.QueuedJob, now: float) -> work.Refusal:
        """Refuse a request, and remember its caller."""
        job = queued.aged_job(now)
        first_at = self._first_at_by_key.pop(job.key, None)
        if job.deadline_seconds <= queued.service_seconds:
            # Its caller has no time left to return, so it holds no place among those that return.
            return work.Refusal(work.OVERLOAD, placement_queue.MIN_RETRY_AFTER_SECONDS)
        refusal = self._refusal(job, now, has_returned=first_at is not None)
        first_at = queued.queued_at if first_at is None else first_at
        self._refused.on_refused(job, first_at, refusal.retry_after_seconds, now)
        return refusal

    def _refusal(self, job: work.Job, now: float, *, has_returned: bool) -> work.Refusal:
        """Return a refusal until there is a slot for the caller, which is booked if it waits.

        A caller that has returned before seldom returns again, so nothing is booked for it.
        """
        position = 1 + self._lanes(job.service).late_count
        longest = return_bookings.PATIENCE_SHARE * job.deadline_seconds
        outlook = self._outlook_for(job, now)
        if not self._parts.booked_returns:
            position += self._refused.due_count(job.service, now)
            seconds = outlook.seconds_until_spare(position, now)
            least = placement_queue.MIN_RETRY_AFTER_SECONDS
            return work.Refusal(work.OVERLOAD, min(longest, max(least, seconds)))
        seconds = outlook.seconds_until_spare(position, now) + return_bookings.RETURN_MARGIN_SECONDS
        if seconds > longest or has_returned:
            return work.Refusal(work.OVERLOAD, job.deadline_seconds)
        self._booked(job.service).add(job.fingerprint, now + seconds)
        outlook.on_booked()
        return work.Refusal(work.BOOKED_RETURN, seconds)

    def restore_bookings(
        self, records: tuple[peer_messages.BookingRecord, ...], now: float
    ) -> None:
        """Take over bookings that another hub made.

        Args:
            records: The bookings that a node reports.
            now: Loop time.
        """
        if self._parts.booked_returns:
            for service in {record.service for record in records}:
                self._booked(service).restore(records, service, now)

    def place_queued(self, now: float) -> list[placement_queue.QueueResult]:
        """Place or refuse the queued requests that can be decided now.

        Args:
            now: Loop time.

        Returns:
            The decisions on the requests that left the queue.
        """
        self._held_priority_by_service.clear()
        results = self._refuse_giving_way(now)
        for service_lanes in self._lanes_by_service.values():
            if not len(service_lanes):
                continue
            service_lanes.unpark(now)
            self._refuse_late(service_lanes, results, now)
            self._place_in_order(_Pass(service_lanes, service_lanes.is_standing(now), now, results))
        self._restart_idle_intervals(now)
        return results

    def _refuse_late(
        self,
        service_lanes: lanes.ServiceLanes,
        results: list[placement_queue.QueueResult],
        now: float,
    ) -> None:
        """Refuse the requests that have become late and can't wait, and those that have expired."""
        for queued in service_lanes.expired(now):
            self._settle(queued, self._refuse(queued, now), results)
        for queued in service_lanes.turned_late(now):
            if not queued.is_short:
                service_lanes.add(queued, is_late=True)
                continue
            service_lanes.discard(queued.job.key)
            capacity = self._placer.rate_capacity(queued.job, now)
            if capacity is not None:
                refusal = self._refuse_for_rate(queued.job, capacity, now)
                self._settle(queued, refusal, results)
            elif self._may_wait_late(queued, now):
                service_lanes.add(queued, is_late=True)
            else:
                self._settle(queued, self._refuse(queued, now), results)

    def _settle(
        self,
        queued: queued_jobs.QueuedJob,
        decision: work.Grant | work.Refusal,
        results: list[placement_queue.QueueResult],
    ) -> None:
        self.withdraw(queued.job.key)
        results.append(placement_queue.QueueResult(queued.job.key, decision))

    def _place_in_order(self, one_pass: _Pass) -> None:
        """Place requests until no lane has one for which there is capacity."""
        now = one_pass.now
        blocked: set[lanes.LaneKey] = set()
        full_kinds: set[lanes.LaneKind] = set()
        reserved_above = math.inf
        while True:
            candidate = one_pass.lanes.first(
                blocked,
                lambda job: self._share_rank(job, now),
                is_standing=one_pass.is_standing,
            )
            if candidate is None:
                return
            lane, queued = candidate
            if lane.kind in full_kinds:
                blocked.add(lane)
                continue
            if lane.is_ordinary and self._is_held_back(queued.job, now):
                blocked.add(lane)
                continue
            is_late = lane.kind is lanes.LaneKind.LATE
            needs_spare = is_late or lane.priority > reserved_above
            if is_late and one_pass.lanes.has_less_urgent(lane.priority):
                # No slot is kept for newcomers that wait behind this one.
                needs_spare = False
            if needs_spare and self._outlook_for(queued.job, now).spare_slots(now) <= 0:
                blocked.add(lane)
                reserved_above = min(reserved_above, lane.priority)
                continue
            decision = self._placer.place(queued.aged_job(now), now)
            if isinstance(decision, work.Wait):
                if decision.is_full:
                    return
                if lane.kind is lanes.LaneKind.LONG or queued.job.excluded:
                    until = now + placement_queue.LONG_PROMPT_RETRY_SECONDS
                    one_pass.lanes.park(queued, until)
                else:
                    full_kinds.add(lane.kind)
                continue
            if isinstance(decision, work.Grant):
                self._on_granted(queued.job, now)
                self._intervals(queued.job.service, now).on_grant(now)
            self._settle(queued, decision, one_pass.results)

    def _restart_idle_intervals(self, now: float) -> None:
        """Restart the intervals of services for which no request waits."""
        for service, intervals in self._intervals_by_service.items():
            if not self._queued_count(service):
                intervals.on_empty(now)

    def withdraw(self, key: work.JobKey) -> None:
        """Remove a request from the queue.

        Args:
            key: The request; ignored if it isn't queued.
        """
        queued = self._queued_by_key.get(key)
        if queued is not None:
            self._lanes(queued.job.service).discard(key)
        self._first_at_by_key.pop(key, None)
        super().withdraw(key)


def make_queue(
    job_placer: placer.Placer,
    parts: load_parts.LoadParts,
    shares: organisation_shares.OrganisationShares | None = None,
) -> placement_queue.PlacementQueue:
    """Return an empty queue for the parts that are in use.

    Args:
        job_placer: Places the requests.
        parts: Parts of the handling of heavy load that are in use.
        shares: Work that each organisation has received; None for equal organisations.
    """
    if parts.timely_queue:
        return TimelyQueue(job_placer, parts, shares)
    return placement_queue.PlacementQueue(job_placer, parts, shares)

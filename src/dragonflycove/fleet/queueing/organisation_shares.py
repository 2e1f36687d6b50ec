"""Divides capacity between the organisations whose requests compete for it.

It answers demand of very unequal organisations: one that sends ten times its share would otherwise
take the servers and the queue's places from the others. The order is start-time fair queueing by
the cost of each request's dominant resource (Ghodsi et al., Multi-Resource Fair Queueing for Packet
Processing, SIGCOMM 2012). Only requests of one service and one priority compete.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fairness import virtual_clock
from dragonflycove.fleet.queueing import occupation

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from dragonflycove.fleet import catalog, work

OVER_SHARE_FACTOR = 1.5
"""Multiple of its share above which an organisation goes after all others.

One that keeps to its share has some five requests running, which fluctuate by the root of that.
"""

RESERVED_DEVIATIONS = 0.5
"""Slots kept for those within their share, in standard deviations of the number of busy slots.

Trunk reservation (Key: Optimal Control and Trunk Reservation in Loss Networks, 1990): few are enough
for them to find a free slot as if the others' excess weren't there.
"""

UNUSED_SECONDS = 5.0
"""Time without a placement after which the usage of a service is forgotten."""

MAX_IDLE_ORGANISATIONS = 64
"""Organisations of one competition whose finish times are kept."""


class Rank(NamedTuple):
    """Position of an organisation's requests; the lowest goes first."""

    is_over_share: bool
    """Whether it clearly occupies more than its share."""

    start: float
    """Virtual start time of its next request."""


EQUAL = Rank(is_over_share=False, start=0.0)
"""Rank of all organisations where they aren't told apart."""


class _Competition(NamedTuple):
    """Requests that compete for the same capacity."""

    service: str
    priority: int


class _Usage:
    """What the competing organisations have received."""

    __slots__ = ("_over_share", "_over_share_at", "clock", "occupied", "placed_at")

    def __init__(self) -> None:
        self.clock = virtual_clock.VirtualClock()
        """Gives the organisations' requests their order."""
        self.occupied = occupation.OccupiedServers()
        """What their requests occupy now."""
        self.placed_at = 0.0
        """Loop time of the last placement."""
        self._over_share: frozenset[str] = frozenset()
        self._over_share_at = -math.inf

    def add(self, organisation: str, occupied: occupation.Occupation, now: float) -> None:
        """Count a placed request as running."""
        self.occupied.add(organisation, occupied, now)
        self._over_share_at = -math.inf

    def over_share(self, weight_of: Callable[[str], float], now: float) -> frozenset[str]:
        """Return the organisations that clearly occupy more than their share."""
        if self._over_share_at != now:
            self._over_share_at = now
            servers_by_name = self.occupied.by_organisation(now)
            weights = sum(weight_of(name) for name in servers_by_name)
            total = sum(servers_by_name.values())
            self._over_share = frozenset(
                name
                for name, servers in servers_by_name.items()
                if servers * weights > OVER_SHARE_FACTOR * total * weight_of(name)
            )
        return self._over_share


def equal_weight(_organisation: str) -> float:
    """Return the weight of an organisation where all have the same."""
    return 1.0


class OrganisationShares:
    """Work that each organisation has received, as the order of their queued requests."""

    def __init__(
        self,
        engine_of: Callable[[str], catalog.EngineSpec | None] = lambda _: None,
        weight_of: Callable[[str], float] = equal_weight,
    ) -> None:
        """Create shares without organisations.

        Args:
            engine_of: Returns the engine of a service by name; None for a plain service.
            weight_of: Returns the weight of an organisation by name, above 0.
        """
        self._engine_of = engine_of
        self._weight_of = weight_of
        self._usage_by_competition: dict[_Competition, _Usage] = {}

    def rank(self, job: work.Job, now: float) -> Rank:
        """Return the position of a request's organisation; the lowest is served first.

        Requests of the same rank are ordered by other criteria. Ranks of different services or
        priorities are not comparable.

        Args:
            job: A queued request.
            now: Loop time.
        """
        usage = self._known_usage(job, now)
        if usage is None:
            return EQUAL
        return Rank(self.is_over_share(job, now), usage.clock.start(job.organisation))

    def is_over_share(self, job: work.Job, now: float) -> bool:
        """Whether a request's organisation clearly occupies more than its share.

        Its share is that of its weight among the organisations that have running requests, so one
        that is alone is never over it.

        Args:
            job: A queued request.
            now: Loop time.
        """
        usage = self._known_usage(job, now)
        return usage is not None and job.organisation in usage.over_share(self._weight_of, now)

    def reserved_slots(self, job: work.Job, now: float) -> int:
        """Return how many free slots a request leaves to organisations within their share.

        Args:
            job: A queued request.
            now: Loop time.

        Returns:
            Slots; 0 if its own organisation is within its share.
        """
        if not self.is_over_share(job, now):
            return 0
        running = sum(
            usage.occupied.request_count(now)
            for competition, usage in self._usage_by_competition.items()
            if competition.service == job.service
        )
        return math.ceil(RESERVED_DEVIATIONS * math.sqrt(running))

    def largest_share(self, now: float) -> float:
        """Return the largest share that an organisation has of what a service's requests occupy.

        Args:
            now: Loop time.

        Returns:
            A number from 0 to 1; 0 if nothing runs.
        """
        shares = [0.0]
        for usage in self._usage_by_competition.values():
            servers = usage.occupied.by_organisation(now).values()
            shares += [max(servers) / sum(servers)] if servers else []
        return max(shares)

    def on_placed(self, job: work.Job, now: float) -> None:
        """Charge an organisation for a request that was placed.

        Args:
            job: The request.
            now: Loop time.
        """
        usage = self._usage(job, now)
        occupied = self._occupation(job)
        usage.clock.advance(usage.clock.start(job.organisation))
        usage.clock.charge(job.organisation, occupied.cost, self._weight_of(job.organisation))
        usage.add(job.organisation, occupied, now)

    def on_running(self, job: work.Job, placed_at: float, now: float) -> None:
        """Count a running request that another hub placed, and that this one didn't know.

        While others wait, an organisation is ahead of them by its last request at most, so the
        largest one is charged and not their sum.

        Args:
            job: The request.
            placed_at: Loop time of its placement.
            now: Loop time.
        """
        usage = self._usage(job, now)
        occupied = self._occupation(job)
        weight = self._weight_of(job.organisation)
        usage.clock.owe_at_least(job.organisation, occupied.cost, weight)
        usage.add(job.organisation, occupied, placed_at)

    def request_to_refuse(
        self,
        new_job: work.Job,
        places: Mapping[str, int],
        queued: Iterable[work.Job],
        max_queued: int,
    ) -> work.Job | None:
        """Return the request that gives way when a new one is to be queued; None if none has to.

        A new request of an organisation with its share of the places takes one of its own. If the
        queue is full, the organisation with the most places for its weight gives one up. It is that
        of its least urgent, newest request, but of no started stream, nor of a request more urgent
        than the new one.

        Args:
            new_job: The request to queue.
            places: Number of queued requests by organisation.
            queued: The queued requests that may give way, oldest first.
            max_queued: Number of places in the queue.

        Returns:
            A queued request, or the new one if it has to be refused itself.
        """
        taken = collections.Counter(places)
        taken[new_job.organisation] += 1
        places_by_weight = {name: count / self._weight_of(name) for name, count in taken.items()}
        own = places_by_weight[new_job.organisation]
        is_over_share = own * sum(map(self._weight_of, taken)) > max_queued
        if not is_over_share and taken.total() <= max_queued:
            return None
        largest = max(places_by_weight, key=lambda name: (places_by_weight[name], name))
        if is_over_share or own == places_by_weight[largest]:
            largest = new_job.organisation
        candidates = [
            job
            for job in reversed([*queued, new_job])
            if job.organisation == largest
            and job.priority >= new_job.priority
            and not job.has_started
        ]
        return max(candidates, key=lambda job: job.priority, default=new_job)

    def _known_usage(self, job: work.Job, now: float) -> _Usage | None:
        usage = self._usage_by_competition.get(_Competition(job.service, job.priority))
        return None if usage is None or now - usage.placed_at > UNUSED_SECONDS else usage

    def _usage(self, job: work.Job, now: float) -> _Usage:
        """Return the usage to count a placement in; forget what isn't needed any longer."""
        usage = self._known_usage(job, now)
        if usage is None:
            self._usage_by_competition = {
                competition: one
                for competition, one in self._usage_by_competition.items()
                if now - one.placed_at <= UNUSED_SECONDS
            }
            usage = _Usage()
            self._usage_by_competition[_Competition(job.service, job.priority)] = usage
        usage.placed_at = now
        # Also without queued requests, so that what has ended isn't kept.
        usage.occupied.by_organisation(now)
        if usage.clock.idle_count > 2 * MAX_IDLE_ORGANISATIONS:
            usage.clock.forget_idle(MAX_IDLE_ORGANISATIONS)
        return usage

    def _occupation(self, job: work.Job) -> occupation.Occupation:
        return occupation.Occupation.of_job(job, self._engine_of(job.service))

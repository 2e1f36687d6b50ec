"""The queued requests of one service in lanes, which are ordered without being sorted again.

Answers overloads of thousands of requests: a request's place within its lane doesn't depend on the
time, so that a decision costs a few heap operations however many requests wait.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from dragonflycove.fleet import work
    from dragonflycove.fleet.queueing import organisation_shares, queued_jobs

STANDING_SHARE = 0.5
"""Share of the time that a request can wait after which the queue counts as standing."""

_MIN_HEAP_LENGTH = 32
"""Heap length below which entries of requests that have left aren't cleared out."""


class LaneKind(enum.IntEnum):
    """Requests that are placed, held back and given up by the same rule."""

    SHORT = 0
    """Short prompts and plain calls that can be in time."""

    LONG = 1
    """Long prompts, in time or late."""

    LATE = 2
    """Short prompts and plain calls that can't be in time."""


class LaneKey(NamedTuple):
    """Identifies a lane."""

    priority: int
    """Priority of its requests."""

    is_ordinary: bool
    """Whether its requests have neither been interrupted nor returned at a booked time."""

    organisation: str
    """Organisation of its requests; empty where organisations aren't told apart."""

    kind: LaneKind
    """Kind of its requests."""


class _Entry(NamedTuple):
    order: tuple[float, float]
    number: int
    queued: queued_jobs.QueuedJob


class _Heap:
    """A heap whose entries may leave it from anywhere."""

    def __init__(self, number_by_key: dict[work.JobKey, int]) -> None:
        self._number_by_key = number_by_key
        self._entries: list[_Entry] = []

    def push(self, entry: _Entry) -> None:
        if len(self._entries) > max(_MIN_HEAP_LENGTH, 2 * len(self._number_by_key)):
            self._entries = [one for one in self._entries if self._is_current(one)]
            heapq.heapify(self._entries)
        heapq.heappush(self._entries, entry)

    def first(self) -> _Entry | None:
        while self._entries and not self._is_current(self._entries[0]):
            heapq.heappop(self._entries)
        return self._entries[0] if self._entries else None

    def _is_current(self, entry: _Entry) -> bool:
        return self._number_by_key.get(entry.queued.job.key) == entry.number


class _Lane:
    """Requests of one lane, by worth and then oldest or newest first."""

    def __init__(self) -> None:
        self._number_by_key: dict[work.JobKey, int] = {}
        self._oldest_first = _Heap(self._number_by_key)
        self._newest_first = _Heap(self._number_by_key)

    def __len__(self) -> int:
        return len(self._number_by_key)

    def add(self, queued: queued_jobs.QueuedJob, worth: float, order: float, number: int) -> None:
        self._number_by_key[queued.job.key] = number
        self._oldest_first.push(_Entry((-worth, order), number, queued))
        self._newest_first.push(_Entry((-worth, -order), number, queued))

    def discard(self, key: work.JobKey) -> None:
        self._number_by_key.pop(key, None)

    def first(self, *, is_newest_first: bool) -> _Entry | None:
        return (self._newest_first if is_newest_first else self._oldest_first).first()


class Candidate(NamedTuple):
    """The first request of a lane."""

    lane: LaneKey
    """The lane."""

    queued: queued_jobs.QueuedJob
    """The request."""


def _worth(queued: queued_jobs.QueuedJob, kind: LaneKind, *, is_late: bool) -> float:
    """Return a request's value rounded to a power of two; requests of about the same are equal."""
    if kind is LaneKind.LATE:
        return 0.0
    value = queued.job.value
    if is_late:
        value *= 1 - engine_forecast.LATE_LOSS_SHARE
    return math.floor(math.log2(value))


class ServiceLanes:
    """The requests that wait for one service."""

    def __init__(self, *, has_organisations: bool) -> None:
        """Create without requests.

        Args:
            has_organisations: Whether each organisation has lanes of its own.
        """
        self._has_organisations = has_organisations
        self._numbers = itertools.count()
        self._lane_by_key: dict[LaneKey, _Lane] = {}
        self._lane_key_by_job: dict[work.JobKey, LaneKey] = {}
        self._number_by_job: dict[work.JobKey, int] = {}
        self._turns_late = _Heap(self._number_by_job)
        self._expires = _Heap(self._number_by_job)
        self._parked: list[tuple[float, int, queued_jobs.QueuedJob]] = []
        self.late_count = 0
        """Short requests that can't be in time."""

    def __len__(self) -> int:
        """Return the number of queued requests, those that are parked included."""
        return len(self._number_by_job)

    def add(self, queued: queued_jobs.QueuedJob, *, is_late: bool) -> None:
        """Queue a request, or queue it anew once it has become late.

        Args:
            queued: The request.
            is_late: Whether it can't be in time.
        """
        key = queued.job.key
        self.discard(key)
        number = next(self._numbers)
        self._number_by_job[key] = number
        self._expires.push(
            _Entry((queued.expires_at - queued.service_seconds, 0.0), number, queued)
        )
        if not is_late and not queued.must_be_served:
            self._turns_late.push(_Entry((queued.late_at, 0.0), number, queued))
        self._add_to_lane(queued, is_late=is_late)

    def _add_to_lane(self, queued: queued_jobs.QueuedJob, *, is_late: bool) -> None:
        # A number of its own tells the entry from that which it left in the lane when parked.
        number = next(self._numbers)
        kind = LaneKind.SHORT if queued.is_short else LaneKind.LONG
        if is_late and queued.is_short and not queued.must_be_served:
            kind = LaneKind.LATE
            self.late_count += 1
        lane_key = LaneKey(
            queued.job.priority,
            not queued.must_be_served,
            queued.job.organisation if self._has_organisations else "",
            kind,
        )
        order = queued.expires_at if kind is LaneKind.LATE else queued.queued_at
        lane = self._lane_by_key.setdefault(lane_key, _Lane())
        lane.add(queued, _worth(queued, kind, is_late=is_late), order, number)
        self._lane_key_by_job[queued.job.key] = lane_key

    def discard(self, key: work.JobKey) -> None:
        """Remove a request.

        Args:
            key: The request; ignored if it isn't queued.
        """
        self._number_by_job.pop(key, None)
        self._discard_from_lane(key)

    def _discard_from_lane(self, key: work.JobKey) -> None:
        lane_key = self._lane_key_by_job.pop(key, None)
        if lane_key is None:
            return
        self.late_count -= lane_key.kind is LaneKind.LATE
        lane = self._lane_by_key[lane_key]
        lane.discard(key)
        if not len(lane):
            del self._lane_by_key[lane_key]

    def park(self, queued: queued_jobs.QueuedJob, until: float) -> None:
        """Leave a request out of `first` for some time.

        Args:
            queued: The request.
            until: Loop time from which it takes part again.
        """
        number = self._number_by_job[queued.job.key]
        self._discard_from_lane(queued.job.key)
        heapq.heappush(self._parked, (until, number, queued))

    def unpark(self, now: float) -> None:
        """Let the parked requests whose time has come take part again.

        Args:
            now: Loop time.
        """
        while self._parked and self._parked[0][0] <= now:
            _, number, queued = heapq.heappop(self._parked)
            if self._number_by_job.get(queued.job.key) == number:
                self._add_to_lane(queued, is_late=queued.misses_target(now))

    def turned_late(self, now: float) -> Iterator[queued_jobs.QueuedJob]:
        """Yield the requests that have become late; each must be removed or queued anew.

        Args:
            now: Loop time.
        """
        while (entry := self._turns_late.first()) is not None and entry.order[0] <= now:
            yield entry.queued

    def expired(self, now: float) -> Iterator[queued_jobs.QueuedJob]:
        """Yield the requests that can't be served any more; each must be removed.

        Args:
            now: Loop time.
        """
        while (entry := self._expires.first()) is not None and entry.order[0] <= now:
            yield entry.queued

    def is_standing(self, now: float) -> bool:
        """Whether a request in time has used most of the time that it can wait.

        Args:
            now: Loop time.
        """
        entry = self._turns_late.first()
        if entry is None:
            return False
        patience = entry.order[0] - entry.queued.queued_at
        return now - entry.queued.queued_at > STANDING_SHARE * patience

    def has_more_urgent(self, priority: int) -> bool:
        """Whether a short request of a higher priority waits.

        Args:
            priority: The priority.
        """
        return any(
            lane.priority < priority and lane.kind is not LaneKind.LONG
            for lane in self._lane_by_key
        )

    def has_less_urgent(self, priority: int) -> bool:
        """Whether a request of a lower priority waits that late ones of a higher one hold back.

        Args:
            priority: The priority.
        """
        return any(
            lane.priority > priority and lane.kind is not LaneKind.LATE
            for lane in self._lane_by_key
        )

    def goes_before(
        self, job: work.Job, share_rank: Callable[[work.Job], organisation_shares.Rank]
    ) -> bool:
        """Whether a short request of another organisation that can be in time goes before a new one.

        Args:
            job: The new request.
            share_rank: Returns the rank of a request's organisation.
        """
        own_rank = share_rank(job)
        for lane_key, lane in self._lane_by_key.items():
            if lane_key.kind is not LaneKind.SHORT or lane_key.priority != job.priority:
                continue
            entry = lane.first(is_newest_first=False)
            if (
                entry is not None
                and lane_key.organisation != job.organisation
                and share_rank(entry.queued.job) < own_rank
            ):
                return True
        return False

    def first(
        self,
        blocked: Collection[LaneKey],
        share_rank: Callable[[work.Job], organisation_shares.Rank],
        *,
        is_standing: bool,
    ) -> Candidate | None:
        """Return the request that is placed next; None if there is none.

        Args:
            blocked: Lanes that are left out.
            share_rank: Returns the rank of a request's organisation.
            is_standing: Whether the newest of about the same value go first.
        """
        best: tuple[tuple[float, ...], Candidate] | None = None
        for lane_key, lane in self._lane_by_key.items():
            if lane_key in blocked:
                continue
            is_newest_first = (
                is_standing and lane_key.is_ordinary and lane_key.kind is LaneKind.SHORT
            )
            entry = lane.first(is_newest_first=is_newest_first)
            if entry is None:
                continue
            rank = share_rank(entry.queued.job)
            key = (
                lane_key.priority,
                lane_key.is_ordinary,
                rank.is_over_share,
                lane_key.kind is LaneKind.LATE,
                rank.start,
                *entry.order,
                entry.number,
            )
            if best is None or key < best[0]:
                best = (key, Candidate(lane_key, entry.queued))
        return best[1] if best else None

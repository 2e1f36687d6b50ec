"""The waiting requests of one model, by length class and urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import fair_queue
from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import Collection

BATCH_SHARE = 0.15
"""Share of the dispatched tokens that waiting batch requests get at least."""

BATCH_CREDIT_LIMIT_TOKENS = 2_000_000
"""Most credit that waiting batch requests collect, tokens."""


class LaneKey(NamedTuple):
    """Identity of a lane."""

    urgency: requests.Urgency
    """Priority of its requests."""
    length: requests.LengthClass
    """Length class of its requests."""


LANE_ORDER = tuple(
    LaneKey(urgency, length)
    for urgency in (requests.Urgency.INTERACTIVE, requests.Urgency.BATCH)
    for length in requests.LengthClass
)
"""Lanes in the order in which they are served."""

FIRST_BATCH_INDEX = 3
"""Index of the first batch lane in the order of service."""


def lane_of(request: requests.ModelRequest) -> LaneKey:
    """Return the lane of a request.

    Args:
        request: The request.

    Returns:
        The lane.
    """
    return LaneKey(request.urgency, request.length_class)


class LaneSet:
    """A fair queue for each lane, and the share that is guaranteed to batch requests."""

    def __init__(self) -> None:
        """Create empty lanes."""
        self.queues_by_lane = {key: fair_queue.FairQueue() for key in LANE_ORDER}
        self._queues = tuple(self.queues_by_lane.items())
        self._batch_credit = 0.0
        self._served_by_batch_lane = dict.fromkeys(LANE_ORDER[FIRST_BATCH_INDEX:], 0.0)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum([queue.count for _, queue in self._queues])

    def next_lane(self, now: float, blocked: Collection[LaneKey]) -> LaneKey | None:
        """Return the lane to serve next.

        Args:
            now: Time, seconds.
            blocked: Lanes that cannot be served now.

        Returns:
            A lane with a request that has to start by now; else a batch lane that is owed its
            share; else the first in order; `None` where nothing waits that can be served.
        """
        waiting = [pair for pair in self._queues if pair[1].count and pair[0] not in blocked]
        if not waiting:
            return None
        if waiting[-1][0].urgency is requests.Urgency.BATCH:
            is_batch_due = self._has_batch_credit()
            waiting.sort(key=lambda pair: self._sort_key(pair[0], is_batch_due))
        for key, queue in waiting:
            if queue.has_urgent(now):
                return key
        return waiting[0][0]

    def _sort_key(self, lane: LaneKey, is_batch_due: bool) -> tuple[bool, float]:
        """Return the sort key of a lane; batch lanes go by what they have had."""
        is_batch = lane.urgency is requests.Urgency.BATCH
        return is_batch != is_batch_due, self._served_by_batch_lane[lane] if is_batch else 0.0

    def has_queued_interactive(self) -> bool:
        """Tell whether a short or medium interactive request waits."""
        return bool(self._queues[0][1].count or self._queues[1][1].count)

    def charge(self, lane: LaneKey, tokens: int) -> None:
        """Account for tokens that were dispatched.

        Args:
            lane: Lane that they came from.
            tokens: Tokens.
        """
        if lane.urgency is requests.Urgency.BATCH:
            self._batch_credit = max(0.0, self._batch_credit - tokens)
            self._served_by_batch_lane[lane] += tokens
            self._raise_idle_lanes()
        elif self._has_queued_batch():
            credit = self._batch_credit + tokens * BATCH_SHARE / (1 - BATCH_SHARE)
            self._batch_credit = min(credit, BATCH_CREDIT_LIMIT_TOKENS)

    def _raise_idle_lanes(self) -> None:
        """Let no batch lane save up a claim while nothing waits in it."""
        served = self._served_by_batch_lane
        waiting = [served[key] for key in served if self.queues_by_lane[key]]
        if not waiting:
            return
        least = min(waiting)
        for key in served:
            if not self.queues_by_lane[key]:
                served[key] = max(served[key], least)

    def queued_tokens(self) -> tuple[int, ...]:
        """Return the waiting tokens by lane, in the order of service."""
        return tuple([queue.tokens for _, queue in self._queues])

    def _has_queued_batch(self) -> bool:
        return any([queue.count for _, queue in self._queues[FIRST_BATCH_INDEX:]])

    def _has_batch_credit(self) -> bool:
        if self._batch_credit <= 0.0:
            return False
        return any(
            item is not None and item.cost_tokens <= self._batch_credit
            for item in (self.queues_by_lane[key].head() for key in LANE_ORDER[FIRST_BATCH_INDEX:])
        )

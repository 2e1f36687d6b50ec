"""Lanes: the queued requests of one model, a queue for each urgency and length class."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import fair_queue
from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import Collection

BATCH_SHARE = 0.15
"""Minimum share of the dispatched tokens that batch requests get while some are queued."""

BATCH_CREDIT_LIMIT_TOKENS = 2_000_000
"""Maximum of the tokens that batch requests may have dispatched before interactive ones.

They collect these tokens while interactive requests are dispatched and batch requests are queued.
"""


class LaneKey(NamedTuple):
    """Urgency and length class of a lane's requests."""

    urgency: requests.Urgency
    """Interactive or batch."""
    length: requests.LengthClass
    """Short, medium or long."""


LANE_ORDER = tuple(
    LaneKey(urgency, length)
    for urgency in (requests.Urgency.INTERACTIVE, requests.Urgency.BATCH)
    for length in requests.LengthClass
)
"""Lanes in the order of service: interactive before batch, shorter before longer."""

FIRST_BATCH_INDEX = 3
"""Index of the first batch lane in `LANE_ORDER`."""


def lane_of(request: requests.ModelRequest) -> LaneKey:
    """Return the lane of a request.

    Args:
        request: The request.

    Returns:
        The lane.
    """
    return LaneKey(request.urgency, request.length_class)


class LaneSet:
    """A fair queue for each lane, with a guaranteed share of the tokens for batch requests."""

    def __init__(self) -> None:
        """Create empty lanes."""
        self.queues_by_lane = {key: fair_queue.FairQueue() for key in LANE_ORDER}
        """Queue of each lane, in the order of `LANE_ORDER`."""
        self._queues = tuple(self.queues_by_lane.items())
        self._batch_credit = 0.0
        self._served_by_batch_lane = dict.fromkeys(LANE_ORDER[FIRST_BATCH_INDEX:], 0.0)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return sum([queue.count for _, queue in self._queues])

    def next_lane(self, now: float, blocked: Collection[LaneKey]) -> LaneKey | None:
        """Return the lane to serve next.

        Args:
            now: Loop time, seconds.
            blocked: Lanes that cannot be served now.

        Returns:
            The first lane with a request whose latest start time is reached; else, while batch
            requests have enough credit for one, the batch lane with the fewest dispatched tokens;
            else the first lane in order; `None` if every lane is empty or blocked.
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
        """Return the sort key of a lane; batch lanes are ordered by their dispatched tokens."""
        is_batch = lane.urgency is requests.Urgency.BATCH
        return is_batch != is_batch_due, self._served_by_batch_lane[lane] if is_batch else 0.0

    def has_queued_interactive(self) -> bool:
        """Return whether a short or medium interactive request is queued."""
        return bool(self._queues[0][1].count or self._queues[1][1].count)

    def charge(self, lane: LaneKey, tokens: int) -> None:
        """Account for the tokens of a dispatched request.

        A batch request reduces the batch credit, the tokens that batch requests may have dispatched
        before interactive ones; an interactive one adds to it while batch requests are queued.

        Args:
            lane: Lane of the request.
            tokens: Cost of the request, tokens.
        """
        if lane.urgency is requests.Urgency.BATCH:
            self._batch_credit = max(0.0, self._batch_credit - tokens)
            self._served_by_batch_lane[lane] += tokens
            self._raise_idle_lanes()
        elif self._has_queued_batch():
            credit = self._batch_credit + tokens * BATCH_SHARE / (1 - BATCH_SHARE)
            self._batch_credit = min(credit, BATCH_CREDIT_LIMIT_TOKENS)

    def _raise_idle_lanes(self) -> None:
        """Raise the dispatched tokens of empty batch lanes to the minimum of those with requests.

        Otherwise a lane that was empty for long would be served alone until it had caught up.
        """
        served = self._served_by_batch_lane
        waiting = [served[key] for key in served if self.queues_by_lane[key]]
        if not waiting:
            return
        least = min(waiting)
        for key in served:
            if not self.queues_by_lane[key]:
                served[key] = max(served[key], least)

    def queued_tokens(self) -> tuple[int, ...]:
        """Return the summed cost of queued requests by lane, in the order of `LANE_ORDER`."""
        return tuple([queue.tokens for _, queue in self._queues])

    def _has_queued_batch(self) -> bool:
        """Return whether a batch request is queued."""
        return any([queue.count for _, queue in self._queues[FIRST_BATCH_INDEX:]])

    def _has_batch_credit(self) -> bool:
        """Return whether the batch credit covers the next request of a batch lane."""
        if self._batch_credit <= 0.0:
            return False
        return any(
            item is not None and item.cost_tokens <= self._batch_credit
            for item in (self.queues_by_lane[key].head() for key in LANE_ORDER[FIRST_BATCH_INDEX:])
        )

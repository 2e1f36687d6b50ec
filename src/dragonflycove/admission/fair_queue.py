"""Weighted fair queueing by tokens between organisations, earliest deadline first inside each."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from dragonflycove.fairness import virtual_clock

STALE_ENTRIES_LIMIT = 64
"""Number of entries of removed requests that a heap may keep before it is rebuilt."""


class QueuedRequest(NamedTuple):
    """One queued request; ordered by deadline, then by arrival."""

    deadline: float
    """Loop time by which the request has to finish, seconds."""
    sequence: int
    """Sequence number of its arrival in this queue."""
    request_id: str
    """Identifier of the request."""
    organisation: str
    """Name of its organisation."""
    cost_tokens: int
    """Tokens charged to the organisation."""
    latest_start: float
    """Latest loop time at which it can start and still finish before its deadline, seconds."""


class _Organisation:
    """Queued requests of one organisation, with its virtual finish time."""

    __slots__ = ("finish", "items", "tokens", "weight")

    def __init__(self, finish: float, weight: float) -> None:
        self.finish = finish
        """Virtual finish time; grows by charged tokens divided by the weight."""
        self.weight = weight
        """Its weight, above 0."""
        self.items: list[QueuedRequest] = []
        """Heap of its queued requests by deadline; may still have removed ones."""
        self.tokens = 0
        """Summed cost of its queued requests, tokens."""


class FairQueue:
    """Start-time fair queueing over token costs, with priority for requests that must start now.

    Keeps state only for organisations that have queued requests or whose virtual finish time is
    still ahead of the queue's virtual time.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._clock = virtual_clock.VirtualClock()
        self._active_by_name: dict[str, _Organisation] = {}
        self._order: list[tuple[float, str]] = []
        self._items_by_id: dict[str, QueuedRequest] = {}
        self._latest_starts: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = 0
        self.count = 0
        """Number of queued requests."""
        self.tokens = 0
        """Summed cost of the queued requests, tokens."""
        self.active_weight = 0.0
        """Summed weight of the organisations with queued requests."""

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._items_by_id)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request is queued."""
        return request_id in self._items_by_id

    @property
    def tracked_organisations(self) -> int:
        """Number of organisations for which the queue keeps state."""
        return len(self._active_by_name) + self._clock.idle_count

    def push(
        self,
        request_id: str,
        organisation: str,
        weight: float,
        cost_tokens: int,
        deadline: float,
        latest_start: float,
    ) -> None:
        """Add a request.

        Args:
            request_id: Identifier of the request, which is not queued yet.
            organisation: Name of its organisation.
            weight: The organisation's weight, above 0.
            cost_tokens: Tokens to charge to the organisation; charged as 1 if it is 0.
            deadline: Loop time by which it has to finish, seconds.
            latest_start: Latest loop time at which it can start and still finish by then, seconds.
        """
        self._sequence += 1
        item = QueuedRequest(
            deadline, self._sequence, request_id, organisation, max(1, cost_tokens), latest_start
        )
        state = self._active_by_name.get(organisation)
        if state is None:
            finish = self._clock.join(organisation)
            state = _Organisation(finish, weight)
            self._active_by_name[organisation] = state
            self.active_weight += weight
            heapq.heappush(self._order, (finish, organisation))
        heapq.heappush(state.items, item)
        heapq.heappush(self._latest_starts, (latest_start, self._sequence, item))
        state.tokens += item.cost_tokens
        self.tokens += item.cost_tokens
        self._items_by_id[request_id] = item
        self.count += 1

    def organisation_tokens(self, organisation: str) -> int:
        """Return the summed cost of an organisation's queued requests.

        Args:
            organisation: Name of the organisation.

        Returns:
            Tokens; 0 if none is queued.
        """
        state = self._active_by_name.get(organisation)
        return 0 if state is None else state.tokens

    def peek(self, now: float) -> QueuedRequest | None:
        """Return the request to serve next without removing it.

        Args:
            now: Loop time, seconds.

        Returns:
            The request with the earliest `latest_start` if that time is reached; else the request
            with the earliest deadline of the organisation with the lowest virtual finish time;
            `None` if the queue is empty.
        """
        head = self.head()
        if head is None:
            return None
        latest_start, _, urgent = self._latest_starts[0]
        return urgent if latest_start <= now else head

    def has_urgent(self, now: float) -> bool:
        """Return whether the latest start time of a queued request is reached.

        Args:
            now: Loop time, seconds.

        Returns:
            True if a request has to start now to finish before its deadline.
        """
        self._discard_stale_entries()
        return bool(self._latest_starts) and self._latest_starts[0][0] <= now

    def head(self) -> QueuedRequest | None:
        """Return the next request in fair order, ignoring latest starts; `None` if empty."""
        self._discard_stale_entries()
        if not self._items_by_id:
            return None
        return self._active_by_name[self._order[0][1]].items[0]

    def take(self, request_id: str) -> QueuedRequest:
        """Remove a request to be dispatched, and charge its organisation.

        Args:
            request_id: Identifier of a queued request.

        Returns:
            The request.
        """
        self._discard_stale_entries()
        item = self._items_by_id.pop(request_id)
        state = self._active_by_name[item.organisation]
        self._clock.advance(self._order[0][0])
        state.finish = self._clock.charge(item.organisation, item.cost_tokens, state.weight)
        self._drop(item, state)
        if item.organisation in self._active_by_name:
            heapq.heappush(self._order, (state.finish, item.organisation))
        self._discard_stale_entries()
        return item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request that is not dispatched, without charging its organisation.

        Args:
            request_id: Identifier of the request.

        Returns:
            The request, or `None` if it is not queued.
        """
        item = self._items_by_id.pop(request_id, None)
        if item is not None:
            self._drop(item, self._active_by_name[item.organisation])
            self._discard_stale_entries()
        return item

    def items(self) -> list[QueuedRequest]:
        """Return all queued requests, in the order of arrival."""
        return list(self._items_by_id.values())

    def _drop(self, item: QueuedRequest, state: _Organisation) -> None:
        """Subtract a removed request from the totals; drop its organisation if none is left."""
        self.count -= 1
        state.tokens -= item.cost_tokens
        self.tokens -= item.cost_tokens
        while state.items and not self._is_queued(state.items[0]):
            heapq.heappop(state.items)
        if not state.items:
            del self._active_by_name[item.organisation]
            self._clock.leave(item.organisation)
            self.active_weight -= state.weight

    def _is_queued(self, item: QueuedRequest) -> bool:
        return self._items_by_id.get(item.request_id) is item

    def _discard_stale_entries(self) -> None:
        """Discard heap entries of removed requests and outdated finish times."""
        if len(self._latest_starts) > 2 * len(self._items_by_id) + STALE_ENTRIES_LIMIT:
            self._latest_starts = [
                entry for entry in self._latest_starts if self._is_queued(entry[2])
            ]
            heapq.heapify(self._latest_starts)
        while self._latest_starts and not self._is_queued(self._latest_starts[0][2]):
            heapq.heappop(self._latest_starts)
        if len(self._order) > 2 * len(self._active_by_name) + STALE_ENTRIES_LIMIT:
            self._order = [(state.finish, name) for name, state in self._active_by_name.items()]
            heapq.heapify(self._order)
        while self._order:
            finish, name = self._order[0]
            state = self._active_by_name.get(name)
            if state is not None and state.finish == finish:
                break
            heapq.heappop(self._order)
        if not self._items_by_id:
            self._active_by_name.clear()
            self._clock.clear()
            self._order.clear()
            self.active_weight = 0.0
        elif self._clock.idle_count > 2 * len(self._active_by_name) + STALE_ENTRIES_LIMIT:
            self._clock.forget_idle(len(self._active_by_name) + STALE_ENTRIES_LIMIT // 2)

"""Weighted virtual time, by which organisations that compete for one resource take turns.

The rule is start-time fair queueing (Goyal, Vin, Cheng: Start-time Fair Queuing, SIGCOMM 1996). It
answers demand of very unequal organisations: each that has waiting requests is served in proportion
to its weight, within the cost of one request, and capacity that one doesn't use goes to the others.
"""

from __future__ import annotations

import heapq


class VirtualClock:
    """Virtual time of one resource, and the virtual finish times that are ahead of it.

    Organisations that are known to wait are kept; of the others, a user forgets all but some.
    """

    __slots__ = ("_finish_by_idle", "_finish_by_waiting", "time")

    def __init__(self) -> None:
        """Create a clock at time 0 that knows no organisation."""
        self.time = 0.0
        """Virtual time; it never goes back."""
        self._finish_by_waiting: dict[str, float] = {}
        self._finish_by_idle: dict[str, float] = {}

    @property
    def idle_count(self) -> int:
        """Organisations for which a finish time is kept though they aren't known to wait."""
        return len(self._finish_by_idle)

    def start(self, name: str) -> float:
        """Return the virtual start time of an organisation's next request; the lowest is next.

        Args:
            name: The organisation.
        """
        finish = self._finish_by_waiting.get(name, self._finish_by_idle.get(name, 0.0))
        return max(self.time, finish)

    def join(self, name: str) -> float:
        """Mark an organisation as waiting.

        Args:
            name: The organisation, which isn't waiting yet.

        Returns:
            The virtual start time of its next request.
        """
        start = self.start(name)
        self._finish_by_idle.pop(name, None)
        self._finish_by_waiting[name] = start
        return start

    def leave(self, name: str) -> None:
        """Mark an organisation as no longer waiting.

        Args:
            name: The organisation, which is waiting.
        """
        finish = self._finish_by_waiting.pop(name)
        if finish > self.time:
            self._finish_by_idle[name] = finish

    def advance(self, to: float) -> None:
        """Move the virtual time on.

        Args:
            to: Start time of the request that is served; ignored if it has passed.
        """
        self.time = max(self.time, to)

    def charge(self, name: str, cost: float, weight: float) -> float:
        """Charge an organisation for a request that is served.

        Args:
            name: The organisation.
            cost: Cost of the request, in any unit.
            weight: Weight of the organisation, above 0.

        Returns:
            The virtual finish time, which is the earliest start of its next request.
        """
        finish = self.start(name) + cost / weight
        self._set_finish(name, finish)
        return finish

    def owe_at_least(self, name: str, cost: float, weight: float) -> None:
        """Let an organisation's next request start no earlier than after one of some cost.

        Args:
            name: The organisation.
            cost: Cost of a request that it is known to have had served.
            weight: Weight of the organisation, above 0.
        """
        self._set_finish(name, max(self.start(name), self.time + cost / weight))

    def _set_finish(self, name: str, finish: float) -> None:
        is_waiting = name in self._finish_by_waiting
        (self._finish_by_waiting if is_waiting else self._finish_by_idle)[name] = finish

    def forget_idle(self, limit: int) -> None:
        """Drop finish times of idle organisations that have passed, and all but the latest others.

        Args:
            limit: Number of idle organisations to keep.
        """
        ahead = ((at, name) for name, at in self._finish_by_idle.items() if at > self.time)
        self._finish_by_idle = {name: at for at, name in heapq.nlargest(limit, ahead)}

    def clear(self) -> None:
        """Forget all organisations; the virtual time stays."""
        self._finish_by_waiting.clear()
        self._finish_by_idle.clear()

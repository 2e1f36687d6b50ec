"""Discrete-event scheduler in virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Runs callbacks in order of virtual time; those of equal time run in order of scheduling."""

    def __init__(self) -> None:
        """Create a timeline at time 0."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def after(self, seconds: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a callback.

        Args:
            seconds: Delay in virtual time, seconds.
            callback: Function to call.
            arguments: Arguments of the function.
        """
        self._sequence += 1
        heapq.heappush(self._events, (self.now + seconds, self._sequence, callback, arguments))

    def run(self, until: float) -> None:
        """Run all callbacks that are due by a time, and advance virtual time to it.

        Args:
            until: Virtual time to advance to, seconds.
        """
        while self._events and self._events[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = until

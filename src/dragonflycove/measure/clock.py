"""Virtual time: callbacks in the order of their times."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class Timeline:
    """Runs callbacks in virtual time; the same calls give the same order."""

    def __init__(self) -> None:
        """Create a timeline at time 0."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def after(self, seconds: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Call something later.

        Args:
            seconds: From now.
            call: What to call.
            arguments: Its arguments.
        """
        self._sequence += 1
        heapq.heappush(self._events, (self.now + seconds, self._sequence, callback, arguments))

    def run(self, until: float) -> None:
        """Run everything that is due.

        Args:
            until: Time at which to stop, seconds.
        """
        while self._events and self._events[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = until

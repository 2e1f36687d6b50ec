"""This node's share of the repeated sends that the fleet allows itself per service.

A service may get a ratio of its requests, and an allowance beside it, as repeats in any window,
summed over all nodes. Each node spends the ratio of the requests that it sent itself and an equal
part of the allowance, so the sum stays within the bound without a message.
"""

from __future__ import annotations

import collections

ALLOWANCE_SHARE = 0.6
"""Share of the allowance that all nodes together spend; the rest covers nodes not known to others,
and nodes that have restarted."""

FIRST_WINDOW_SHARE = 0.15
"""Share of the allowance that nodes spend in their first window.

What the process before spent is not known, and all nodes may restart twice in a window.
"""

RATIO_SHARE = 0.9
"""Share of the ratio that is spent; windows of the two counts don't begin together."""


class RetryShare:
    """Sends and repeats of one node within the window, by service."""

    def __init__(
        self, ratio: float, allowance: float, window_seconds: float, started_at: float
    ) -> None:
        """Create a share that has spent nothing.

        Args:
            ratio: Repeats allowed per request, over the fleet.
            allowance: Repeats allowed per window beside the ratio, over the fleet.
            window_seconds: The window.
            started_at: Loop time at which this process started.
        """
        self._started_at = started_at
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._requests_by_service: dict[str, collections.deque[float]] = {}
        self._repeats_by_service: dict[str, collections.deque[float]] = {}

    def on_request(self, service: str, now: float) -> None:
        """Count a request's first send.

        Args:
            service: The service.
            now: Loop time.
        """
        self._window(self._requests_by_service, service, now).append(now)

    def spend(self, service: str, nodes: int, now: float) -> bool:
        """Take one repeat if the share allows it.

        Args:
            service: The service.
            nodes: Nodes that may be sending, this one included.
            now: Loop time.

        Returns:
            Whether the request may be sent again.
        """
        if not self.can_spend(service, nodes, now):
            return False
        self._window(self._repeats_by_service, service, now).append(now)
        return True

    def can_spend(self, service: str, nodes: int, now: float) -> bool:
        """Whether the share allows another repeat.

        Args:
            service: The service.
            nodes: Nodes that may be sending, this one included.
            now: Loop time.
        """
        return self.spent(service, now) + 1 <= self.limit(service, nodes, now)

    def limit(self, service: str, nodes: int, now: float) -> float:
        """Return the repeats that this node may have in the window.

        Args:
            service: The service.
            nodes: Nodes that may be sending.
            now: Loop time.
        """
        requests = len(self._window(self._requests_by_service, service, now))
        own = self._ratio * RATIO_SHARE * requests
        is_first = now - self._started_at < self._window_seconds
        share = FIRST_WINDOW_SHARE if is_first else ALLOWANCE_SHARE
        return own + self._allowance * share / max(1, nodes)

    def spent(self, service: str, now: float) -> int:
        """Return the repeats within the window.

        Args:
            service: The service.
            now: Loop time.
        """
        return len(self._window(self._repeats_by_service, service, now))

    def _window(
        self, by_service: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_seconds:
            times.popleft()
        return times

"""This node's share of the fleet's retry budget per service.

In any window, all nodes together may retry up to a ratio of a service's requests plus a fixed
allowance. Each node spends the ratio of its own requests and an equal part of the allowance, so the
sum stays within the budget without messages between nodes.
"""

from __future__ import annotations

import collections

ALLOWANCE_SHARE = 0.6
"""Share of the allowance that all nodes together may spend.

The rest covers nodes that others don't know of and nodes that have restarted.
"""

FIRST_WINDOW_SHARE = 0.15
"""Share of the allowance that all nodes together may spend in the first window after their start.

A new process doesn't know what its predecessor spent, and all nodes may restart twice in a window.
"""

RATIO_SHARE = 0.9
"""Share of the ratio that a node may spend; the fleet's and a node's windows don't coincide."""


class RetryBudgetShare:
    """Requests and retries of one node within the window, by service."""

    def __init__(
        self, ratio: float, allowance: float, window_seconds: float, started_at: float
    ) -> None:
        """Create a share; no requests or retries are counted yet.

        Args:
            ratio: Retries allowed per request, over the fleet.
            allowance: Retries allowed per window in addition to the ratio, over the fleet.
            window_seconds: Length of the sliding window.
            started_at: Loop time at which this process started.
        """
        self._started_at = started_at
        self._ratio = ratio
        self._allowance = allowance
        self._window_seconds = window_seconds
        self._request_times_by_service: dict[str, collections.deque[float]] = {}
        self._retry_times_by_service: dict[str, collections.deque[float]] = {}

    def on_request(self, service: str, now: float) -> None:
        """Count a request at its first attempt.

        Args:
            service: The service.
            now: Loop time.
        """
        self._times_in_window(self._request_times_by_service, service, now).append(now)

    def spend(self, service: str, nodes: int, now: float) -> bool:
        """Count one retry if the share allows it.

        Args:
            service: The service.
            nodes: Number of nodes that may send to the service, this one included; 0 if unknown.
            now: Loop time.

        Returns:
            Whether the request may be retried.
        """
        if not self.can_spend(service, nodes, now):
            return False
        self._times_in_window(self._retry_times_by_service, service, now).append(now)
        return True

    def take_back(self, service: str, spent_at: float) -> None:
        """Stop counting a retry that was not sent, unless it has left the window.

        Args:
            service: The service.
            spent_at: Loop time at which it was counted.
        """
        times = self._retry_times_by_service.get(service)
        if times and spent_at in times:
            times.remove(spent_at)

    def can_spend(self, service: str, nodes: int, now: float) -> bool:
        """Whether the share allows another retry.

        Args:
            service: The service.
            nodes: Number of nodes that may send to the service, this one included; 0 if unknown.
            now: Loop time.
        """
        return self.spent(service, now) + 1 <= self.limit(service, nodes, now)

    def limit(self, service: str, nodes: int, now: float) -> float:
        """Return how many retries this node may send within the window.

        Args:
            service: The service.
            nodes: Number of nodes that may send to the service, this one included; 0 if unknown.
            now: Loop time.
        """
        requests = len(self._times_in_window(self._request_times_by_service, service, now))
        own = self._ratio * RATIO_SHARE * requests
        is_first = now - self._started_at < self._window_seconds
        share = FIRST_WINDOW_SHARE if is_first else ALLOWANCE_SHARE
        return own + (self._allowance * share / nodes if nodes else 0.0)

    def spent(self, service: str, now: float) -> int:
        """Return how many retries this node has sent within the window.

        Args:
            service: The service.
            now: Loop time.
        """
        return len(self._times_in_window(self._retry_times_by_service, service, now))

    def _times_in_window(
        self, by_service: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self._window_seconds:
            times.popleft()
        return times

"""Paces the requests to a backend server that takes only so many a second."""

from __future__ import annotations

BURST_SECONDS = 0.25
"""Time whose requests may be sent at once, so that short pauses of the callers cost nothing."""

MAX_PAUSE_SECONDS = 30.0
"""Longest pause between two requests, whatever the limit; only a response tells its end."""

MAX_DEBT = 2.0
"""Requests of other nodes, beyond the limit, that are made up for by later pauses."""


class RequestRate:
    """Token bucket of one server; a token lets one request through."""

    def __init__(self, now: float) -> None:
        """Create an empty bucket; a server that has just stated a limit is in need.

        Args:
            now: Loop time.
        """
        self._tokens = 0.0
        self._refilled_at = now

    def refill(self, requests_per_second: float, max_idle_seconds: float, now: float) -> float:
        """Add the tokens of the time since the last call.

        Args:
            requests_per_second: The rate since then; more than 0.
            max_idle_seconds: Time without calls that adds tokens at most.
            now: Loop time.

        Returns:
            The tokens; negative after more requests than the rate allows.
        """
        capacity = max(1.0, requests_per_second * BURST_SECONDS)
        seconds = min(max_idle_seconds, max(0.0, now - self._refilled_at))
        added = requests_per_second * seconds
        self._tokens = min(capacity, self._tokens + added)
        self._refilled_at = now
        return self._tokens

    def take(self, count: float) -> None:
        """Take tokens for requests that are sent.

        Args:
            count: Number of requests.
        """
        self._tokens = max(-MAX_DEBT, self._tokens - count)


def effective_rate(limit: float, share: float) -> float:
    """Return the requests a second that a node may place at a server with a limit.

    Args:
        limit: Requests a second that the server takes from all nodes.
        share: Share of the limit that the node may use; more than 0.
    """
    return max(limit, 1 / MAX_PAUSE_SECONDS) * share

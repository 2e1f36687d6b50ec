"""What a request remembers of its attempts that broke."""

from __future__ import annotations

import collections

from dragonflycove.values import outcomes

BROKEN_ATTEMPTS_LIMIT = 6
"""Attempts that may break before the request fails."""

BROKEN_EXCLUSION_SECONDS = 30.0
"""Time for which a request avoids a server at which an attempt broke, seconds."""

REFUSED_EXCLUSION_SECONDS = 1.0
"""Time for which a request avoids a server that refused it, seconds."""


class RetryState:
    """Counts retries, keeps the servers to avoid, and knows whether the request may have run.

    Args:
        ran: What is known at the start.
    """

    def __init__(self, ran: outcomes.Ran) -> None:
        self.ran = ran
        self.broken_attempts = 0
        self.retries_by_reason: collections.Counter[outcomes.Reason] = collections.Counter()
        self._excluded_until_by_server: dict[str, float] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether the request may break no further attempt."""
        return self.broken_attempts >= BROKEN_ATTEMPTS_LIMIT

    def exclude_refused(self, server_id: str, now: float) -> None:
        """Avoid for a while a server that refused the request.

        Args:
            server_id: The server.
            now: Time of the loop's clock, seconds.
        """
        self._excluded_until_by_server[server_id] = now + REFUSED_EXCLUSION_SECONDS

    def exclude_broken(self, server_id: str, now: float) -> None:
        """Avoid for a while a server at which an attempt broke, or that is leaving.

        Args:
            server_id: The server.
            now: Time of the loop's clock, seconds.
        """
        self._excluded_until_by_server[server_id] = now + BROKEN_EXCLUSION_SECONDS

    def excluded(self, now: float) -> frozenset[str]:
        """Return the servers to avoid, and forget those whose time is over.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            Identifiers of the servers.
        """
        items = self._excluded_until_by_server.items()
        self._excluded_until_by_server = {name: until for name, until in items if until > now}
        return frozenset(self._excluded_until_by_server)

    def note_sent(self) -> None:
        """Record that an attempt may have reached an engine."""
        if self.ran is outcomes.Ran.NOT_RUN:
            self.ran = outcomes.Ran.MAY_HAVE_RUN

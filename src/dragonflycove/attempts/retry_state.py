"""Failed attempts of a request, and the servers that it avoids because of them."""

from __future__ import annotations

import collections

from dragonflycove.values import outcomes

FAILED_ATTEMPTS_LIMIT = 6
"""Number of failed attempts that may have run at which the request fails."""

FAILED_EXCLUSION_SECONDS = 30.0
"""Time for which a request avoids a server where an attempt failed, seconds."""

REFUSED_EXCLUSION_SECONDS = 1.0
"""Time for which a request avoids a server that refused it, seconds."""


class RetryState:
    """Retry counters, excluded servers, and whether the request may have run.

    Args:
        ran: What is known at the start about whether the request ran at another node.
    """

    def __init__(self, ran: outcomes.Execution) -> None:
        self.ran = ran
        """What is known about whether an engine has run the request."""
        self.failed_attempts = 0
        """Failed attempts that may have run; attempts refused without running are not counted."""
        self.retries_by_reason: collections.Counter[outcomes.Reason] = collections.Counter()
        """Number of retries and resumes by reason."""
        self._excluded_until_by_server: dict[str, float] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether `FAILED_ATTEMPTS_LIMIT` is reached."""
        return self.failed_attempts >= FAILED_ATTEMPTS_LIMIT

    def exclude_refused(self, server_id: str, now: float) -> None:
        """Exclude a server that refused the request for `REFUSED_EXCLUSION_SECONDS`.

        Args:
            server_id: Identifier of the server.
            now: Loop time, seconds.
        """
        self._excluded_until_by_server[server_id] = now + REFUSED_EXCLUSION_SECONDS

    def exclude_failed(self, server_id: str, now: float) -> None:
        """Exclude a server where an attempt failed, or that is leaving.

        The exclusion lasts `BROKEN_EXCLUSION_SECONDS`.

        Args:
            server_id: Identifier of the server.
            now: Loop time, seconds.
        """
        self._excluded_until_by_server[server_id] = now + FAILED_EXCLUSION_SECONDS

    def excluded(self, now: float) -> frozenset[str]:
        """Return the excluded servers, and drop expired exclusions.

        Args:
            now: Loop time, seconds.

        Returns:
            Identifiers of the servers.
        """
        items = self._excluded_until_by_server.items()
        self._excluded_until_by_server = {name: until for name, until in items if until > now}
        return frozenset(self._excluded_until_by_server)

    def note_may_have_run(self) -> None:
        """Record that an engine may have run an attempt."""
        if self.ran is outcomes.Execution.NOT_RUN:
            self.ran = outcomes.Execution.MAY_HAVE_RUN

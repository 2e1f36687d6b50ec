"""Tracks servers' health by the outcomes of requests, as some health checks give wrong results."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

FAILURE_WEIGHT = 0.35
"""Weight of the newest request in the failure ratio; the last three requests dominate it."""

INITIAL_SUSPICION_SECONDS = 0.8
"""Time without new requests after a first lost connection or timeout; doubles each time."""

MAX_SUSPICION_SECONDS = 4.0
"""Upper limit of the time without new requests; a restarted server registers within about it."""

RATIO_HALF_LIFE_SECONDS = 8.0
"""Time in which the failure ratio of a server that gets no requests halves.

Servers fail for some seconds at a time; a shorter half-life sends requests before they recover.
"""

HELP_REFUSAL_SECONDS = 5.0
"""Time for which a server that refused to help isn't chosen as a helper.

A draining server refuses to help, and still serves its requests for some seconds.
"""

FULL_BACKOFF_SECONDS = 0.1
"""Time without new requests after a server refused one because it was full."""


class Outcome(enum.Enum):
    """How one attempt at a server ended, as evidence of the server's health."""

    ANSWERED = "answered"
    """A complete response or stream with a status below 500."""

    SERVER_ERROR = "server_error"
    """A complete response with a status of at least 500; the request ran."""

    FULL = "full"
    """The server refused the request without running it."""

    HELP_REFUSED = "help_refused"
    """The server refused to help another one.

    A draining server refuses before its record shows the state.
    """

    WRONG_INSTANCE = "wrong_instance"
    """Another server responded at the address."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, so nothing was sent."""

    BROKEN = "broken"
    """The connection was closed or the response was malformed."""

    TIMEOUT = "silent"
    """No response, or no further event, came before the timeout."""

    ABANDONED = "abandoned"
    """The caller disconnected or the deadline passed first; no evidence of the server's health."""


CONNECTION_FAILURES = frozenset({Outcome.UNREACHABLE, Outcome.BROKEN, Outcome.TIMEOUT})
"""Outcomes that may as well come from the path to the server."""


class _HealthState:
    """Failure ratio and suspicion of one server; times are loop times."""

    __slots__ = (
        "changed_at",
        "consecutive_failures",
        "ratio",
        "suspect_until",
        "help_refused_until",
    )

    def __init__(self) -> None:
        self.ratio = 0.0
        self.changed_at = 0.0
        self.suspect_until = 0.0
        self.help_refused_until = 0.0
        self.consecutive_failures = 0


class ServerHealth:
    """Failure ratios and suspicions of all servers, by their instances."""

    def __init__(self) -> None:
        """Create without outcomes; a server without outcomes counts as healthy."""
        self._record_by_instance: dict[catalog.Instance, _HealthState] = {}

    def on_outcome(self, instance: catalog.Instance, outcome: Outcome, now: float) -> bool:
        """Update a server's health by the outcome of a request.

        Args:
            instance: The server.
            outcome: How it ended.
            now: Loop time.

        Returns:
            Whether this outcome made the server a suspect.
        """
        if outcome is Outcome.ABANDONED:
            return False
        record = self._record_by_instance.setdefault(instance, _HealthState())
        if outcome is Outcome.HELP_REFUSED:
            record.help_refused_until = now + HELP_REFUSAL_SECONDS
            return False
        if outcome is Outcome.FULL:
            record.suspect_until = max(record.suspect_until, now + FULL_BACKOFF_SECONDS)
            return False
        is_failure = outcome is not Outcome.ANSWERED
        ratio = self.failure_ratio(instance, now)
        record.ratio = ratio + FAILURE_WEIGHT * (float(is_failure) - ratio)
        record.changed_at = now
        if not is_failure:
            record.consecutive_failures = 0
            record.suspect_until = 0.0
            return False
        if outcome is Outcome.SERVER_ERROR:
            return False
        was_suspect = record.suspect_until > now
        if not was_suspect:
            record.consecutive_failures += 1
            doubled = INITIAL_SUSPICION_SECONDS * 2 ** (record.consecutive_failures - 1)
            record.suspect_until = now + min(MAX_SUSPICION_SECONDS, doubled)
        return not was_suspect

    def is_suspect(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server should get no new requests at present.

        Args:
            instance: The server.
            now: Loop time.
        """
        record = self._record_by_instance.get(instance)
        return record is not None and record.suspect_until > now

    def refuses_help(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server has refused to help within the last `HELP_REFUSAL_SECONDS`.

        Args:
            instance: The server.
            now: Loop time.
        """
        record = self._record_by_instance.get(instance)
        return record is not None and record.help_refused_until > now

    def failure_ratio(self, instance: catalog.Instance, now: float) -> float:
        """Return the exponentially weighted share of recent requests that failed.

        Args:
            instance: The server.
            now: Loop time.
        """
        record = self._record_by_instance.get(instance)
        if record is None:
            return 0.0
        return float(record.ratio * 0.5 ** ((now - record.changed_at) / RATIO_HALF_LIFE_SECONDS))

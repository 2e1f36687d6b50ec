"""Judges servers by how requests ended there; health checks of some servers are wrong."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

FAILURE_WEIGHT = 0.35
"""Weight of the newest request in the failure ratio; three requests make most of it."""

FIRST_SUSPICION_SECONDS = 0.8
"""Time without new requests after a first lost connection or silence."""

LONGEST_SUSPICION_SECONDS = 4.0
"""Longest time without new requests; a restarted server registers within about this time."""

RATIO_HALF_LIFE_SECONDS = 8.0
"""Time in which the failure ratio of a server that gets no requests falls by half.

Failing servers fail for some seconds; a shorter time sends requests back before they are sound.
"""

UNHELPFUL_SECONDS = 5.0
"""Time for which a server that refused to help is asked for no help.

One that is leaving serves on for some seconds.
"""

FULL_BACKOFF_SECONDS = 0.1
"""Time without new requests after a server said that it is full."""


class Outcome(enum.Enum):
    """How one send to a server ended, as far as it tells of the server."""

    ANSWERED = "answered"
    """A complete answer that is no failure."""

    SERVER_ERROR = "server_error"
    """A complete answer with a status of 500 or above that says that the request ran."""

    FULL = "full"
    """The server refused the request without running it."""

    HELP_REFUSED = "help_refused"
    """The server would not help another one; one that is leaving says no before its record does."""

    WRONG_INSTANCE = "wrong_instance"
    """Another server has the address."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, so nothing was sent."""

    BROKEN = "broken"
    """The connection ended or the answer was damaged."""

    SILENT = "silent"
    """No answer, or no further event, came in time."""

    ABANDONED = "abandoned"
    """The caller left or the time ran out first; tells nothing of the server."""


class _Record:
    """What is remembered of one server."""

    __slots__ = ("changed_at", "failures_in_row", "ratio", "suspect_until", "unhelpful_until")

    def __init__(self) -> None:
        self.ratio = 0.0
        self.changed_at = 0.0
        self.suspect_until = 0.0
        self.unhelpful_until = 0.0
        self.failures_in_row = 0


class ServerHealth:
    """Failure ratios and suspicions of all servers."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._record_by_instance: dict[catalog.Instance, _Record] = {}

    def on_outcome(self, instance: catalog.Instance, outcome: Outcome, now: float) -> bool:
        """Note how a request ended.

        Args:
            instance: The server.
            outcome: How it ended.
            now: Loop time.

        Returns:
            Whether the server became a suspect by this.
        """
        if outcome is Outcome.ABANDONED:
            return False
        record = self._record_by_instance.setdefault(instance, _Record())
        if outcome is Outcome.HELP_REFUSED:
            record.unhelpful_until = now + UNHELPFUL_SECONDS
            return False
        if outcome is Outcome.FULL:
            record.suspect_until = max(record.suspect_until, now + FULL_BACKOFF_SECONDS)
            return False
        is_failure = outcome is not Outcome.ANSWERED
        ratio = self.failure_ratio(instance, now)
        record.ratio = ratio + FAILURE_WEIGHT * (float(is_failure) - ratio)
        record.changed_at = now
        if not is_failure:
            record.failures_in_row = 0
            record.suspect_until = 0.0
            return False
        if outcome is Outcome.SERVER_ERROR:
            return False
        was_suspect = record.suspect_until > now
        if not was_suspect:
            record.failures_in_row += 1
            doubled = FIRST_SUSPICION_SECONDS * 2 ** (record.failures_in_row - 1)
            record.suspect_until = now + min(LONGEST_SUSPICION_SECONDS, doubled)
        return not was_suspect

    def is_suspect(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server should get no new requests for now.

        Args:
            instance: The server.
            now: Loop time.
        """
        record = self._record_by_instance.get(instance)
        return record is not None and record.suspect_until > now

    def is_unhelpful(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server has lately refused to help another one.

        Args:
            instance: The server.
            now: Loop time.
        """
        record = self._record_by_instance.get(instance)
        return record is not None and record.unhelpful_until > now

    def failure_ratio(self, instance: catalog.Instance, now: float) -> float:
        """Return the share of recent requests that failed.

        Args:
            instance: The server.
            now: Loop time.
        """
        record = self._record_by_instance.get(instance)
        if record is None:
            return 0.0
        return float(record.ratio * 0.5 ** ((now - record.changed_at) / RATIO_HALF_LIFE_SECONDS))

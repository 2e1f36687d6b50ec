"""What is held against one fingerprint."""

from __future__ import annotations

from typing import NamedTuple

MERGE_SECONDS = 2.0
"""Two crashes of a server within this time are one, where its start is not known."""


class Grant(NamedTuple):
    """Leave to run a suspect alone, given to one request of this node."""

    request_id: str
    """Identifier of the request."""

    expires_at: float
    """Time of the loop's clock at which it lapses unless the request has started."""


class RunningTrial(NamedTuple):
    """A suspect that runs alone somewhere."""

    server_id: str
    """Identifier of the backend server."""

    node: str
    """`host/incarnation` of the node that runs it."""

    expires_at: float
    """Time of the loop's clock after which no word of its end is awaited."""

    is_lost: bool = False
    """Whether the node died or was replaced."""


class _SeenCrash(NamedTuple):
    server_id: str
    start_id: str
    at: float

    def is_same(self, server_id: str, start_id: str, now: float) -> bool:
        """Tell whether word of a crash means this one."""
        if server_id != self.server_id:
            return False
        if start_id and self.start_id:
            return start_id == self.start_id
        return abs(now - self.at) <= MERGE_SECONDS


class Suspicion:
    """Crashes during which one fingerprint was in flight."""

    def __init__(self, now: float) -> None:
        """Create a suspicion without crashes.

        Args:
            now: Time of the loop's clock.
        """
        self.since = now
        """Time of the loop's clock of the first crash."""
        self.last_at = now
        """Time of the loop's clock of the last crash."""
        self.grant: Grant | None = None
        """Leave given to a request of this node."""
        self.trial: RunningTrial | None = None
        """The trial under way."""
        self._counted: list[_SeenCrash] = []
        self._cleared: list[_SeenCrash] = []

    @property
    def crashes(self) -> int:
        """Number of crashes of which the fingerprint has not been cleared."""
        return len(self._counted)

    def add_crash(self, server_id: str, start_id: str, at: float) -> bool:
        """Count a crash unless it is known, and tell whether it was new."""
        if self.knows_crash(server_id, start_id, at):
            return False
        if not self._counted:
            self.since = at
        self._counted.append(_SeenCrash(server_id, start_id, at))
        self.last_at = max(self.last_at, at)
        if self.trial is not None and self.trial.server_id == server_id:
            self.trial = None
        return True

    def knows_crash(self, server_id: str, start_id: str, at: float) -> bool:
        """Tell whether a crash has been counted before, or cleared."""
        known = self._counted + self._cleared
        return any(crash.is_same(server_id, start_id, at) for crash in known)

    def crash_keys(self) -> list[tuple[str, str]]:
        """Return server and start of each crash that counts."""
        return [(crash.server_id, crash.start_id) for crash in self._counted]

    def clear(self) -> None:
        """Take back every crash so far; late word of them counts no more."""
        self._cleared = (self._cleared + self._counted)[-4:]
        self._counted = []
        self.trial = None
        self.grant = None

    def drop_expired(self, now: float) -> None:
        """Drop a grant or trial that has lapsed."""
        if self.grant is not None and now >= self.grant.expires_at:
            self.grant = None
        if self.trial is not None and now >= self.trial.expires_at:
            self.trial = None

"""Crashes, permission and trial of one suspect fingerprint."""

from __future__ import annotations

from typing import NamedTuple

SAME_CRASH_SECONDS = 2.0
"""Two crashes of a server within this time count as one if either has no start identifier."""


class TrialPermission(NamedTuple):
    """Permission to run a suspect request alone, given to one request of this node."""

    request_id: str
    """Identifier of the request."""

    expires_at: float
    """Loop time at which the permission expires unless the request has started, seconds."""


class RunningTrial(NamedTuple):
    """A suspect request that runs alone on a backend server, here or at a peer."""

    server_id: str
    """Identifier of the backend server."""

    node: str
    """`host/incarnation` of the node that runs it."""

    expires_at: float
    """Loop time at which the trial counts as ended if no end was reported, seconds."""

    is_node_lost: bool = False
    """Whether the node that runs the request died or was replaced."""


class RecordedCrash(NamedTuple):
    """A server crash and the loop time at which it was observed, seconds."""

    server_id: str
    """Identifier of the backend server."""

    start_id: str
    """Identifier of the server process that crashed; empty if unknown."""

    at: float
    """Loop time of the crash, seconds."""

    def is_same(self, server_id: str, start_id: str, now: float) -> bool:
        """Return whether a report is about this crash."""
        if server_id != self.server_id:
            return False
        if start_id and self.start_id:
            return start_id == self.start_id
        return abs(now - self.at) <= SAME_CRASH_SECONDS


class Suspicion:
    """Crashes during which one fingerprint was in flight, and its trial."""

    def __init__(self, now: float) -> None:
        """Create a suspicion without crashes.

        Args:
            now: Loop time, seconds; stands for the time of the crashes until the first is added.
        """
        self.first_crash_at = now
        """Loop time of the first crash of which the fingerprint is not cleared, seconds."""
        self.last_crash_at = now
        """Loop time of the last crash, seconds."""
        self.permission: TrialPermission | None = None
        """Permission given to a request of this node that has not started yet."""
        self.trial: RunningTrial | None = None
        """The running trial, of this node or of a peer."""
        self._counted: list[RecordedCrash] = []
        self._cleared: list[RecordedCrash] = []

    @property
    def crash_count(self) -> int:
        """Number of crashes of which the fingerprint has not been cleared."""
        return len(self._counted)

    def add_crash(self, server_id: str, start_id: str, at: float) -> bool:
        """Count a crash; return false if it was recorded before.

        Nodes notice a crash at different times; the earliest is kept, whatever the order of reports.
        """
        if self.has_crash(server_id, start_id, at):
            self._counted = [
                (
                    crash._replace(at=min(at, crash.at))
                    if crash.is_same(server_id, start_id, at)
                    else crash
                )
                for crash in self._counted
            ]
            return False
        if not self._counted:
            self.first_crash_at = at
        self._counted.append(RecordedCrash(server_id, start_id, at))
        self.last_crash_at = max(self.last_crash_at, at)
        if self.trial is not None and self.trial.server_id == server_id:
            self.trial = None
        return True

    def has_crash(self, server_id: str, start_id: str, at: float) -> bool:
        """Return whether a crash was recorded before, even if the fingerprint was cleared of it."""
        recorded = self._counted + self._cleared
        return any(crash.is_same(server_id, start_id, at) for crash in recorded)

    @property
    def crashes(self) -> tuple[RecordedCrash, ...]:
        """Crashes of which the fingerprint has not been cleared."""
        return tuple(self._counted)

    def crash_keys(self) -> list[tuple[str, str]]:
        """Return `(server_id, start_id)` of each crash of which the fingerprint is not cleared."""
        return [(crash.server_id, crash.start_id) for crash in self._counted]

    def clear(self) -> None:
        """Clear the fingerprint; late reports of the last four cleared crashes are ignored."""
        self._cleared = (self._cleared + self._counted)[-4:]
        self._counted = []
        self.trial = None
        self.permission = None

    def drop_expired(self, now: float) -> None:
        """Drop a permission or trial that has expired."""
        if self.permission is not None and now >= self.permission.expires_at:
            self.permission = None
        if self.trial is not None and now >= self.trial.expires_at:
            self.trial = None

"""Table of one node's suspicions, bounded in size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.quarantine import _suspicion, records

if TYPE_CHECKING:
    from collections.abc import Iterator

REFUSAL_SECONDS = 600.0
"""Time after the last crash for which a fingerprint stays suspect or refused."""

MAX_SUSPICIONS = 20_000
"""Fingerprints in the table; when it is full, one with the fewest crashes is evicted."""


class SuspicionTable:
    """Suspicions of one node by fingerprint, and its position in the log stream `quarantine`."""

    def __init__(self, retention_seconds: float, max_suspicions: int = MAX_SUSPICIONS) -> None:
        """Create an empty table.

        Args:
            retention_seconds: Time after the last crash for which a suspicion is kept.
            max_suspicions: Fingerprints that it holds at most.
        """
        self._max_suspicions = max_suspicions
        self._retention_seconds = retention_seconds
        self._suspicion_by_fingerprint: dict[str, _suspicion.Suspicion] = {}
        self._last_offset = -1

    def advance_offset(self, offset: int) -> bool:
        """Advance to a record's log offset; return false if the record was already applied."""
        if offset <= self._last_offset:
            return False
        self._last_offset = offset
        return True

    def find(self, fingerprint: str, now: float) -> _suspicion.Suspicion | None:
        """Return the suspicion of a fingerprint, or `None` if there is none or it has expired."""
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return None
        if now >= suspicion.last_crash_at + self._retention_seconds:
            del self._suspicion_by_fingerprint[fingerprint]
            return None
        suspicion.drop_expired(now)
        return suspicion

    def get_or_create(self, fingerprint: str, now: float) -> _suspicion.Suspicion:
        """Return the suspicion of a fingerprint, creating one if there is none."""
        suspicion = self.find(fingerprint, now)
        if suspicion is None:
            self._evict_if_full(now)
            suspicion = _suspicion.Suspicion(now)
            self._suspicion_by_fingerprint[fingerprint] = suspicion
        return suspicion

    def discard(self, fingerprint: str) -> None:
        """Remove the suspicion of a fingerprint, if there is one."""
        self._suspicion_by_fingerprint.pop(fingerprint, None)

    def all(self, now: float) -> dict[str, _suspicion.Suspicion]:
        """Return the suspicions that have not expired, by fingerprint."""
        for fingerprint in list(self._suspicion_by_fingerprint):
            self.find(fingerprint, now)
        return dict(self._suspicion_by_fingerprint)

    def fingerprints_on_trial(self, server_id: str, now: float) -> Iterator[str]:
        """Return the fingerprints whose trial runs on a backend server."""
        for fingerprint, suspicion in self._suspicion_by_fingerprint.items():
            suspicion.drop_expired(now)
            if suspicion.trial is not None and suspicion.trial.server_id == server_id:
                yield fingerprint

    def is_crash_explained(self, server_id: str, start_id: str, crashes: int, now: float) -> bool:
        """Return whether a fingerprint with at least `crashes` crashes accounts for this crash."""
        return any(
            suspicion.crash_count >= crashes and suspicion.has_crash(server_id, start_id, now)
            for suspicion in self._suspicion_by_fingerprint.values()
        )

    def expire_trials_of_node(self, node: str, at: float) -> None:
        """Mark a node's trials as lost and let them expire no later than at time `at`."""
        for suspicion in self._suspicion_by_fingerprint.values():
            trial = suspicion.trial
            if trial is not None and trial.node == node and trial.expires_at > at:
                suspicion.trial = trial._replace(expires_at=at, is_node_lost=True)

    def lost_nodes(self) -> set[str]:
        """Return the nodes that died or were replaced and whose trials may still be running."""
        trials = [suspicion.trial for suspicion in self._suspicion_by_fingerprint.values()]
        return {trial.node for trial in trials if trial is not None and trial.is_node_lost}

    def servers_in_trial(self, now: float) -> frozenset[str]:
        """Return the backend servers that run a suspect request."""
        servers = set()
        for suspicion in self._suspicion_by_fingerprint.values():
            suspicion.drop_expired(now)
            if suspicion.trial is not None:
                servers.add(suspicion.trial.server_id)
        return frozenset(servers)

    def records(self, node: str, now: float) -> Iterator[records.Record]:
        """Return records from which a peer can rebuild the table."""
        for fingerprint in list(self._suspicion_by_fingerprint):
            suspicion = self.find(fingerprint, now)
            if suspicion is None:
                continue
            for server_id, start_id in suspicion.crash_keys():
                yield records.Crash(server_id, start_id, (fingerprint,), node)
            trial = suspicion.trial
            # A live peer reports the start and end of its trials itself.
            if trial is not None and (trial.node == node or trial.is_node_lost):
                yield records.Trial(fingerprint, trial.server_id, trial.node, True)

    def _evict_if_full(self, now: float) -> None:
        """Drop expired suspicions, then those with the fewest crashes, until one more fits."""
        if len(self._suspicion_by_fingerprint) < self._max_suspicions:
            return
        for fingerprint in list(self._suspicion_by_fingerprint):
            self.find(fingerprint, now)
        while len(self._suspicion_by_fingerprint) >= self._max_suspicions:
            del self._suspicion_by_fingerprint[min(self._suspicion_by_fingerprint, key=self._rank)]

    def _rank(self, fingerprint: str) -> tuple[int, float]:
        """Return the sort key by which suspicions are evicted, the lowest first."""
        suspicion = self._suspicion_by_fingerprint[fingerprint]
        return suspicion.crash_count, suspicion.last_crash_at

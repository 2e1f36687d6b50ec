"""All suspicions of one node, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.quarantine import _suspicion, records

if TYPE_CHECKING:
    from collections.abc import Iterator

CAPACITY = 20_000
"""Fingerprints that are remembered; when full, the one whose last crash is oldest goes."""


class Book:
    """Suspicions by fingerprint."""

    def __init__(self, keep_seconds: float) -> None:
        """Create an empty book.

        Args:
            keep_seconds: Time after the last crash for which a suspicion is kept.
        """
        self._keep_seconds = keep_seconds
        self._suspicion_by_fingerprint: dict[str, _suspicion.Suspicion] = {}
        self._last_offset = -1

    def advance(self, offset: int) -> bool:
        """Move on to a log offset, and tell whether it had not been reached before."""
        if offset <= self._last_offset:
            return False
        self._last_offset = offset
        return True

    def find(self, fingerprint: str, now: float) -> _suspicion.Suspicion | None:
        """Return the suspicion of a fingerprint unless it has lapsed."""
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return None
        if now >= suspicion.last_at + self._keep_seconds:
            del self._suspicion_by_fingerprint[fingerprint]
            return None
        suspicion.drop_expired(now)
        return suspicion

    def open(self, fingerprint: str, now: float) -> _suspicion.Suspicion:
        """Return the suspicion of a fingerprint, a new one where there is none."""
        suspicion = self.find(fingerprint, now)
        if suspicion is None:
            self._make_room(now)
            suspicion = _suspicion.Suspicion(now)
            self._suspicion_by_fingerprint[fingerprint] = suspicion
        return suspicion

    def tried_on(self, server_id: str, now: float) -> Iterator[str]:
        """Return the fingerprints that are tried on a backend server."""
        for fingerprint, suspicion in self._suspicion_by_fingerprint.items():
            suspicion.drop_expired(now)
            if suspicion.trial is not None and suspicion.trial.server_id == server_id:
                yield fingerprint

    def explains(self, server_id: str, start_id: str, crashes: int, now: float) -> bool:
        """Tell whether a crash is already held against a fingerprint that had so many."""
        return any(
            suspicion.crashes >= crashes and suspicion.knows_crash(server_id, start_id, now)
            for suspicion in self._suspicion_by_fingerprint.values()
        )

    def expire_trials(self, node: str, at: float) -> None:
        """Await the end of a lost node's trials no longer than until `at`."""
        for suspicion in self._suspicion_by_fingerprint.values():
            trial = suspicion.trial
            if trial is not None and trial.node == node and trial.expires_at > at:
                suspicion.trial = trial._replace(expires_at=at, is_lost=True)

    def lost_nodes(self) -> set[str]:
        """Return the lost nodes whose trials may still run."""
        trials = [suspicion.trial for suspicion in self._suspicion_by_fingerprint.values()]
        return {trial.node for trial in trials if trial is not None and trial.is_lost}

    def servers_in_trial(self, now: float) -> frozenset[str]:
        """Return the backend servers that run a suspect."""
        servers = set()
        for suspicion in self._suspicion_by_fingerprint.values():
            suspicion.drop_expired(now)
            if suspicion.trial is not None:
                servers.add(suspicion.trial.server_id)
        return frozenset(servers)

    def records(self, node: str, now: float) -> Iterator[records.Record]:
        """Return records from which a peer can rebuild the book."""
        for fingerprint in list(self._suspicion_by_fingerprint):
            suspicion = self.find(fingerprint, now)
            if suspicion is None:
                continue
            for server_id, start_id in suspicion.crash_keys():
                yield records.Crash(server_id, start_id, (fingerprint,), node)
            trial = suspicion.trial
            # A living node tells of its trials, and of their end, itself.
            if trial is not None and (trial.node == node or trial.is_lost):
                yield records.Trial(fingerprint, trial.server_id, trial.node, True)

    def _make_room(self, now: float) -> None:
        """Drop suspicions until there is room for one more."""
        if len(self._suspicion_by_fingerprint) < CAPACITY:
            return
        for fingerprint in list(self._suspicion_by_fingerprint):
            self.find(fingerprint, now)
        while len(self._suspicion_by_fingerprint) >= CAPACITY:
            oldest = min(
                self._suspicion_by_fingerprint,
                key=lambda name: self._suspicion_by_fingerprint[name].last_at,
            )
            del self._suspicion_by_fingerprint[oldest]

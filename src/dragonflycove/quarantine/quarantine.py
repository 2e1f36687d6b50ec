"""Keeps requests that crash backend servers from taking down the fleet.

The rule and what it assumes are in `docs/design/quarantine.md`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.quarantine import _book, _suspicion, records, verdicts
from dragonflycove.shares import share_table

if TYPE_CHECKING:
    from collections.abc import Iterator

MOST_CRASHES = 2
"""Backend servers that one fingerprint may take down."""

REFUSAL_SECONDS = 600.0
"""Time after the last crash for which a fingerprint is suspect or refused."""

SPREAD_SECONDS = 1.0
"""Time after a crash in which every peer has heard of it and cancelled requests alike."""

GRANT_SECONDS = 5.0
"""Time for which leave to run alone is kept for a request that has not started."""

LEAVE_SECONDS = 2 * GRANT_SECONDS
"""Time for which the holder keeps a peer's leave that has not become a trial."""

TRIAL_SECONDS = 900.0
"""Time after which no word of a peer's trial is awaited."""

POLL_SECONDS = 0.1
"""Time after which a waiting suspect asks again."""


class Quarantine:
    """One node's part of the quarantine."""

    def __init__(self, shares: share_table.ShareTable, host: str) -> None:
        """Create a quarantine without suspects.

        Args:
            shares: This node's shares; the holder of a fingerprint's one unit may try it.
            host: Name of this node's host.
        """
        self._shares = shares
        self._host = host
        self._book = _book.Book(REFUSAL_SECONDS)
        self._flights_by_request: dict[str, tuple[str, str]] = {}

    def on_start(
        self, fingerprint: str, server_id: str, request_id: str, now: float
    ) -> list[verdicts.Effect]:
        """Take in that a request is about to be sent.

        Args:
            fingerprint: Fingerprint of the request.
            server_id: Identifier of the backend server.
            request_id: Identifier of the request.
            now: Time of the loop's clock.

        Returns:
            What to do; peers must be told before the request is sent.
        """
        self._flights_by_request[request_id] = (fingerprint, server_id)
        suspicion = self._book.find(fingerprint, now)
        if suspicion is None or suspicion.crashes == 0:
            return []
        suspicion.grant = None
        suspicion.trial = _suspicion.RunningTrial(server_id, self._host, now + TRIAL_SECONDS)
        return [verdicts.TellPeers(records.Trial(fingerprint, server_id, self._host, True))]

    def on_end(self, request_id: str, whole: bool, now: float) -> list[verdicts.Effect]:
        """Take in that a request ended on its server, other than by a crash.

        Args:
            request_id: Identifier of the request.
            whole: Whether it ran to its end; false if it was cancelled or refused.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        fingerprint, server_id = self._flights_by_request.pop(request_id, ("", ""))
        suspicion = self._book.find(fingerprint, now)
        if suspicion is None or suspicion.trial is None or suspicion.trial.node != self._host:
            return []
        if not whole:
            suspicion.trial = None
            return [verdicts.TellPeers(records.Trial(fingerprint, server_id, self._host, False))]
        suspicion.clear()
        cleared = records.Cleared(fingerprint, self._host)
        return [verdicts.TellPeers(cleared), verdicts.AppendLog(cleared)]

    def on_crash(self, server_id: str, now: float, start_id: str = "") -> list[verdicts.Effect]:
        """Take in that a backend server crashed.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.
            start_id: The start of the server that crashed, as it last reported.

        Returns:
            What to do; every request in flight there has become a suspect.
        """
        flights = list(self._flights_by_request.items())
        lost = {request: flight[0] for request, flight in flights if flight[1] == server_id}
        for request_id in lost:
            del self._flights_by_request[request_id]
        fingerprints = set(lost.values()) | set(self._book.tried_on(server_id, now))
        if not fingerprints:
            return []
        crash = records.Crash(server_id, start_id, tuple(sorted(fingerprints)), self._host)
        effects: list[verdicts.Effect] = [verdicts.TellPeers(crash), verdicts.AppendLog(crash)]
        return effects + self._take_crash(crash, now)

    def on_peer_record(self, record: records.Record, now: float) -> list[verdicts.Effect]:
        """Take in a peer's record.

        Args:
            record: The record.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        if isinstance(record, records.Crash):
            return self._take_crash(record, now)
        if isinstance(record, records.Cleared):
            self._take_cleared(record, now)
        else:
            self._take_trial(record, now)
        return []

    def on_log_record(
        self, record: records.Record, offset: int, now: float, age_seconds: float = 0.0
    ) -> list[verdicts.Effect]:
        """Take in a record of the stream `quarantine`.

        Args:
            record: The record.
            offset: Its offset; records at or before the last one taken in are ignored.
            now: Time of the loop's clock.
            age_seconds: How long ago it was appended.

        Returns:
            What to do.
        """
        if age_seconds >= REFUSAL_SECONDS or not self._book.advance(offset):
            return []
        if isinstance(record, records.Crash):
            return self._take_crash(record, now - age_seconds)
        if isinstance(record, records.Cleared):
            self._take_cleared(record, now)
        return []

    def verdict(
        self,
        fingerprint: str,
        now: float,
        request_id: str = "",
        candidates: frozenset[str] = frozenset(),
    ) -> verdicts.Verdict:
        """Say what may be done with a request.

        Args:
            fingerprint: Fingerprint of the request.
            now: Time of the loop's clock.
            request_id: Identifier of the request; leave to run alone is kept for it.
            candidates: Backend servers that could take the request.

        Returns:
            The verdict.
        """
        suspicion = self._book.find(fingerprint, now)
        if suspicion is None:
            return verdicts.Allowed()
        if suspicion.crashes == 0:
            # A peer's trial may be heard of before the crash that made it necessary.
            trial = suspicion.trial
            return verdicts.Allowed() if trial is None else verdicts.Wait(now + POLL_SECONDS)
        if suspicion.crashes >= MOST_CRASHES:
            return verdicts.Refused(suspicion.last_at + REFUSAL_SECONDS - now)
        limit = share_table.Limit(f"suspect/{fingerprint}", 1)
        if self._shares.units(limit, now) == 0:
            return self._hand_on(limit, now)
        if now < suspicion.since + SPREAD_SECONDS:
            return verdicts.Wait(suspicion.since + SPREAD_SECONDS)
        return self._grant(suspicion, request_id, candidates, now)

    def grant_peer(self, asked: records.LeaveAsked, now: float) -> bool:
        """Give a peer leave to run a suspect alone, as the holder of the fingerprint's one unit.

        Args:
            asked: What the peer asks.
            now: Time of the loop's clock.

        Returns:
            Whether it may; the leave lapses unless word of the trial's start comes.
        """
        suspicion = self._book.find(asked.fingerprint, now)
        if suspicion is None or not 0 < suspicion.crashes < MOST_CRASHES:
            return False
        limit = share_table.Limit(f"suspect/{asked.fingerprint}", 1)
        if self._shares.units(limit, now) == 0 or now < suspicion.since + SPREAD_SECONDS:
            return False
        if suspicion.trial is not None or suspicion.grant is not None:
            return False
        if asked.server_id in self._book.servers_in_trial(now):
            return False
        suspicion.trial = _suspicion.RunningTrial(asked.server_id, asked.node, now + LEAVE_SECONDS)
        return True

    def servers_in_trial(self, now: float) -> frozenset[str]:
        """Return the backend servers that run a suspect, which others had better avoid.

        Args:
            now: Time of the loop's clock.

        Returns:
            Identifiers of the backend servers.
        """
        return self._book.servers_in_trial(now)

    def known_records(self, now: float) -> Iterator[records.Record]:
        """Return all that a peer that starts while the log is down needs to know.

        Args:
            now: Time of the loop's clock.

        Returns:
            Records for its `on_peer_record`.
        """
        return self._book.records(self._host, now)

    def _hand_on(self, limit: share_table.Limit, now: float) -> verdicts.Verdict:
        """Say who may run a suspect that this node may not run."""
        hosts = self._shares.holders(limit, now)
        others = tuple(host for host in hosts if host != self._host)
        return verdicts.Elsewhere(others) if others else verdicts.Wait(now + POLL_SECONDS)

    def _grant(
        self,
        suspicion: _suspicion.Suspicion,
        request_id: str,
        candidates: frozenset[str],
        now: float,
    ) -> verdicts.Verdict:
        """Give leave to run a suspect alone, to one request at a time."""
        grant = suspicion.grant
        if suspicion.trial is not None or (grant is not None and grant.request_id != request_id):
            return verdicts.Wait(now + POLL_SECONDS)
        free = candidates - self._book.servers_in_trial(now)
        if not free:
            return verdicts.Wait(now + POLL_SECONDS)
        suspicion.grant = _suspicion.Grant(request_id, now + GRANT_SECONDS)
        own = frozenset(server for server in free if self._tries_on(server, now))
        return verdicts.Alone(own or free)

    def _tries_on(self, server_id: str, now: float) -> bool:
        """Tell whether this node is the one that tries suspects on a backend server."""
        return self._shares.units(share_table.Limit(f"trial/{server_id}", 1), now) > 0

    def _take_crash(self, crash: records.Crash, at: float) -> list[verdicts.Effect]:
        """Count a crash against its fingerprints, and cancel requests alike."""
        suspects = set()
        for fingerprint in crash.fingerprints:
            suspicion = self._book.open(fingerprint, at)
            if suspicion.add_crash(crash.server_id, crash.start_id, at):
                suspects.add(fingerprint)
        return [
            verdicts.CancelRequest(request_id, server_id)
            for request_id, (fingerprint, server_id) in self._flights_by_request.items()
            if fingerprint in suspects
        ]

    def _take_cleared(self, record: records.Cleared, now: float) -> None:
        """Take back what was held against a fingerprint."""
        suspicion = self._book.find(record.fingerprint, now)
        if suspicion is not None and suspicion.crashes < MOST_CRASHES:
            suspicion.clear()

    def _take_trial(self, record: records.Trial, now: float) -> None:
        """Note that a peer runs a suspect, or no longer does."""
        suspicion = self._book.open(record.fingerprint, now)
        if record.running:
            expires_at = now + TRIAL_SECONDS
            suspicion.trial = _suspicion.RunningTrial(record.server_id, record.node, expires_at)
        elif suspicion.trial is not None and suspicion.trial.node == record.node:
            suspicion.trial = None

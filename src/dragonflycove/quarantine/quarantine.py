"""Keeps requests that crash backend servers from taking down the fleet.

The rule and what it assumes are in `docs/design/quarantine.md`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.quarantine import _in_flight, _suspicion, _suspicion_table, records, verdicts
from dragonflycove.shares import share_table
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Iterator

MOST_CRASHES = 2
"""Backend servers that one fingerprint may take down."""

REFUSAL_SECONDS = 600.0
"""Time after the last crash for which a fingerprint is suspect or refused."""

SPREAD_SECONDS = 1.0
"""Time after a crash in which every peer has heard of it and cancelled requests alike."""

RECLAIM_SECONDS = 60.0
"""Time after a crash in which requests alike have ended, those of dead nodes included."""

FALLBACK_SLOTS = 8
"""Slots over which nodes without a server of their own spread their trials."""

FALLBACK_SLOT_SECONDS = 0.5
"""Length of one such slot; longer than word between nodes takes."""

WITNESSES_PER_REQUEST = 2
"""Nodes that are told of each request in flight, besides the one that sends it."""

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

    def __init__(self, shares: share_table.ShareTable, node: identifiers.NodeIdentity) -> None:
        """Create a quarantine without suspects.

        Args:
            shares: This node's shares; the holder of a fingerprint's one unit may try it.
            node: This node.
        """
        self._shares = shares
        self._host = node.host
        self._node = str(node)
        self._book = _suspicion_table.Book(REFUSAL_SECONDS)
        self._flights = _in_flight.Flights(self._node)

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
        flight = self._flights.start(fingerprint, server_id, request_id)
        told = self._tell_witnesses(flight, now)
        suspicion = self._book.find(fingerprint, now)
        if suspicion is None or suspicion.crashes == 0:
            return [told]
        suspicion.grant = None
        suspicion.trial = _suspicion.RunningTrial(server_id, self._node, now + TRIAL_SECONDS)
        trial = records.Trial(fingerprint, server_id, self._node, True)
        return [told, verdicts.SendToPeers(trial)]

    def on_end(self, request_id: str, whole: bool, now: float) -> list[verdicts.Effect]:
        """Take in that a request ended on its server, other than by a crash.

        Args:
            request_id: Identifier of the request.
            whole: Whether it ran to its end; false if it was cancelled or refused.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        flight = self._flights.end(request_id)
        if flight is None:
            return []
        told = self._tell_witnesses(flight, now)
        suspicion = self._book.find(flight.fingerprint, now)
        if suspicion is None or suspicion.trial is None or suspicion.trial.node != self._node:
            return [told]
        if not whole:
            suspicion.trial = None
            trial = records.Trial(flight.fingerprint, flight.server_id, self._node, False)
            return [told, verdicts.SendToPeers(trial)]
        suspicion.clear()
        cleared = records.Cleared(flight.fingerprint, self._node)
        return [told, verdicts.SendToPeers(cleared), verdicts.AppendLog(cleared)]

    def on_crash(self, server_id: str, now: float, start_id: str = "") -> list[verdicts.Effect]:
        """Take in that a backend server crashed.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.
            start_id: The start of the server that crashed, as it last reported.

        Returns:
            What to do; every request in flight there has become a suspect.
        """
        fingerprints = self._flights.take_crashed(server_id, start_id, now)
        fingerprints.update(self._book.tried_on(server_id, now))
        if not fingerprints:
            return []
        crash = records.Crash(server_id, start_id, tuple(sorted(fingerprints)), self._node)
        return self._report_crash(crash, now)

    def on_peer_record(self, record: records.Record, now: float) -> list[verdicts.Effect]:
        """Take in a peer's record.

        Args:
            record: The record.
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        if isinstance(record, records.Crash):
            # Word of a request may be overtaken by this node's own sight of the crash.
            self._flights.forget_witnessed(record.node, record.server_id)
            return self._take_crash(record, now)
        if isinstance(record, records.Cleared):
            self._take_cleared(record, now)
        elif isinstance(record, records.Trial):
            self._take_trial(record, now)
        elif isinstance(record, records.Flight):
            self._flights.witness(record, now)
        if isinstance(record, records.NodeLost) or self._is_predecessor(record.node):
            self.on_peer_lost(record.node, now)
        return []

    def _is_predecessor(self, node: str) -> bool:
        """Tell whether a node is an earlier start on this node's host."""
        return node != self._node and identifiers.NodeIdentity.parse(node).host == self._host

    def on_peer_lost(self, node: str, now: float) -> None:
        """Take in that a node died or was replaced; its requests end within the reclaim time.

        Args:
            node: `host/incarnation` of the node.
            now: Time of the loop's clock.
        """
        self._book.expire_trials(node, now + RECLAIM_SECONDS)
        self._flights.lose_node(node, now + RECLAIM_SECONDS)

    def on_tick(self, now: float) -> list[verdicts.Effect]:
        """Report the crashes that lost peers had requests in and did not report.

        Those requests may have ended before. They count only where, once every word of the crash
        has come, no other fingerprint explains it.

        Args:
            now: Time of the loop's clock.

        Returns:
            What to do.
        """
        effects = []
        for crash in self._flights.take_unreported(now - SPREAD_SECONDS):
            at = now - SPREAD_SECONDS
            if not self._book.explains(crash.server_id, crash.start_id, MOST_CRASHES, at):
                effects += self._report_crash(crash, now)
        return effects

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
        limit = _trial_limit(fingerprint, 1)
        if self._shares.units(limit, now) == 0:
            return self._hand_on(limit, now)
        if now < suspicion.since + SPREAD_SECONDS:
            return verdicts.Wait(suspicion.since + SPREAD_SECONDS)
        if self._flights.runs(fingerprint, now) and now < suspicion.last_at + RECLAIM_SECONDS:
            return verdicts.Wait(now + POLL_SECONDS)
        return self._grant(fingerprint, request_id, candidates, now)

    def grant_peer_permission(self, asked: records.LeaveAsked, now: float) -> bool:
        """Give a peer leave to run a suspect alone, as the holder of the fingerprint's one unit.

        Args:
            asked: What the peer asks.
            now: Time of the loop's clock.

        Returns:
            Whether it may; the leave lapses unless word of the trial's start comes.
        """
        allowed = self.verdict(
            asked.fingerprint, now, asked.request_id, frozenset({asked.server_id})
        )
        if not isinstance(allowed, verdicts.AllowedAlone):
            return False
        suspicion = self._book.open(asked.fingerprint, now)
        suspicion.grant = None
        suspicion.trial = _suspicion.RunningTrial(asked.server_id, asked.node, now + LEAVE_SECONDS)
        return True

    def is_permission_usable(self, answered: records.LeaveAnswered, now: float) -> bool:
        """Tell whether leave that a peer gave is still of use; others may have moved on since.

        Args:
            answered: The peer's answer.
            now: Time of the loop's clock.

        Returns:
            False where it was denied, where the server has come to run another suspect, and
            where the fingerprint may run no more.
        """
        suspicion = self._book.find(answered.fingerprint, now)
        if not answered.granted or (suspicion is not None and suspicion.crashes >= MOST_CRASHES):
            return False
        return answered.server_id not in self._book.servers_in_trial(now)

    def servers_in_trial(self, now: float) -> frozenset[str]:
        """Return the backend servers that run a suspect, which others had better avoid.

        Args:
            now: Time of the loop's clock.

        Returns:
            Identifiers of the backend servers.
        """
        return self._book.servers_in_trial(now)

    def known_records(self, host: str, now: float) -> Iterator[records.Record]:
        """Return all that a peer that has just started needs to know.

        Args:
            host: Host of the peer.
            now: Time of the loop's clock.

        Returns:
            Records for its `on_peer_record`, on the connection that carries all later ones.
        """
        yield from self._book.records(self._node, now)
        for flight in self._flights.untold():
            # Only witnesses hear when a request has ended.
            if host in self._witnesses(flight, now):
                yield flight
        for node in self._flights.lost_nodes() | self._book.lost_nodes():
            yield records.NodeLost(node)

    def _tell_witnesses(self, flight: records.Flight, now: float) -> verdicts.Effect:
        """Return the word of a request for the nodes that would try it."""
        return verdicts.SendToWitnesses(self._witnesses(flight, now), flight)

    def _witnesses(self, flight: records.Flight, now: float) -> tuple[str, ...]:
        """Return the hosts that are told of a request, other than the one that sends it."""
        limit = _trial_limit(flight.fingerprint, WITNESSES_PER_REQUEST + 1)
        hosts = self._shares.holders(limit, now)
        sender = identifiers.NodeIdentity.parse(flight.node).host
        return tuple(host for host in hosts if host != sender)[:WITNESSES_PER_REQUEST]

    def _hand_on(self, limit: share_table.Limit, now: float) -> verdicts.Verdict:
        """Say who may run a suspect that this node may not run."""
        hosts = self._shares.holders(limit, now)
        others = tuple(host for host in hosts if host != self._host)
        return verdicts.AllowedOnPeers(others) if others else verdicts.Wait(now + POLL_SECONDS)

    def _grant(
        self, fingerprint: str, request_id: str, candidates: frozenset[str], now: float
    ) -> verdicts.Verdict:
        """Give leave to run a suspect alone, to one request at a time."""
        suspicion = self._book.open(fingerprint, now)
        grant = suspicion.grant
        if suspicion.trial is not None or (grant is not None and grant.request_id != request_id):
            return verdicts.Wait(now + POLL_SECONDS)
        free = candidates - self._book.servers_in_trial(now)
        servers = frozenset(server for server in free if self._tries_on(server, now))
        # Without a server of its own, a node waits until it has heard where the others try.
        if not servers and now >= suspicion.since + _fallback_seconds(fingerprint):
            servers = free
        if not servers:
            return verdicts.Wait(now + POLL_SECONDS)
        suspicion.grant = _suspicion.Grant(request_id, now + GRANT_SECONDS)
        return verdicts.AllowedAlone(servers)

    def _tries_on(self, server_id: str, now: float) -> bool:
        """Tell whether this node is the one that tries suspects on a backend server."""
        return self._shares.units(share_table.Limit(f"trial/{server_id}", 1), now) > 0

    def _report_crash(self, crash: records.Crash, now: float) -> list[verdicts.Effect]:
        """Count a crash, and tell peers and log."""
        effects: list[verdicts.Effect] = [verdicts.SendToPeers(crash), verdicts.AppendLog(crash)]
        return effects + self._take_crash(crash, now)

    def _take_crash(self, crash: records.Crash, at: float) -> list[verdicts.Effect]:
        """Count a crash against its fingerprints, and cancel requests alike."""
        suspects = set()
        for fingerprint in crash.fingerprints:
            suspicion = self._book.open(fingerprint, at)
            if suspicion.add_crash(crash.server_id, crash.start_id, at):
                suspects.add(fingerprint)
        return [
            verdicts.CancelRequest(flight.request_id, flight.server_id)
            for flight in self._flights.own(suspects)
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


def _fallback_seconds(fingerprint: str) -> float:
    """Return when, after its crash, a suspect may be tried on any free backend server."""
    slot = identifiers.stable_hash(fingerprint) % FALLBACK_SLOTS
    return 2 * SPREAD_SECONDS + slot * FALLBACK_SLOT_SECONDS


def _trial_limit(fingerprint: str, units: int) -> share_table.Limit:
    """Return the limit whose first holder may try a suspect."""
    return share_table.Limit(f"suspect/{fingerprint}", units)

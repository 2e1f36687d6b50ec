"""Limits how many backend servers the same request can crash.

Requests of one organisation with the same model and prompt have the same fingerprint. A request
that was in flight on a server when it crashed makes its fingerprint suspect: requests with it run
only alone, in a trial, and are refused after `MAX_CRASHES` crashes. Shares decide who may try:
each fingerprint and each server is a limit of one unit. The node with the fingerprint's unit runs
the trial, on a server whose unit it has, or after a delay on any free server.

The rule and what it assumes are in `docs/design/quarantine.md`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.quarantine import _in_flight, _suspicion, _suspicion_table, records, verdicts
from dragonflycove.shares import share_table
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_CRASHES = 2
"""Crashes of backend servers after which a fingerprint is refused."""

REFUSAL_SECONDS = _suspicion_table.REFUSAL_SECONDS
"""Time after the last crash for which a fingerprint stays suspect or refused."""

PROPAGATION_SECONDS = 1.0
"""Time after a crash within which all peers know of it and cancel requests of its fingerprints."""

RECLAIM_SECONDS = 60.0
"""Time after a crash within which its fingerprints' requests end, also those of dead nodes."""

FALLBACK_SLOTS = 8
"""Number of time slots over which trials without the server's trial unit are spread."""

FALLBACK_SLOT_SECONDS = 0.5
"""Length of one of the `FALLBACK_SLOTS`; longer than a message between nodes takes."""

WITNESSES_PER_REQUEST = 2
"""Number of nodes that are notified of each request in flight, besides the one that sends it."""

TRIAL_PERMISSION_SECONDS = 5.0
"""Time after which permission to run alone expires if the request has not started."""

PEER_TRIAL_PERMISSION_SECONDS = 2 * TRIAL_PERMISSION_SECONDS
"""Time after which permission given to a peer expires if it reports no start of the trial."""

TRIAL_TIMEOUT_SECONDS = 900.0
"""Time after the start of a trial until it counts as ended, if no end was reported."""

POLL_INTERVAL_SECONDS = 0.1
"""Time after which a waiting suspect request asks for a verdict again."""


class Quarantine:
    """Quarantine as seen and enforced by one node."""

    def __init__(self, shares: share_table.ShareTable, node: identifiers.NodeIdentity) -> None:
        """Create a quarantine without suspicions.

        Args:
            shares: This node's shares; the node with a fingerprint's single unit may try it.
            node: Identity of this node.
        """
        self._shares = shares
        self._host = node.host
        self._node = str(node)
        self._suspicions = _suspicion_table.SuspicionTable(REFUSAL_SECONDS)
        self._in_flight_table = _in_flight.InFlightTable(self._node)

    def on_start(
        self, fingerprint: str, server_id: str, request_id: str, now: float
    ) -> list[verdicts.Effect]:
        """Record that a request is about to be sent to a server.

        Args:
            fingerprint: Fingerprint of the request.
            server_id: Identifier of the backend server.
            request_id: Identifier of the request.
            now: Loop time, seconds.

        Returns:
            Effects; peers must be notified before the request is sent.
        """
        in_flight_request = self._in_flight_table.start(fingerprint, server_id, request_id)
        notification = self._notify_witnesses(in_flight_request, now)
        suspicion = self._suspicions.find(fingerprint, now)
        if suspicion is None or suspicion.crash_count == 0:
            return [notification]
        suspicion.permission = None
        suspicion.trial = _suspicion.RunningTrial(
            server_id, self._node, now + TRIAL_TIMEOUT_SECONDS
        )
        trial = records.Trial(fingerprint, server_id, self._node, True)
        return [notification, verdicts.SendToPeers(trial)]

    def on_end(self, request_id: str, is_complete: bool, now: float) -> list[verdicts.Effect]:
        """Record that a request ended at its server, other than by a crash.

        Args:
            request_id: Identifier of the request.
            is_complete: Whether it completed; false if it was cancelled or refused.
            now: Loop time, seconds.

        Returns:
            Effects; none if the request is unknown.
        """
        in_flight_request = self._in_flight_table.end(request_id)
        if in_flight_request is None:
            return []
        notification = self._notify_witnesses(in_flight_request, now)
        suspicion = self._suspicions.find(in_flight_request.fingerprint, now)
        if suspicion is None or suspicion.trial is None or suspicion.trial.node != self._node:
            return [notification]
        if not is_complete:
            suspicion.trial = None
            trial = records.Trial(
                in_flight_request.fingerprint, in_flight_request.server_id, self._node, False
            )
            return [notification, verdicts.SendToPeers(trial)]
        suspicion.clear()
        cleared = records.Cleared(in_flight_request.fingerprint, self._node)
        return [notification, verdicts.SendToPeers(cleared), verdicts.AppendLog(cleared)]

    def on_crash(self, server_id: str, now: float, start_id: str = "") -> list[verdicts.Effect]:
        """Handle a crash of a backend server; all requests in flight there become suspect.

        Args:
            server_id: Identifier of the backend server.
            now: Loop time, seconds.
            start_id: Identifier of the server process that crashed, as last reported; may be empty.

        Returns:
            Effects; none if this node had no request and knows of no trial there.
        """
        fingerprints = self._in_flight_table.on_server_crash(server_id, start_id, now)
        fingerprints.update(self._suspicions.fingerprints_on_trial(server_id, now))
        if not fingerprints:
            return []
        crash = records.Crash(server_id, start_id, tuple(sorted(fingerprints)), self._node)
        return self._report_crash(crash, now)

    def on_peer_record(self, record: records.Record, now: float) -> list[verdicts.Effect]:
        """Apply a record that a peer sent.

        Args:
            record: The record.
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        if isinstance(record, records.Crash):
            # This node may have seen the crash before the peer's message about the request came.
            self._in_flight_table.drop_witnessed(record.node, record.server_id)
            return self._apply_crash(record, now)
        if isinstance(record, records.Cleared):
            self._apply_cleared(record, now)
        elif isinstance(record, records.Trial):
            self._apply_trial(record, now)
        elif isinstance(record, records.Flight):
            self._in_flight_table.add_witnessed(record, now)
        if isinstance(record, records.NodeLost) or self._is_predecessor(record.node):
            self.on_peer_lost(record.node, now)
        return []

    def _is_predecessor(self, node: str) -> bool:
        """Return whether a node is an earlier process on this node's host."""
        return node != self._node and identifiers.NodeIdentity.parse(node).host == self._host

    def on_peer_lost(self, node: str, now: float) -> None:
        """Handle that a node died or was replaced; its requests end within `RECLAIM_SECONDS`.

        Args:
            node: `host/incarnation` of the node that died or was replaced.
            now: Loop time, seconds.
        """
        self._suspicions.expire_trials_of_node(node, now + RECLAIM_SECONDS)
        self._in_flight_table.on_node_lost(node, now + RECLAIM_SECONDS)

    def on_tick(self, now: float) -> list[verdicts.Effect]:
        """Report crashes on behalf of lost peers that did not report them.

        Their requests may have ended before the crash. A crash counts against them only if, once
        all reports of it have arrived, no other fingerprint explains it.

        Args:
            now: Loop time, seconds.

        Returns:
            Effects.
        """
        effects = []
        for crash in self._in_flight_table.take_unreported_crashes(now - PROPAGATION_SECONDS):
            at = now - PROPAGATION_SECONDS
            if not self._suspicions.is_crash_explained(
                crash.server_id, crash.start_id, MAX_CRASHES, at
            ):
                effects += self._report_crash(crash, now)
        return effects

    def on_log_record(
        self, record: records.Record, offset: int, now: float, age_seconds: float = 0.0
    ) -> list[verdicts.Effect]:
        """Apply a record of the log stream `quarantine`.

        Args:
            record: The record.
            offset: Its offset; records at or before the last applied offset are ignored.
            now: Loop time, seconds.
            age_seconds: Time since it was appended.

        Returns:
            Effects.
        """
        if age_seconds >= REFUSAL_SECONDS or not self._suspicions.advance_offset(offset):
            return []
        if isinstance(record, records.Crash):
            return self._apply_crash(record, now - age_seconds)
        if isinstance(record, records.Cleared):
            self._apply_cleared(record, now)
        return []

    def verdict(
        self,
        fingerprint: str,
        now: float,
        request_id: str = "",
        candidates: frozenset[str] = frozenset(),
    ) -> verdicts.Verdict:
        """Decide whether, where and when a request may run.

        Args:
            fingerprint: Fingerprint of the request.
            now: Loop time, seconds.
            request_id: Identifier of the request; permission to run alone is reserved for it.
            candidates: Identifiers of the backend servers that could run the request.

        Returns:
            The verdict.
        """
        suspicion = self._suspicions.find(fingerprint, now)
        if suspicion is None:
            return verdicts.Allowed()
        if suspicion.crash_count == 0:
            # A peer's trial may be reported before the crash that made it necessary.
            trial = suspicion.trial
            return (
                verdicts.Allowed() if trial is None else verdicts.Wait(now + POLL_INTERVAL_SECONDS)
            )
        if suspicion.crash_count >= MAX_CRASHES:
            return verdicts.Refused(suspicion.last_crash_at + REFUSAL_SECONDS - now)
        limit = _trial_limit(fingerprint, 1)
        if self._shares.units(limit, now) == 0:
            return self._defer_to_peers(limit, now)
        if now < suspicion.first_crash_at + PROPAGATION_SECONDS:
            return verdicts.Wait(suspicion.first_crash_at + PROPAGATION_SECONDS)
        if (
            self._in_flight_table.is_running(fingerprint, now)
            and now < suspicion.last_crash_at + RECLAIM_SECONDS
        ):
            return verdicts.Wait(now + POLL_INTERVAL_SECONDS)
        return self._grant_trial(fingerprint, request_id, candidates, now)

    def grant_peer_permission(self, request: records.LeaveAsked, now: float) -> bool:
        """Decide whether a peer may run a suspect request alone.

        Called at the holder of the fingerprint's single unit.

        Args:
            request: The peer's request for permission.
            now: Loop time, seconds.

        Returns:
            Whether it may; the permission expires unless the peer reports the trial's start.
        """
        allowed = self.verdict(
            request.fingerprint, now, request.request_id, frozenset({request.server_id})
        )
        if not isinstance(allowed, verdicts.AllowedAlone):
            return False
        suspicion = self._suspicions.get_or_create(request.fingerprint, now)
        suspicion.permission = None
        suspicion.trial = _suspicion.RunningTrial(
            request.server_id, request.node, now + PEER_TRIAL_PERMISSION_SECONDS
        )
        return True

    def is_permission_usable(self, response: records.LeaveAnswered, now: float) -> bool:
        """Return whether a peer's permission can still be used; the state may have changed since.

        Args:
            response: The peer's response.
            now: Loop time, seconds.

        Returns:
            False if permission was denied, if the server now runs a suspect request, or if the
            fingerprint is refused by now.
        """
        suspicion = self._suspicions.find(response.fingerprint, now)
        if not response.granted or (suspicion is not None and suspicion.crash_count >= MAX_CRASHES):
            return False
        return response.server_id not in self._suspicions.servers_in_trial(now)

    def servers_in_trial(self, now: float) -> frozenset[str]:
        """Return the backend servers that run a suspect request and that others should avoid.

        Args:
            now: Loop time, seconds.

        Returns:
            Identifiers of the backend servers.
        """
        return self._suspicions.servers_in_trial(now)

    def known_records(self, host: str, now: float) -> Iterator[records.Record]:
        """Return the records that a newly started peer needs.

        Args:
            host: Host of the peer.
            now: Loop time, seconds.

        Returns:
            Records for its `on_peer_record`, to be sent on the same connection as later ones.
        """
        yield from self._suspicions.records(self._node, now)
        for in_flight_request in self._in_flight_table.reportable():
            # Only witnesses are notified when a request ends.
            if host in self._witnesses(in_flight_request, now):
                yield in_flight_request
        for node in self._in_flight_table.lost_nodes() | self._suspicions.lost_nodes():
            yield records.NodeLost(node)

    def _notify_witnesses(self, in_flight_request: records.Flight, now: float) -> verdicts.Effect:
        """Return the effect that sends a request's record to its witnesses."""
        return verdicts.SendToWitnesses(self._witnesses(in_flight_request, now), in_flight_request)

    def _witnesses(self, in_flight_request: records.Flight, now: float) -> tuple[str, ...]:
        """Return the hosts of a request's witnesses, without the host that sends it."""
        limit = _trial_limit(in_flight_request.fingerprint, WITNESSES_PER_REQUEST + 1)
        hosts = self._shares.holders(limit, now)
        sender = identifiers.NodeIdentity.parse(in_flight_request.node).host
        return tuple(host for host in hosts if host != sender)[:WITNESSES_PER_REQUEST]

    def _defer_to_peers(self, limit: share_table.Limit, now: float) -> verdicts.Verdict:
        """Return which nodes may run a suspect request that this node may not run."""
        hosts = self._shares.holders(limit, now)
        others = tuple(host for host in hosts if host != self._host)
        return (
            verdicts.AllowedOnPeers(others)
            if others
            else verdicts.Wait(now + POLL_INTERVAL_SECONDS)
        )

    def _grant_trial(
        self, fingerprint: str, request_id: str, candidates: frozenset[str], now: float
    ) -> verdicts.Verdict:
        """Give permission to run a suspect request alone, to one request at a time."""
        suspicion = self._suspicions.get_or_create(fingerprint, now)
        permission = suspicion.permission
        if suspicion.trial is not None or (
            permission is not None and permission.request_id != request_id
        ):
            return verdicts.Wait(now + POLL_INTERVAL_SECONDS)
        free = candidates - self._suspicions.servers_in_trial(now)
        servers = frozenset(server for server in free if self._may_try_on(server, now))
        # Without the trial unit of a free server, wait until peers have reported their trials.
        if not servers and now >= suspicion.first_crash_at + _fallback_seconds(fingerprint):
            servers = free
        if not servers:
            return verdicts.Wait(now + POLL_INTERVAL_SECONDS)
        suspicion.permission = _suspicion.TrialPermission(
            request_id, now + TRIAL_PERMISSION_SECONDS
        )
        return verdicts.AllowedAlone(servers)

    def _may_try_on(self, server_id: str, now: float) -> bool:
        """Return whether this node holds the unit for trials on a backend server."""
        return self._shares.units(share_table.Limit(f"trial/{server_id}", 1), now) > 0

    def _report_crash(self, crash: records.Crash, now: float) -> list[verdicts.Effect]:
        """Count a crash, broadcast it and append it to the log."""
        effects: list[verdicts.Effect] = [verdicts.SendToPeers(crash), verdicts.AppendLog(crash)]
        return effects + self._apply_crash(crash, now)

    def _apply_crash(self, crash: records.Crash, at: float) -> list[verdicts.Effect]:
        """Count a crash against its fingerprints, and cancel their other requests."""
        suspects = set()
        for fingerprint in crash.fingerprints:
            suspicion = self._suspicions.get_or_create(fingerprint, at)
            if suspicion.add_crash(crash.server_id, crash.start_id, at):
                suspects.add(fingerprint)
        return [
            verdicts.CancelRequest(in_flight_request.request_id, in_flight_request.server_id)
            for in_flight_request in self._in_flight_table.own_with_fingerprints(suspects)
        ]

    def _apply_cleared(self, record: records.Cleared, now: float) -> None:
        """Clear a fingerprint's crashes unless it is already refused."""
        suspicion = self._suspicions.find(record.fingerprint, now)
        if suspicion is not None and suspicion.crash_count < MAX_CRASHES:
            suspicion.clear()

    def _apply_trial(self, record: records.Trial, now: float) -> None:
        """Record the start or the end of a peer's trial."""
        suspicion = self._suspicions.get_or_create(record.fingerprint, now)
        if record.running:
            expires_at = now + TRIAL_TIMEOUT_SECONDS
            suspicion.trial = _suspicion.RunningTrial(record.server_id, record.node, expires_at)
        elif suspicion.trial is not None and suspicion.trial.node == record.node:
            suspicion.trial = None


def _fallback_seconds(fingerprint: str) -> float:
    """Return the seconds from a fingerprint's first crash until any free server may try it."""
    slot = identifiers.stable_hash(fingerprint) % FALLBACK_SLOTS
    return 2 * PROPAGATION_SECONDS + slot * FALLBACK_SLOT_SECONDS


def _trial_limit(fingerprint: str, units: int) -> share_table.Limit:
    """Return the limit whose first holder may try a fingerprint."""
    return share_table.Limit(f"suspect/{fingerprint}", units)

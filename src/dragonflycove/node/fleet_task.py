"""The task by which nodes tell each other about backend servers and suspects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.node import dispatch_messages, guard_messages
from dragonflycove.quarantine import records
from dragonflycove.routing import load_digests
from dragonflycove.shares import cold_start

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.node import peer_task, services
    from dragonflycove.values import identifiers

DIGEST_FAN_OUT = 5
"""Peers that get each digest; who they are changes from one to the next."""


class FleetTask:
    """Carries cold turns, quarantine records and load digests between the nodes."""

    def __init__(
        self,
        context: services.NodeServices,
        peers: peer_task.PeerTask,
        read_live_hosts: Callable[[], Iterable[str]],
    ) -> None:
        """Create the task and register its messages.

        Args:
            context: What all tasks of the node share.
            peers: The connections to the other nodes.
            read_live_hosts: Gives the other hosts that answer.
        """
        self._context = context
        self._peers = peers
        self._read_live_hosts = read_live_hosts
        peers.register("server_cold", 1, cold_start.ServerTurnedCold)
        peers.register("quarantine_crash", 1, records.Crash)
        peers.register("quarantine_trial", 1, records.Trial)
        peers.register("quarantine_cleared", 1, records.Cleared)
        peers.register("quarantine_flight", 1, records.Flight)
        peers.register("quarantine_node_lost", 1, records.NodeLost)
        peers.register("leave_asked", 1, records.LeaveAsked)
        peers.register("leave_answered", 1, records.LeaveAnswered)
        peers.register("load_digest", 1, load_digests.LoadDigest)
        peers.handle(cold_start.ServerTurnedCold, self._on_server_cold)
        peers.handle(records.Crash, self._on_record)
        peers.handle(records.Trial, self._on_record)
        peers.handle(records.Cleared, self._on_record)
        peers.handle(records.Flight, self._on_record)
        peers.handle(records.NodeLost, self._on_record)
        peers.handle(records.LeaveAsked, self._on_leave_asked)
        peers.handle(records.LeaveAnswered, self._on_leave_answered)
        peers.handle(load_digests.LoadDigest, self._on_digest)

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            await asyncio.sleep(self._context.settings.digest_seconds)
            self._context.dispatch.post(dispatch_messages.DigestWanted(self._send_digest))

    def broadcast_cold(self, effect: cold_start.ServerTurnedCold) -> None:
        """Tell all peers that a server turned cold.

        Args:
            effect: Which server, and which start of it.
        """
        self._peers.broadcast(effect)

    def broadcast_record(self, record: records.Record) -> None:
        """Send a quarantine record to all peers.

        Args:
            record: The record.
        """
        self._peers.broadcast(record)

    def request_permission(self, host: str, asked: records.LeaveAsked) -> None:
        """Ask a host's node for leave to run a suspect.

        Args:
            host: Name of the host.
            asked: What is asked.
        """
        self._peers.send(host, asked)

    def answer_permission(self, host: str, answered: records.LeaveAnswered) -> None:
        """Answer such a question.

        Args:
            host: Name of the asking node's host.
            answered: The answer.
        """
        self._peers.send(host, answered)

    def send_record(self, hosts: tuple[str, ...], record: records.Record) -> None:
        """Send a quarantine record to a few hosts.

        Args:
            hosts: Names of the hosts.
            record: The record.
        """
        for host in hosts:
            self._peers.send(host, record)

    def send_known_records(self, host: str, known: Iterable[records.Record]) -> None:
        """Send a node that has just started what it needs to know of suspects.

        Args:
            host: Name of its host.
            known: The records.
        """
        for record in known:
            self._peers.send(host, record)

    def _send_digest(self, digest: load_digests.LoadDigest) -> None:
        others = sorted(set(self._read_live_hosts()) - {self._context.identity.host})
        chosen = self._context.rng.sample(others, min(DIGEST_FAN_OUT, len(others)))
        for host in chosen:
            self._peers.send(host, digest)

    def _on_server_cold(
        self, sender: identifiers.NodeIdentity, message: cold_start.ServerTurnedCold
    ) -> None:
        self._context.guard.post(
            guard_messages.PeerReportedCold(message.server_id, message.start_id)
        )

    def _on_record(self, sender: identifiers.NodeIdentity, message: records.Record) -> None:
        self._context.guard.post(guard_messages.PeerRecord(message))

    def _on_leave_asked(
        self, sender: identifiers.NodeIdentity, message: records.LeaveAsked
    ) -> None:
        self._context.guard.post(guard_messages.PeerPermissionRequested(message))

    def _on_leave_answered(
        self, sender: identifiers.NodeIdentity, message: records.LeaveAnswered
    ) -> None:
        self._context.guard.post(guard_messages.PeerPermissionAnswered(message))

    def _on_digest(
        self, sender: identifiers.NodeIdentity, message: load_digests.LoadDigest
    ) -> None:
        self._context.dispatch.post(dispatch_messages.DigestTaken(message))

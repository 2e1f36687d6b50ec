"""Task that exchanges cold starts, quarantine records and load digests with the other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.node import dispatch_messages, guard_messages
from dragonflycove.quarantine import records
from dragonflycove.routing import load_digests
from dragonflycove.shares import cold_start

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.node import node_context, peer_task
    from dragonflycove.values import identifiers

DIGEST_FAN_OUT = 5
"""Number of peers to which each load digest is sent; they are chosen at random each time."""


class PeerExchangeTask:
    """Sends and receives cold starts, quarantine records, permissions and load digests."""

    def __init__(
        self,
        context: node_context.NodeContext,
        peers: peer_task.PeerTask,
        get_live_hosts: Callable[[], Iterable[str]],
    ) -> None:
        """Create the task and register its messages and their handlers.

        Args:
            context: State shared by the node's tasks.
            peers: Connections to the other nodes.
            get_live_hosts: Returns the names of the other hosts that answer probes.
        """
        self._context = context
        self._peers = peers
        self._get_live_hosts = get_live_hosts
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
        peers.handle(records.LeaveAsked, self._on_permission_requested)
        peers.handle(records.LeaveAnswered, self._on_permission_answered)
        peers.handle(load_digests.LoadDigest, self._on_load_digest)

    async def run(self) -> None:
        """Send load digests at the configured interval until cancelled."""
        while True:
            await asyncio.sleep(self._context.settings.digest_seconds)
            self._context.dispatch.post(dispatch_messages.LoadDigestRequested(self._send_digest))

    def broadcast_cold(self, effect: cold_start.ServerTurnedCold) -> None:
        """Notify all peers that a server turned cold.

        Args:
            effect: Server and the start that turned cold.
        """
        self._peers.broadcast(effect)

    def broadcast_record(self, record: records.Record) -> None:
        """Send a quarantine record to all peers.

        Args:
            record: Record to send.
        """
        self._peers.broadcast(record)

    def request_permission(self, host: str, request: records.LeaveAsked) -> None:
        """Request permission from a host's node to run a suspect request.

        Args:
            host: Name of the host.
            request: Suspect, server and requesting node.
        """
        self._peers.send(host, request)

    def answer_permission(self, host: str, answer: records.LeaveAnswered) -> None:
        """Answer a permission request.

        Args:
            host: Host of the requesting node.
            answer: Whether the suspect may run, and on which server.
        """
        self._peers.send(host, answer)

    def send_record(self, hosts: tuple[str, ...], record: records.Record) -> None:
        """Send a quarantine record to the named hosts.

        Args:
            hosts: Names of the hosts.
            record: Record to send.
        """
        for host in hosts:
            self._peers.send(host, record)

    def send_known_records(self, host: str, known_records: Iterable[records.Record]) -> None:
        """Send quarantine records to a node that has just started.

        Args:
            host: Host of the node.
            known_records: Records to send.
        """
        for record in known_records:
            self._peers.send(host, record)

    def _send_digest(self, digest: load_digests.LoadDigest) -> None:
        others = sorted(set(self._get_live_hosts()) - {self._context.identity.host})
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

    def _on_permission_requested(
        self, sender: identifiers.NodeIdentity, message: records.LeaveAsked
    ) -> None:
        self._context.guard.post(guard_messages.PeerPermissionRequested(message))

    def _on_permission_answered(
        self, sender: identifiers.NodeIdentity, message: records.LeaveAnswered
    ) -> None:
        self._context.guard.post(guard_messages.PeerPermissionAnswered(message))

    def _on_load_digest(
        self, sender: identifiers.NodeIdentity, message: load_digests.LoadDigest
    ) -> None:
        self._context.dispatch.post(dispatch_messages.PeerDigestReceived(message))

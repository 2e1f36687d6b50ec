"""Exchange of node states: reports to the hubs, and pulses from a hub to the other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages, work
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import catalog, placer, roster
    from dragonflycove.gateway import peer_socket, peer_sync

REPORTS_PER_JOB_LIST = 2
"""Every n-th report lists this node's requests; half a second is short for a request."""

REPORTS_PER_UNRESPONSIVE_CONTACT = 4
"""Every n-th report also goes to unresponsive nodes, which may only be behind a partition."""

VIEW_DIFFERENCE_SECONDS = 0.6
"""Time for which this node's view may differ from the hub's until it requests the node list."""

NODE_LIST_INTERVAL_SECONDS = 3.0
"""Minimum time between two list requests; while nodes restart, views differ all the time."""

NODE_LIST_MARGIN_SECONDS = 1.0
"""Nodes seen within this time before a list stay known even if the list lacks them."""

NODES_PER_DATAGRAM = 9
"""Nodes listed in one datagram; keeps it under 1,400 bytes, which any network path carries."""


class PeerReports:
    """Sends this node's reports, and responds to other nodes' reports with pulses."""

    def __init__(
        self,
        own: roster.Member,
        nodes: roster.Roster,
        server_placer: placer.Placer,
        sync: peer_sync.PeerSync,
        datagram_socket: peer_socket.PeerSocket,
        is_ready: Callable[[], bool],
        on_running: Callable[[work.Job, float], None] = lambda _job, _placed_at: None,
    ) -> None:
        """Create the task and register its message handlers at the socket.

        Args:
            own: This node.
            nodes: The other nodes.
            server_placer: Counts requests on servers.
            sync: Fetches store records from nodes that have newer ones.
            datagram_socket: Socket to the other nodes.
            is_ready: Returns whether this node accepts callers.
            on_running: Called with each running request that a node reports and this one didn't
                know, and the loop time of its placement.
        """
        self._on_running = on_running
        self._own = own
        self._nodes = nodes
        self._placer = server_placer
        self._sync = sync
        self._peer_socket = datagram_socket
        self._is_ready = is_ready
        self._reporter_by_host: dict[str, _Reporter] = {}
        self._report_count = 0
        self._first_hub = ""
        self._hubs_knowing_this_node: set[roster.Member] = set()
        self._needs_node_list = True
        self._next_list_request_at = 0.0
        self._view_differs_since = float("inf")
        self._list_number = 0
        # Number of the list being received, its parts by position, and when its first part arrived.
        self._received_list: tuple[int, dict[int, tuple[roster.Member, ...]], float] = (-1, {}, 0.0)
        datagram_socket.register(peer_messages.Report, self._on_report)
        datagram_socket.register(peer_messages.Pulse, self._on_pulse)
        datagram_socket.register(peer_messages.RunningJob, self._on_running_job)

    def announce_leaving(self) -> None:
        """Notify the other nodes that this one is stopping."""
        now = asyncio.get_running_loop().time()
        was_first = self._nodes.is_first_hub(now)
        self._nodes.is_leaving = True
        self.report(with_jobs=True)
        if was_first:
            for reporter in self._reporter_by_host.values():
                self._send_pulse(reporter.member.peer_address, now)

    async def run(self) -> None:
        """Send reports at intervals; runs until cancelled."""
        while True:
            self.report(with_jobs=self._report_count % REPORTS_PER_JOB_LIST == 0)
            self._report_count += 1
            self._drop_lost_reporters()
            await asyncio.sleep(self._nodes.report_seconds)

    def report(self, *, with_jobs: bool) -> None:
        """Send one report to each hub and to nodes known only from store records.

        One in `REPORTS_PER_UNRESPONSIVE_CONTACT` reports also goes to the unresponsive nodes, which
        may only be disconnected from this one.

        Args:
            with_jobs: Whether it lists this node's placed requests.
        """
        now = asyncio.get_running_loop().time()
        self._nodes.is_ready = self._is_ready()
        hubs = self._nodes.hubs(now)
        self._update_first_hub(hubs)
        numbers = None
        if with_jobs:
            numbers = tuple(
                key.number
                for key in self._placer.job_keys_of(self._own.host)
                if key.incarnation == self._own.incarnation
            )
        report = peer_messages.Report(
            self._condition(), None, self._sync.freshness(now), numbers, wants_list=False
        )
        introduction = report._replace(member=self._own)
        others = {member.host: member for member in self._nodes.unconfirmed(now)}
        if self._report_count % REPORTS_PER_UNRESPONSIVE_CONTACT == 0:
            others.update({member.host: member for member in self._nodes.unresponsive(now)})
        for hub in hubs:
            others.pop(hub.host, None)
            if hub.host == self._own.host:
                continue
            is_known = hub in self._hubs_knowing_this_node
            wants_list = (
                hub is hubs[0] and self._needs_node_list and now >= self._next_list_request_at
            )
            if wants_list:
                self._next_list_request_at = now + NODE_LIST_INTERVAL_SECONDS
            hub_report = report if is_known else introduction
            self._peer_socket.send(hub.peer_address, hub_report._replace(wants_list=wants_list))
        for member in others.values():
            self._peer_socket.send(member.peer_address, introduction)
        self._hubs_knowing_this_node.intersection_update(hubs)

    def _condition(self) -> peer_messages.Condition:
        return peer_messages.Condition(
            self._own.host, self._own.incarnation, self._is_ready(), self._nodes.is_leaving
        )

    def _update_first_hub(self, hubs: list[roster.Member]) -> None:
        first = hubs[0].host if hubs else ""
        if first != self._first_hub:
            logs.event("hub_changed", hub=first, before=self._first_hub)
            self._first_hub = first
            self._needs_node_list = True
            self._next_list_request_at = 0.0

    def _on_report(self, report: peer_messages.Report, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        condition = report.condition
        member = report.member or self._nodes.member(condition.host, condition.incarnation)
        if member is None:
            self._send_pulse(sender, now, knows_receiver=False)
            return
        is_changed = self._nodes.mark_running(
            member, now, is_ready=condition.is_ready, is_leaving=condition.is_leaving
        )
        reporter = self._reporter_by_host.get(member.host)
        if reporter is None or reporter.member != member:
            reporter = self._reporter_by_host[member.host] = _Reporter(member)
        reporter.last_seen_at = now
        self._sync.compare(member, report.freshness, now)
        unknown_jobs: tuple[int, ...] = ()
        if report.jobs is not None:
            unknown_jobs = self._placer.reconcile(member.host, member.incarnation, report.jobs, now)
        self._send_pulse(sender, now, unknown_jobs=unknown_jobs)
        if report.wants_list:
            self._send_list(sender, now)
        if is_changed:
            logs.event(
                "node_changed",
                node=member.host,
                incarnation=member.incarnation,
                ready=condition.is_ready,
                leaving=condition.is_leaving,
            )
            self._broadcast_change(
                peer_messages.Seen(
                    member, condition.is_ready, condition.is_leaving, is_unresponsive=False
                ),
                now,
            )

    def _broadcast_change(self, change: peer_messages.Seen, now: float) -> None:
        """Send a change to all reporting nodes at once, if this node is the first hub."""
        if not self._nodes.is_first_hub(now):
            return
        for reporter in self._reporter_by_host.values():
            if reporter.member.host != change.member.host:
                self._send_pulse(reporter.member.peer_address, now, seen=(change,))

    def _send_list(self, address: catalog.Address, now: float) -> None:
        seen = [
            peer_messages.Seen(
                status.member, status.is_ready, status.is_leaving, is_unresponsive=False
            )
            for status in self._nodes.alive(now)
        ]
        self._list_number += 1
        total = max(1, -(-len(seen) // NODES_PER_DATAGRAM))
        for index in range(total):
            start = index * NODES_PER_DATAGRAM
            part = peer_messages.ListPart(self._list_number, index, total)
            chosen = tuple(seen[start : start + NODES_PER_DATAGRAM])
            self._send_pulse(address, now, seen=chosen, part=part)

    def _send_pulse(
        self,
        address: catalog.Address,
        now: float,
        *,
        knows_receiver: bool = True,
        unknown_jobs: tuple[int, ...] = (),
        seen: tuple[peer_messages.Seen, ...] = (),
        part: peer_messages.ListPart | None = None,
    ) -> None:
        pulse = peer_messages.Pulse(
            self._condition(),
            self._sync.freshness(now),
            self._nodes.members_hash(now),
            knows_receiver,
            unknown_jobs,
            seen,
            part,
        )
        self._peer_socket.send(address, pulse)

    def _on_pulse(self, pulse: peer_messages.Pulse, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        condition = pulse.condition
        hub = self._nodes.member(condition.host, condition.incarnation)
        if hub is None:
            hub = self._find_candidate(condition, now)
            if hub is None:
                return
        self._nodes.mark_running(
            hub, now, is_ready=condition.is_ready, is_leaving=condition.is_leaving
        )
        self._nodes.on_hub_response(hub.host, now)
        if pulse.knows_receiver:
            self._hubs_knowing_this_node.add(hub)
        else:
            self._hubs_knowing_this_node.discard(hub)
        hubs = self._nodes.hubs(now)
        if hubs and hubs[0].host == hub.host:
            self._apply_hub_view(pulse, now)
        self._sync.compare(hub, pulse.freshness, now)
        for number in pulse.unknown_jobs:
            self._send_running_job(sender, number, now)

    def _find_candidate(
        self, condition: peer_messages.Condition, now: float
    ) -> roster.Member | None:
        for member in self._nodes.unconfirmed(now):
            if (member.host, member.incarnation) == (condition.host, condition.incarnation):
                return member
        return None

    def _apply_hub_view(self, pulse: peer_messages.Pulse, now: float) -> None:
        """Apply changes and list parts of the first hub; compare its view with this node's."""
        for seen in pulse.seen:
            if seen.is_unresponsive:
                self._nodes.mark_unresponsive(seen.member, now)
            else:
                self._nodes.mark_running(
                    seen.member, now, is_ready=seen.is_ready, is_leaving=seen.is_leaving
                )
        if pulse.part is not None:
            if pulse.part.number != self._received_list[0]:
                self._received_list = (pulse.part.number, {}, now)
            self._received_list[1][pulse.part.position] = tuple(seen.member for seen in pulse.seen)
            if len(self._received_list[1]) == pulse.part.total:
                members = [one for part in self._received_list[1].values() for one in part]
                self._nodes.apply_node_list(
                    members, self._received_list[2] - NODE_LIST_MARGIN_SECONDS, now
                )
        if pulse.members_hash == self._nodes.members_hash(now):
            self._needs_node_list = False
            self._nodes.confirm_running(now)
            self._view_differs_since = float("inf")
        else:
            # A short difference may be a change that is still in transit.
            self._view_differs_since = min(self._view_differs_since, now)
            self._needs_node_list = (
                self._needs_node_list or now - self._view_differs_since > VIEW_DIFFERENCE_SECONDS
            )

    def _send_running_job(self, address: catalog.Address, number: int, now: float) -> None:
        key = work.JobKey(self._own.host, self._own.incarnation, number)
        placement = self._placer.placement(key)
        if placement is not None:
            age = now - placement.placed_at
            is_decoding = self._placer.is_decoding(key)
            self._peer_socket.send(
                address, peer_messages.RunningJob(placement.job, placement.grant, age, is_decoding)
            )

    def _on_running_job(self, running: peer_messages.RunningJob, sender: catalog.Address) -> None:
        placed_at = asyncio.get_running_loop().time() - running.age_seconds
        if self._placer.placement(running.job.key) is None:
            self._on_running(running.job, placed_at)
        self._placer.add_placement(
            running.job, running.grant, placed_at, is_decoding=running.is_decoding
        )

    def _drop_lost_reporters(self) -> None:
        """Drop nodes that no longer report, with their requests."""
        now = asyncio.get_running_loop().time()
        for host, reporter in list(self._reporter_by_host.items()):
            if now - reporter.last_seen_at > self._nodes.unresponsive_after_seconds:
                del self._reporter_by_host[host]
                dropped = self._placer.remove_host(host, now)
                logs.event("node_lost", node=host, requests=dropped)
                change = peer_messages.Seen(
                    reporter.member, is_ready=False, is_leaving=False, is_unresponsive=True
                )
                self._broadcast_change(change, now)


class _Reporter:
    """A node that reports to this one, and the loop time of its last report."""

    __slots__ = ("last_seen_at", "member")

    def __init__(self, member: roster.Member) -> None:
        self.member = member
        self.last_seen_at = 0.0

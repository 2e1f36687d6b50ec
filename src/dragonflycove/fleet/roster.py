"""Which nodes run, and which of them are hubs, which place requests for all nodes.

The longest-running nodes on large hosts are the hubs: every node reports to the first few of them
and requests placements from the first. The first hub sends changes to all nodes, and a hash of its
member list with every pulse, so the complete list is only sent where the hashes differ. Correctness
doesn't depend on two nodes agreeing: while they disagree, two hubs place requests with incomplete
information about each other's placements.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from dragonflycove.fleet import catalog, sender_counts
from dragonflycove.fleet.directory import entry_points

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

HUB_COUNT = 3
"""Hubs that every node reports to; two may fail at once without an interruption."""

MIN_REPORT_SECONDS = 0.25
"""Lower limit of the interval between two reports of a node."""

REPORT_SECONDS_PER_NODE = 0.0035
"""Report interval per node of the fleet; limits a hub's load to about 300 reports a second."""

MAX_REPORT_SECONDS = 0.9
"""Upper limit of the report interval; the specification bounds the detection of killed nodes."""

UNRESPONSIVE_REPORT_INTERVALS = 4.8
"""Report intervals without a report after which a node is unresponsive; datagrams may be lost."""

HUB_LOSS_GRACE_SECONDS = 4.0
"""Time after its last report for which a node counts as running while no hub responds.

Below the specification's bound for the detection of killed nodes.
"""

UNCONFIRMED_SECONDS = 1.0
"""Time within which a node that is only known from its store record has to report."""

RETENTION_SECONDS = 30.0
"""Time after its last report for which an unresponsive node is kept and contacted."""

STANDBY_SHARE = 0.4
"""Share of a common limit that all nodes but the first hub may use together.

With the first hub's share it stays below the overage of a half that the platform tolerates.
"""

LARGE_HOST_CORES = 0.9
"""Minimum CPU cores of a host that is preferred as a hub; a hub places all nodes' requests."""


RELAY_PORT_OFFSET = 1
"""Difference between the ports for relayed requests and for messages; the same at all nodes."""


def relay_address(peer_address: catalog.Address) -> catalog.Address:
    """Return a node's address for relayed requests.

    Args:
        peer_address: Its address for messages from other nodes.
    """
    return peer_address._replace(port=peer_address.port + RELAY_PORT_OFFSET)


class Member(NamedTuple):
    """One incarnation of a node, with its addresses."""

    host: str
    """Host name."""

    incarnation: int
    """Unix milliseconds of the process's start; identifies and orders a host's incarnations."""

    zone: str
    """Availability zone."""

    region: str
    """Region."""

    peer_address: catalog.Address
    """Address for messages from other nodes."""

    caller_address: catalog.Address
    """Address for callers."""

    cores: float
    """CPU cores that it may use; may be a fraction."""

    @property
    def rank(self) -> tuple[bool, int, str]:
        """Sort key by which nodes become hubs; the lowest is the first hub."""
        return self.cores < LARGE_HOST_CORES, self.incarnation, self.host


class MemberStatus(NamedTuple):
    """A node as of its last report."""

    member: Member
    """The node."""

    last_seen_at: float
    """Loop time at which it was last known to run."""

    is_ready: bool
    """Whether it accepts callers."""

    is_leaving: bool
    """Whether it is stopping."""


def hash_members(statuses: Iterable[MemberStatus]) -> int:
    """Return a hash of a set of nodes, independent of their order.

    Args:
        statuses: The nodes.
    """
    combined_hash = 0
    for status in statuses:
        member = status.member
        text = f"{member.host} {member.incarnation} {status.is_ready} {status.is_leaving}"
        combined_hash ^= xxhash.xxh3_64_intdigest(text.encode())
    return combined_hash


class Roster:
    """The nodes that this node knows, with the times of their last reports."""

    def __init__(self, own: Member) -> None:
        """Create a roster that holds only this node.

        Args:
            own: This node.
        """
        self.own = own
        """This node."""
        self.is_ready = False
        """Whether this node accepts callers."""
        self.is_leaving = False
        """Whether this node is stopping, which excludes it from the hubs."""
        self._status_by_host: dict[str, MemberStatus] = {}
        self._unconfirmed_by_host: dict[str, tuple[Member, float]] = {}
        self._hub_responded_at = float("-inf")
        self._suspected_until_by_host: dict[str, float] = {}
        self.senders = sender_counts.SenderCounts()
        """How many nodes may send requests to servers."""

    @property
    def report_seconds(self) -> float:
        """Report interval for the fleet's current size."""
        wanted = REPORT_SECONDS_PER_NODE * (1 + len(self._status_by_host))
        return min(MAX_REPORT_SECONDS, max(MIN_REPORT_SECONDS, wanted))

    @property
    def unresponsive_after_seconds(self) -> float:
        """Time since its last report after which a node counts as unresponsive."""
        return UNRESPONSIVE_REPORT_INTERVALS * self.report_seconds

    def member(self, host: str, incarnation: int) -> Member | None:
        """Return a known node; None if this incarnation is not known.

        Args:
            host: Its host.
            incarnation: Incarnation of its process.
        """
        status = self._status_by_host.get(host)
        if status is not None and status.member.incarnation == incarnation:
            return status.member
        return None

    def mark_running(self, member: Member, now: float, *, is_ready: bool, is_leaving: bool) -> bool:
        """Record that a node runs, and its state; ignored for older incarnations.

        Args:
            member: The node.
            now: Loop time at which it ran.
            is_ready: Whether it accepts callers.
            is_leaving: Whether it is stopping.

        Returns:
            Whether the change should be sent to other nodes at once.
        """
        if member.host == self.own.host:
            return False
        known = self._status_by_host.get(member.host)
        if known is not None and member.incarnation < known.member.incarnation:
            return False
        self._status_by_host[member.host] = MemberStatus(member, now, is_ready, is_leaving)
        self.senders.on_running(member.host, now, is_leaving=is_leaving)
        self._unconfirmed_by_host.pop(member.host, None)
        return (
            known is None
            or known.member != member
            or known.is_ready != is_ready
            or known.is_leaving != is_leaving
            or now - known.last_seen_at > self.unresponsive_after_seconds
        )

    def mark_unresponsive(self, member: Member, now: float) -> None:
        """Mark a node as unresponsive after a hub reported it.

        Args:
            member: The node.
            now: Loop time.
        """
        known = self._status_by_host.get(member.host)
        if known is not None and known.member.incarnation <= member.incarnation:
            unresponsive_since = now - self.unresponsive_after_seconds - HUB_LOSS_GRACE_SECONDS
            self._status_by_host[member.host] = known._replace(
                last_seen_at=min(known.last_seen_at, unresponsive_since)
            )

    def apply_node_list(self, members: Iterable[Member], asked_at: float, now: float) -> None:
        """Mark the nodes as unresponsive that a hub's list of all nodes doesn't contain.

        Args:
            members: The nodes of the list.
            asked_at: Loop time of the request for the list; nodes that were seen since then stay.
            now: Loop time.
        """
        hosts = {member.host for member in members}
        for host, status in list(self._status_by_host.items()):
            if host not in hosts and status.last_seen_at < asked_at:
                self.mark_unresponsive(status.member, now)

    def confirm_running(self, now: float) -> None:
        """Mark all running nodes as seen now; called if the first hub's hash equals this node's.

        Args:
            now: Loop time.
        """
        for status in self.alive(now):
            self._status_by_host[status.member.host] = status._replace(last_seen_at=now)
            self.senders.on_running(status.member.host, now, is_leaving=status.is_leaving)

    def on_store_record(self, member: Member, now: float) -> None:
        """Add a node that is only known from its record in the store.

        Args:
            member: The node.
            now: Loop time.
        """
        if member.host == self.own.host or member.host in self._status_by_host:
            return
        if member.host not in self._unconfirmed_by_host:
            self._unconfirmed_by_host[member.host] = (member, now)
            self.senders.on_listed(member.host, now)

    def on_hub_response(self, host: str, now: float) -> None:
        """Record that a hub responded, which ends a suspicion.

        Args:
            host: The hub.
            now: Loop time.
        """
        self._hub_responded_at = now
        self._suspected_until_by_host.pop(host, None)

    def suspect(self, host: str, until: float) -> None:
        """Mark a hub as suspected, so that it is not asked for placements.

        Args:
            host: The hub.
            until: Loop time at which the suspicion ends.
        """
        self._suspected_until_by_host[host] = until

    def is_suspected(self, host: str, now: float) -> bool:
        """Whether a hub is suspected and not asked for placements.

        Args:
            host: The hub.
            now: Loop time.
        """
        return self._suspected_until_by_host.get(host, 0.0) > now

    def alive(self, now: float) -> list[MemberStatus]:
        """Return the other nodes that count as running.

        Args:
            now: Loop time.
        """
        limit = self._unresponsive_limit(now)
        return [
            status for status in self._status_by_host.values() if now - status.last_seen_at <= limit
        ]

    def _unresponsive_limit(self, now: float) -> float:
        is_connected = now - self._hub_responded_at <= self.unresponsive_after_seconds
        return (
            self.unresponsive_after_seconds
            if is_connected
            else max(self.unresponsive_after_seconds, HUB_LOSS_GRACE_SECONDS)
        )

    def members_hash(self, now: float) -> int:
        """Return a hash of all running nodes, this one included.

        Args:
            now: Loop time.
        """
        own = MemberStatus(self.own, now, self.is_ready, self.is_leaving)
        return hash_members([own, *self.alive(now)])

    def hubs(self, now: float) -> list[Member]:
        """Return the hubs in the order of their ranks; this node may be among them.

        Args:
            now: Loop time.
        """
        members = [status.member for status in self._recently_seen(now) if not status.is_leaving]
        if not self.is_leaving:
            members.append(self.own)
        return sorted(members, key=lambda member: member.rank)[:HUB_COUNT]

    def _recently_seen(self, now: float) -> list[MemberStatus]:
        """Return the other nodes that are not unresponsive, without grace for a lost hub."""
        return [
            status
            for status in self._status_by_host.values()
            if now - status.last_seen_at <= self.unresponsive_after_seconds
        ]

    def hub_rank(self, now: float) -> int:
        """Return this node's index among the hubs; -1 if it is not a hub.

        Args:
            now: Loop time.
        """
        hosts = [hub.host for hub in self.hubs(now)]
        return hosts.index(self.own.host) if self.own.host in hosts else -1

    def is_first_hub(self, now: float) -> bool:
        """Whether this node is the first hub, which places requests for all nodes.

        Args:
            now: Loop time.
        """
        return self.hub_rank(now) == 0

    def unconfirmed(self, now: float) -> list[Member]:
        """Return nodes known only from store records for at most `UNCONFIRMED_SECONDS`.

        Args:
            now: Loop time.
        """
        return [
            member
            for member, added_at in self._unconfirmed_by_host.values()
            if now - added_at <= UNCONFIRMED_SECONDS
        ]

    def awaits_first_contact(self, now: float) -> bool:
        """Whether this node may have peers, and has not heard from any of them yet.

        Args:
            now: Loop time.
        """
        if self._status_by_host:
            return False
        return bool(self.unconfirmed(now)) or not self.senders.count(now)

    def unresponsive(self, now: float) -> list[Member]:
        """Return the nodes without recent reports, which may only be disconnected from this one.

        Args:
            now: Loop time.
        """
        return [
            status.member
            for status in self._status_by_host.values()
            if self.unresponsive_after_seconds < now - status.last_seen_at <= RETENTION_SECONDS
        ]

    def placing_share(self, now: float) -> float:
        """Return the share of a common limit that this node may use for placements.

        The first hub has that of its group; groups of nodes that don't reach each other have shares
        that add up to one. Others place only while no hub responds to them, with
        `STANDBY_SHARE` divided among all nodes.

        Args:
            now: Loop time.
        """
        if self.is_first_hub(now):
            return self.senders.share(1 + len(self._recently_seen(now)), now)
        return STANDBY_SHARE * self.senders.share(1, now)

    def entry_points(
        self, now: float, reaches_servers: Callable[[Member], bool] = lambda _: True
    ) -> list[entry_points.EntryPoint]:
        """Return the other nodes that accept callers, as entries for the directory.

        Args:
            now: Loop time.
            reaches_servers: Returns whether a node reaches the servers of all services.
        """
        return [
            entry_points.EntryPoint(
                status.member.caller_address,
                status.member.zone,
                status.member.region,
                status.member.cores,
                reaches_servers(status.member),
                status.member.host,
            )
            for status in self.alive(now)
            if status.is_ready and not status.is_leaving
        ]

    def discard_expired(self, now: float) -> None:
        """Discard nodes without a report for `RETENTION_SECONDS`.

        Args:
            now: Loop time.
        """
        for host, status in list(self._status_by_host.items()):
            if now - status.last_seen_at > RETENTION_SECONDS:
                del self._status_by_host[host]
        self.senders.discard_expired(now)
        for host, (_, added_at) in list(self._unconfirmed_by_host.items()):
            if now - added_at > RETENTION_SECONDS:
                del self._unconfirmed_by_host[host]

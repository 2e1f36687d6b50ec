"""Which nodes run, and which of them place requests for all.

The longest-running nodes of the largest hosts are the hubs: every node reports to the first few of
them, and asks the first for placements. The first hub tells all others of changes, and sends the
hash of its view with every answer, so that the list of all nodes is only sent where views differ.
Nothing that must hold depends on two nodes agreeing; where they differ, two hubs place with partial
knowledge of each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from dragonflycove.fleet import catalog, entry_points

if TYPE_CHECKING:
    from collections.abc import Iterable

HUBS = 3
"""Nodes that all others report to; two may be lost at once without a gap."""

REPORT_SECONDS = 0.25
"""Time between two reports of a node in a small fleet."""

REPORT_SECONDS_PER_NODE = 0.0035
"""Time between two reports, per node of a large fleet; bounds what reaches a hub to 300 a second."""

LONGEST_REPORT_SECONDS = 0.9
"""Longest time between two reports; silence must show within the users' bound for killed nodes."""

SILENT_REPORTS = 4.8
"""Missing reports after which a node counts as gone; single datagrams are lost."""

ISOLATED_SECONDS = 4.0
"""Silence that is borne from others while no hub is heard; under the users' bound for killed nodes."""

CANDIDATE_SECONDS = 1.0
"""Time within which a node that is only known by record has to answer."""

FORGET_SECONDS = 30.0
"""Time after which a node that is silent is no longer asked."""

LARGE_HOST_CORES = 0.9
"""Share of a core from which a host is preferred as a hub."""


class Member(NamedTuple):
    """A start of a node."""

    host: str
    """Host name."""

    incarnation: int
    """Unix milliseconds of the process's start; tells starts apart and ranks them."""

    zone: str
    """Availability zone."""

    region: str
    """Region."""

    peer_address: catalog.Address
    """Where other nodes reach it."""

    caller_address: catalog.Address
    """Where callers reach it."""

    cores: float
    """Its share of a core."""

    @property
    def rank(self) -> tuple[bool, int, str]:
        """Order in which nodes become hubs; the least goes first."""
        return self.cores < LARGE_HOST_CORES, self.incarnation, self.host


class Sighting(NamedTuple):
    """What is known of a node's last report."""

    member: Member
    """The node."""

    heard_at: float
    """Loop time at which it was last known to run."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""


def view_of(sightings: Iterable[Sighting]) -> int:
    """Return a hash of a set of nodes that does not depend on their order.

    Args:
        sightings: The nodes.
    """
    view = 0
    for sighting in sightings:
        member = sighting.member
        text = f"{member.host} {member.incarnation} {sighting.is_ready} {sighting.is_leaving}"
        view ^= xxhash.xxh3_64_intdigest(text.encode())
    return view


class Roster:
    """The nodes that this node knows of."""

    def __init__(self, own: Member) -> None:
        """Create a roster of one.

        Args:
            own: This node.
        """
        self._own = own
        self.is_ready = False
        """Whether this node takes callers."""
        self.is_leaving = False
        """Whether this node is stopping, and so no hub."""
        self._sighting_by_host: dict[str, Sighting] = {}
        self._listed_at_by_host: dict[str, tuple[Member, float]] = {}
        self._hub_heard_at = float("-inf")
        self._suspected_until_by_host: dict[str, float] = {}

    @property
    def report_seconds(self) -> float:
        """Time between two reports in a fleet of this size."""
        wanted = REPORT_SECONDS_PER_NODE * (1 + len(self._sighting_by_host))
        return min(LONGEST_REPORT_SECONDS, max(REPORT_SECONDS, wanted))

    @property
    def unresponsive_after_seconds(self) -> float:
        """Silence after which a node counts as gone."""
        return SILENT_REPORTS * self.report_seconds

    def member(self, host: str, incarnation: int) -> Member | None:
        """Return a node whose addresses are known.

        Args:
            host: Its host.
            incarnation: Start of its process.
        """
        sighting = self._sighting_by_host.get(host)
        if sighting is not None and sighting.member.incarnation == incarnation:
            return sighting.member
        return None

    def on_heard(self, member: Member, now: float, *, is_ready: bool, is_leaving: bool) -> bool:
        """Note that a node runs.

        Args:
            member: The node.
            now: Loop time at which it ran.
            is_ready: Whether it takes callers.
            is_leaving: Whether it is stopping.

        Returns:
            Whether other nodes should be told at once.
        """
        if member.host == self._own.host:
            return False
        known = self._sighting_by_host.get(member.host)
        if known is not None and member.incarnation < known.member.incarnation:
            return False
        self._sighting_by_host[member.host] = Sighting(member, now, is_ready, is_leaving)
        self._listed_at_by_host.pop(member.host, None)
        return (
            known is None
            or known.member != member
            or known.is_ready != is_ready
            or known.is_leaving != is_leaving
            or now - known.heard_at > self.unresponsive_after_seconds
        )

    def on_gone(self, member: Member, now: float) -> None:
        """Note that a hub no longer hears a node.

        Args:
            member: The node.
            now: Loop time.
        """
        known = self._sighting_by_host.get(member.host)
        if known is not None and known.member.incarnation <= member.incarnation:
            silent_since = now - self.unresponsive_after_seconds - ISOLATED_SECONDS
            self._sighting_by_host[member.host] = known._replace(
                heard_at=min(known.heard_at, silent_since)
            )

    def on_list(self, members: Iterable[Member], asked_at: float, now: float) -> None:
        """Note that a hub has listed all nodes.

        Args:
            members: The nodes of the list.
            asked_at: Loop time after which a node heard directly stays, listed or not.
            now: Loop time.
        """
        hosts = {member.host for member in members}
        for host, sighting in list(self._sighting_by_host.items()):
            if host not in hosts and sighting.heard_at < asked_at:
                self.on_gone(sighting.member, now)

    def on_confirmed(self, now: float) -> None:
        """Note that the first hub's view is the same as this node's.

        Args:
            now: Loop time.
        """
        for sighting in self.alive(now):
            self._sighting_by_host[sighting.member.host] = sighting._replace(heard_at=now)

    def on_store_record(self, member: Member, now: float) -> None:
        """Note a node that is known by its record in the store.

        Args:
            member: The node.
            now: Loop time.
        """
        if member.host == self._own.host or member.host in self._sighting_by_host:
            return
        if member.host not in self._listed_at_by_host:
            self._listed_at_by_host[member.host] = (member, now)

    def on_hub_heard(self, host: str, now: float) -> None:
        """Note that a hub answered.

        Args:
            host: The hub.
            now: Loop time.
        """
        self._hub_heard_at = now
        self._suspected_until_by_host.pop(host, None)

    def suspect(self, host: str, until: float) -> None:
        """Pass a hub over for a while.

        Args:
            host: The hub.
            until: Loop time.
        """
        self._suspected_until_by_host[host] = until

    def is_suspected(self, host: str, now: float) -> bool:
        """Whether a hub is passed over.

        Args:
            host: The hub.
            now: Loop time.
        """
        return self._suspected_until_by_host.get(host, 0.0) > now

    def alive(self, now: float) -> list[Sighting]:
        """Return the nodes that run as far as is known, this one left out.

        Args:
            now: Loop time.
        """
        limit = self._silence_limit(now)
        return [
            sighting
            for sighting in self._sighting_by_host.values()
            if now - sighting.heard_at <= limit
        ]

    def _silence_limit(self, now: float) -> float:
        is_connected = now - self._hub_heard_at <= self.unresponsive_after_seconds
        return (
            self.unresponsive_after_seconds
            if is_connected
            else max(self.unresponsive_after_seconds, ISOLATED_SECONDS)
        )

    def members_hash(self, now: float) -> int:
        """Return a hash of all nodes that run, this one included.

        Args:
            now: Loop time.
        """
        own = Sighting(self._own, now, self.is_ready, self.is_leaving)
        return view_of([own, *self.alive(now)])

    def hubs(self, now: float) -> list[Member]:
        """Return the hubs, the first one first; this node may be among them.

        Args:
            now: Loop time.
        """
        members = [
            sighting.member
            for sighting in self._sighting_by_host.values()
            if now - sighting.heard_at <= self.unresponsive_after_seconds
            and not sighting.is_leaving
        ]
        if not self.is_leaving:
            members.append(self._own)
        return sorted(members, key=lambda member: member.rank)[:HUBS]

    def hub_rank(self, now: float) -> int:
        """Return this node's place among the hubs; -1 if it is none.

        Args:
            now: Loop time.
        """
        hosts = [hub.host for hub in self.hubs(now)]
        return hosts.index(self._own.host) if self._own.host in hosts else -1

    def is_first_hub(self, now: float) -> bool:
        """Whether this node places for all.

        Args:
            now: Loop time.
        """
        return self.hub_rank(now) == 0

    def unconfirmed(self, now: float) -> list[Member]:
        """Return the nodes known only by record that have not had their time to answer.

        Args:
            now: Loop time.
        """
        return [
            member
            for member, listed_at in self._listed_at_by_host.values()
            if now - listed_at <= CANDIDATE_SECONDS
        ]

    def unresponsive(self, now: float) -> list[Member]:
        """Return the nodes that went silent lately, which may only be cut off.

        Args:
            now: Loop time.
        """
        return [
            sighting.member
            for sighting in self._sighting_by_host.values()
            if self.unresponsive_after_seconds < now - sighting.heard_at <= FORGET_SECONDS
        ]

    def node_count(self, now: float) -> int:
        """Return how many nodes may be sending, this one included.

        Args:
            now: Loop time.
        """
        recent = sum(
            1
            for sighting in self._sighting_by_host.values()
            if now - sighting.heard_at <= FORGET_SECONDS
        )
        return 1 + recent + len(self._listed_at_by_host)

    def entry_points(self, now: float) -> list[entry_points.EntryPoint]:
        """Return the other nodes that take callers.

        Args:
            now: Loop time.
        """
        return [
            entry_points.EntryPoint(
                sighting.member.caller_address,
                sighting.member.zone,
                sighting.member.region,
                sighting.member.cores,
            )
            for sighting in self.alive(now)
            if sighting.is_ready and not sighting.is_leaving
        ]

    def discard_expired(self, now: float) -> None:
        """Drop nodes that have been silent for long.

        Args:
            now: Loop time.
        """
        for host, sighting in list(self._sighting_by_host.items()):
            if now - sighting.heard_at > FORGET_SECONDS:
                del self._sighting_by_host[host]
        for host, (_, listed_at) in list(self._listed_at_by_host.items()):
            if now - listed_at > FORGET_SECONDS:
                del self._listed_at_by_host[host]

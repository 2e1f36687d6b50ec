"""Which nodes run, and which of them place requests for all.

The longest-running nodes of the largest hosts are the hubs: every node reports to the first few of
them, and asks the first for placements. Nothing that must hold depends on two nodes agreeing about
it; where they differ, two hubs place with partial knowledge of each other.
"""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.fleet import catalog, entry_points

HUBS = 3
"""Nodes that all others report to; two may be lost at once without a gap."""

ALIVE_SECONDS = 1.2
"""Silence after which a node counts as gone; it reports four times a second."""

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
    """Loop time of its last report, at this node or at a hub."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""


class Roster:
    """The nodes that this node knows of."""

    def __init__(self, own: Member) -> None:
        """Create a roster of one.

        Args:
            own: This node.
        """
        self._own = own
        self.is_leaving = False
        """Whether this node is stopping, and so no hub."""
        self._sighting_by_host: dict[str, Sighting] = {}
        self._listed_at_by_host: dict[str, tuple[Member, float]] = {}
        self._hub_heard_at = float("-inf")
        self._suspected_until_by_host: dict[str, float] = {}

    def on_heard(
        self, member: Member, now: float, *, is_ready: bool, is_leaving: bool
    ) -> bool:
        """Note a node's own report.

        Args:
            member: The node.
            now: Loop time at which it was current.
            is_ready: Whether it takes callers.
            is_leaving: Whether it is stopping.

        Returns:
            Whether other nodes should be told at once.
        """
        if member.host == self._own.host:
            return False
        known = self._sighting_by_host.get(member.host)
        if known is not None:
            if member.incarnation < known.member.incarnation:
                return False
            if member == known.member and now <= known.heard_at:
                return False
        self._sighting_by_host[member.host] = Sighting(member, now, is_ready, is_leaving)
        self._listed_at_by_host.pop(member.host, None)
        return (
            known is None
            or known.member != member
            or known.is_ready != is_ready
            or known.is_leaving != is_leaving
            or now - known.heard_at > ALIVE_SECONDS
        )

    def on_listed(self, member: Member, now: float) -> None:
        """Note a node that is known by its record in the store, or as a seed.

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
        """Return the nodes that reported lately, this one left out.

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
        is_connected = now - self._hub_heard_at <= ALIVE_SECONDS
        return ALIVE_SECONDS if is_connected else ISOLATED_SECONDS

    def hubs(self, now: float) -> list[Member]:
        """Return the hubs, the first one first; this node may be among them.

        Args:
            now: Loop time.
        """
        members = [
            sighting.member
            for sighting in self._sighting_by_host.values()
            if now - sighting.heard_at <= ALIVE_SECONDS and not sighting.is_leaving
        ]
        if not self.is_leaving:
            members.append(self._own)
        return sorted(members, key=lambda member: member.rank)[:HUBS]

    def candidates(self, now: float) -> list[Member]:
        """Return the nodes known only by record that have not had their time to answer.

        Args:
            now: Loop time.
        """
        return [
            member
            for member, listed_at in self._listed_at_by_host.values()
            if now - listed_at <= CANDIDATE_SECONDS
        ]

    def silent(self, now: float) -> list[Member]:
        """Return the nodes that went silent lately, which may only be cut off.

        Args:
            now: Loop time.
        """
        return [
            sighting.member
            for sighting in self._sighting_by_host.values()
            if ALIVE_SECONDS < now - sighting.heard_at <= FORGET_SECONDS
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

    def sightings(self) -> list[Sighting]:
        """Return all that is known of other nodes' reports."""
        return list(self._sighting_by_host.values())

    def forget_old(self, now: float) -> None:
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

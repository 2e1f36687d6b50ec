"""What a node believes of the configuration and the backend servers, with offsets and ages.

Every record carries its offset in the store, and nothing replaces a record of a higher offset, so
stale answers, late relays and repeated reads never set a belief back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import catalog

if TYPE_CHECKING:
    from collections.abc import Iterable

LAPSE_GRACE_SECONDS = 2.2
"""Time after the store's return in which servers that lapsed meanwhile register again.

The platform states about two seconds; the rest covers the interval of reading.
"""

OUTAGE_SECONDS = 2.4
"""Gap in the knowledge of the store after which servers may have lapsed that still run.

A server lapses after three heartbeats, some 3.6 s; nodes read the store every 1.5 s at least.
"""

COLD_SLACK_SECONDS = 0.5
"""Time by which a cold start may seem to last longer in the next record; records come late."""

TOMBSTONE_SECONDS = 120.0
"""Time for which a dropped key is remembered for peers that still hold it.

Far above the time within which a node reads the store or hears a peer.
"""


class ServerBelief(NamedTuple):
    """What is known of one server id."""

    server: catalog.BackendServer | None
    """The server; None if the key was dropped or its record names no usable server."""

    offset: int
    """Offset of the record."""

    known_at: float
    """Loop time at which the record was learned."""

    lapses_at: float | None
    """Loop time after which a dropped server is gone; None if the record is not dropped."""


def _says_nothing_new(belief: ServerBelief, server: catalog.BackendServer, now: float) -> bool:
    """Whether a record only repeats a belief; the time that is left of a cold start runs down."""
    known = belief.server
    if known is None or belief.lapses_at is not None:
        return False
    if known._replace(cold_seconds=0.0) != server._replace(cold_seconds=0.0):
        return False
    longer = now + server.cold_seconds - max(now, belief.known_at + known.cold_seconds)
    return server.cold_seconds == known.cold_seconds == 0.0 or longer < COLD_SLACK_SECONDS


class StoreView:
    """The newest records that this node has learned."""

    def __init__(self) -> None:
        """Create an empty belief."""
        self.configuration: catalog.Configuration | None = None
        """The configuration in force."""
        self.configuration_offset = -1
        """Offset of its record."""
        self._evacuation_by_zone: dict[str, tuple[int, bool]] = {}
        self._belief_by_id: dict[str, ServerBelief] = {}
        self.server_revision = -1
        """Highest offset of a server record that changed a belief."""
        self.operator_revision = -1
        """Highest offset of an operator's record that changed a belief."""
        self.fresh_at = float("-inf")
        """Loop time up to which the servers' records are known."""
        self._regained_at = float("-inf")

    def apply_configuration(self, configuration: catalog.Configuration, offset: int) -> bool:
        """Put a configuration in force unless it is older than the one in force.

        Args:
            configuration: The configuration.
            offset: Offset of its record.

        Returns:
            Whether it is newer.
        """
        current = self.configuration
        if offset <= self.configuration_offset:
            return False
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.configuration_offset = offset
        self.operator_revision = max(self.operator_revision, offset)
        return True

    def apply_evacuation(self, zone: str, is_out: bool, offset: int) -> bool:
        """Take an availability zone out or back.

        Args:
            zone: The zone.
            is_out: Whether its servers get nothing more.
            offset: Offset of the record.

        Returns:
            Whether the belief changed.
        """
        known_offset, was_out = self._evacuation_by_zone.get(zone, (-1, False))
        if offset <= known_offset:
            return False
        self._evacuation_by_zone[zone] = (offset, is_out)
        self.operator_revision = max(self.operator_revision, offset)
        return is_out != was_out

    def apply_server(
        self, server_id: str, server: catalog.BackendServer | None, offset: int, now: float
    ) -> bool:
        """Take in a server's record.

        Args:
            server_id: Its key.
            server: The server; None if the key was dropped or names no usable server.
            offset: Offset of the record.
            now: Loop time.

        Returns:
            Whether more changed than the record's offset.
        """
        belief = self._belief_by_id.get(server_id)
        if belief is not None and offset <= belief.offset:
            return False
        if server is None:
            return self._drop_server(server_id, belief, offset, now)
        if belief is not None and _says_nothing_new(belief, server, now):
            self._belief_by_id[server_id] = belief._replace(offset=offset)
            return False
        self._belief_by_id[server_id] = ServerBelief(server, offset, now, None)
        self.server_revision = max(self.server_revision, offset)
        return True

    def _drop_server(
        self, server_id: str, belief: ServerBelief | None, offset: int, now: float
    ) -> bool:
        server = belief.server if belief else None
        lapses_at = now
        if server is not None and server.state is catalog.ServerState.READY:
            lapses_at = self._lapse_time(now)
        changed = belief is None or belief.lapses_at is None
        if not changed and belief is not None and belief.lapses_at is not None:
            lapses_at = belief.lapses_at
        self._belief_by_id[server_id] = ServerBelief(server, offset, now, lapses_at)
        if changed:
            self.server_revision = max(self.server_revision, offset)
        return changed

    def _lapse_time(self, now: float) -> float:
        """Return when a server whose key is dropped now counts as gone."""
        return max(now, self._regained_at + LAPSE_GRACE_SECONDS)

    def drop_missing_servers(self, present: Iterable[str], end: int, now: float) -> list[str]:
        """Drop the servers that a listing of all keys does not hold.

        Args:
            present: Keys of the listing.
            end: End of the topic when the listing began.
            now: Loop time.

        Returns:
            The ids that were dropped.
        """
        keys = set(present)
        missing = [
            server_id
            for server_id, belief in self._belief_by_id.items()
            if server_id not in keys and belief.offset < end - 1 and belief.lapses_at is None
        ]
        for server_id in missing:
            self.apply_server(server_id, None, end - 1, now)
        return missing

    def drop_missing_zones(self, present: Iterable[str], end: int) -> list[str]:
        """Take back the zones that a listing of all keys does not take out.

        Args:
            present: Zones that the listing takes out.
            end: End of the topic when the listing began.

        Returns:
            The zones that came back.
        """
        zones = set(present)
        return [
            zone
            for zone, (offset, is_out) in list(self._evacuation_by_zone.items())
            if is_out
            and zone not in zones
            and offset < end - 1
            and self.apply_evacuation(zone, False, end - 1)
        ]

    def on_synced(self, as_of: float, now: float) -> None:
        """Note that the servers' records are known as they were at a time.

        A gap in that knowledge, by the store and by all peers, means that the store was away or
        that this process stood still. Servers may have lapsed meanwhile that still run.

        Args:
            as_of: Loop time up to which they are known.
            now: Loop time.
        """
        if as_of - self.fresh_at > OUTAGE_SECONDS and self.fresh_at > float("-inf"):
            self._regained_at = now
        self.fresh_at = max(self.fresh_at, as_of)

    def is_evacuated(self, zone: str) -> bool:
        """Whether the servers of a zone get nothing.

        Args:
            zone: The zone.
        """
        return self._evacuation_by_zone.get(zone, (0, False))[1]

    def usable_servers(self, service: str, now: float) -> list[catalog.BackendServer]:
        """Return the servers of a service that may get new requests.

        Args:
            service: The service.
            now: Loop time.
        """
        return [
            belief.server
            for belief in self._belief_by_id.values()
            if belief.server is not None
            and belief.server.service == service
            and belief.server.state is catalog.ServerState.READY
            and (belief.lapses_at is None or now < belief.lapses_at)
            and not self.is_evacuated(belief.server.zone)
        ]

    def is_usable(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server may get new requests.

        Args:
            instance: The start of the server that is meant.
            now: Loop time.
        """
        belief = self._belief_by_id.get(instance.server_id)
        return (
            belief is not None
            and belief.server is not None
            and belief.server.instance == instance
            and belief.server.state is catalog.ServerState.READY
            and (belief.lapses_at is None or now < belief.lapses_at)
            and not self.is_evacuated(belief.server.zone)
        )

    def cold_until(self, instance: catalog.Instance) -> float:
        """Return until when a server is cold, as its record says.

        Args:
            instance: The server.
        """
        belief = self._belief_by_id.get(instance.server_id)
        if belief is None or belief.server is None or belief.server.instance != instance:
            return float("-inf")
        return belief.known_at + belief.server.cold_seconds

    @property
    def server_count(self) -> int:
        """Servers that are registered."""
        return sum(1 for belief in self._belief_by_id.values() if belief.lapses_at is None)

    def discard_expired(self, now: float) -> None:
        """Drop the memory of keys that were dropped long ago.

        Args:
            now: Loop time.
        """
        for server_id, belief in list(self._belief_by_id.items()):
            if belief.lapses_at is not None and now > belief.lapses_at + TOMBSTONE_SECONDS:
                del self._belief_by_id[server_id]

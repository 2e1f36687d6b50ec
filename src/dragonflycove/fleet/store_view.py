"""A node's view of the store's records: configuration, evacuated zones and backend servers.

Every record carries its offset in the store and never replaces one with a higher offset, so stale
responses, late relays by peers and repeated reads can't revert the view.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import catalog, leaving_servers

if TYPE_CHECKING:
    from collections.abc import Iterable

REREGISTRATION_GRACE_SECONDS = 2.2
"""Time after a store outage in which servers whose registration expired register again.

The platform states about two seconds; the rest covers the interval between two reads.
"""

MIN_OUTAGE_SECONDS = 2.4
"""Minimum time without a current view after which running servers' registrations may have expired.

A registration expires after three heartbeats, some 3.6 s; nodes read the store every 1.5 s or more
often.
"""

COLD_START_TOLERANCE_SECONDS = 0.5
"""Increase of a cold start's remaining time that is ignored; records arrive with varying delay."""

TOMBSTONE_SECONDS = 120.0
"""Time for which a deleted key is kept, so that a peer's older record doesn't restore it.

Far longer than the intervals at which a node reads the store and hears from its peers.
"""


KEPT_CONFIGURATIONS = 4
"""Earlier configurations that are kept for requests which arrived while they were in force."""


class ServerRecord(NamedTuple):
    """The newest record of one server id."""

    server: catalog.BackendServer | None
    """The server; None if the key was deleted or its record describes no usable server."""

    offset: int
    """Offset of the record in the store."""

    received_at: float
    """Loop time at which this node received the record."""

    usable_until: float | None
    """Loop time until which a deleted server still counts; None if the key is not deleted."""


def _is_unchanged(record: ServerRecord, server: catalog.BackendServer, now: float) -> bool:
    """Whether a server equals its last record, apart from the time left of a cold start."""
    current = record.server
    if current is None or record.usable_until is not None:
        return False
    if current._replace(cold_seconds=0.0) != server._replace(cold_seconds=0.0):
        return False
    added_seconds = now + server.cold_seconds - max(now, record.received_at + current.cold_seconds)
    return (
        server.cold_seconds == current.cold_seconds == 0.0
        or added_seconds < COLD_START_TOLERANCE_SECONDS
    )


class StoreView:
    """The newest records that this node has received."""

    def __init__(self, leaving: leaving_servers.LeavingServers | None = None) -> None:
        """Create a view without records.

        Args:
            leaving: Servers that leave, whatever their records state; None for none.
        """
        self._leaving = leaving_servers.LeavingServers() if leaving is None else leaving
        self.configuration: catalog.Configuration | None = None
        """The configuration in force; None before the first one."""
        self.configuration_offset = -1
        """Offset of its record; -1 before the first one."""
        self._unreadable_offset = -1
        # Earlier configurations and the loop times at which they were replaced, the oldest first.
        self._replaced: collections.deque[tuple[catalog.Configuration, float]] = collections.deque(
            maxlen=KEPT_CONFIGURATIONS
        )
        self._evacuation_by_zone: dict[str, tuple[int, bool]] = {}
        self._record_by_id: dict[str, ServerRecord] = {}
        self._alive_at_by_instance: dict[catalog.Instance, float] = {}
        self.synced_at = float("-inf")
        """Loop time up to which the servers' records are known; -inf before the first read."""
        self._outage_ended_at = float("-inf")

    def apply_configuration(
        self, configuration: catalog.Configuration, offset: int, now: float = float("-inf")
    ) -> bool:
        """Put a configuration in force if its offset and version are newer.

        Args:
            configuration: The configuration.
            offset: Offset of its record.
            now: Loop time; -inf if requests that arrived before aren't to be told apart.

        Returns:
            Whether it is now in force.
        """
        current = self.configuration
        if offset <= self.configuration_offset:
            return False
        if current is not None and configuration.version <= current.version:
            return False
        if current is not None:
            self._replaced.append((current, now))
        self.configuration = configuration
        self.configuration_offset = offset
        return True

    def configurations_since(self, at: float) -> list[catalog.Configuration]:
        """Return the configurations that have been in force at or after a time, the newest first.

        Args:
            at: Loop time.
        """
        earlier = [one for one, replaced_at in reversed(self._replaced) if replaced_at > at]
        return earlier if self.configuration is None else [self.configuration, *earlier]

    def on_unreadable_configuration(self, offset: int) -> None:
        """Record that a configuration can't be decoded.

        Args:
            offset: Offset of its record.
        """
        self._unreadable_offset = max(self._unreadable_offset, offset)

    @property
    def has_unreadable_configuration(self) -> bool:
        """Whether a configuration newer than the one in force can't be decoded."""
        return self._unreadable_offset > self.configuration_offset

    def apply_evacuation(self, zone: str, evacuated: bool, offset: int) -> bool:
        """Set whether an availability zone is evacuated.

        Args:
            zone: The zone.
            evacuated: Whether its servers get no requests.
            offset: Offset of the record.

        Returns:
            Whether the zone's state changed.
        """
        known_offset, was_evacuated = self._evacuation_by_zone.get(zone, (-1, False))
        if offset <= known_offset:
            return False
        self._evacuation_by_zone[zone] = (offset, evacuated)
        return evacuated != was_evacuated

    def apply_server(
        self, server_id: str, server: catalog.BackendServer | None, offset: int, now: float
    ) -> bool:
        """Apply a server's record if its offset is newer.

        Args:
            server_id: Key of the record.
            server: The server; None if the key was deleted or describes no usable server.
            offset: Offset of the record.
            now: Loop time.

        Returns:
            Whether the server's record changed in more than its offset.
        """
        record = self._record_by_id.get(server_id)
        if record is not None and offset <= record.offset:
            return False
        if server is None:
            return self._drop_server(server_id, record, offset, now)
        if record is not None and _is_unchanged(record, server, now):
            self._record_by_id[server_id] = record._replace(offset=offset)
            return False
        self._record_by_id[server_id] = ServerRecord(server, offset, now, None)
        return True

    def _drop_server(
        self, server_id: str, record: ServerRecord | None, offset: int, now: float
    ) -> bool:
        server = record.server if record else None
        usable_until = now
        if server is not None and server.state is catalog.ServerState.READY:
            usable_until = self._usable_until(now)
        changed = record is None or record.usable_until is None
        if not changed and record is not None and record.usable_until is not None:
            usable_until = record.usable_until
        self._record_by_id[server_id] = ServerRecord(server, offset, now, usable_until)
        return changed

    def _usable_until(self, now: float) -> float:
        """Return the loop time until which a server still counts if its key is deleted now."""
        return max(now, self._outage_ended_at + REREGISTRATION_GRACE_SECONDS)

    def drop_missing_servers(self, present: Iterable[str], end: int, now: float) -> list[str]:
        """Remove the servers that a listing of all keys doesn't contain.

        Args:
            present: Keys in the listing.
            end: End of the topic when the listing began.
            now: Loop time.

        Returns:
            The ids of the removed servers.
        """
        keys = set(present)
        missing = [
            server_id
            for server_id, record in self._record_by_id.items()
            if server_id not in keys and record.offset < end - 1 and record.usable_until is None
        ]
        for server_id in missing:
            self.apply_server(server_id, None, end - 1, now)
        return missing

    def drop_missing_zones(self, present: Iterable[str], end: int) -> list[str]:
        """End the evacuation of zones that a listing of all keys doesn't contain.

        Args:
            present: Evacuated zones in the listing.
            end: End of the topic when the listing began.

        Returns:
            The zones that are no longer evacuated.
        """
        zones = set(present)
        return [
            zone
            for zone, (offset, evacuated) in list(self._evacuation_by_zone.items())
            if evacuated
            and zone not in zones
            and offset < end - 1
            and self.apply_evacuation(zone, False, end - 1)
        ]

    def on_synced(self, as_of: float, now: float) -> None:
        """Record up to when the servers' records are known.

        Args:
            as_of: Loop time up to which the records are known.
            now: Loop time.
        """
        self.on_read(as_of, now)
        self.synced_at = max(self.synced_at, as_of)

    def on_read(self, as_of: float, now: float) -> None:
        """Record that servers' records arrive, all or only the oldest unknown ones.

        If neither the store nor a peer confirmed them for `MIN_OUTAGE_SECONDS`, then the store was
        unavailable or this process was suspended. Registrations of running servers may have expired
        meanwhile, so servers deleted just after that stay usable for a grace period.

        Args:
            as_of: Loop time of the records' source.
            now: Loop time.
        """
        if as_of - self.synced_at > MIN_OUTAGE_SECONDS and self.synced_at > float("-inf"):
            self._outage_ended_at = now

    def is_evacuated(self, zone: str) -> bool:
        """Whether a zone is evacuated, so that its servers get no requests.

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
            record.server
            for record in self._record_by_id.values()
            if record.server is not None
            and record.server.service == service
            and record.server.state is catalog.ServerState.READY
            and (record.usable_until is None or now < record.usable_until)
            and not self.is_evacuated(record.server.zone)
            and not self._leaving.is_leaving(record.server.instance)
        ]

    def server(self, instance: catalog.Instance) -> catalog.BackendServer | None:
        """Return a registered server; None if this instance isn't registered.

        Args:
            instance: The server's instance.
        """
        record = self._record_by_id.get(instance.server_id)
        server = record.server if record is not None else None
        return server if server is not None and server.instance == instance else None

    def services(self) -> set[str]:
        """Return the names of all services that have records of servers."""
        return {record.server.service for record in self._record_by_id.values() if record.server}

    def is_usable(self, instance: catalog.Instance, now: float) -> bool:
        """Whether an instance may get new requests.

        Args:
            instance: The server's instance.
            now: Loop time.
        """
        record = self._record_by_id.get(instance.server_id)
        return (
            record is not None
            and record.server is not None
            and record.server.instance == instance
            and record.server.state is catalog.ServerState.READY
            and (record.usable_until is None or now < record.usable_until)
            and not self.is_evacuated(record.server.zone)
            and not self._leaving.is_leaving(instance)
        )

    def on_heartbeat(self, server_id: str, written_after: float) -> None:
        """Record that a server was alive, since it has written its record.

        Args:
            server_id: Key of the record, which has been applied.
            written_after: Loop time after which the record was written.
        """
        record = self._record_by_id.get(server_id)
        if record is not None and record.server is not None and record.usable_until is None:
            self._alive_at_by_instance[record.server.instance] = written_after

    def alive_at(self, instance: catalog.Instance) -> float:
        """Return a loop time at which an instance was certainly running; -inf if none is known.

        Args:
            instance: The server's instance.
        """
        return self._alive_at_by_instance.get(instance, float("-inf"))

    def has_crashed(self, instance: catalog.Instance, now: float) -> bool:
        """Whether an instance has ended without having announced it.

        Its record has lapsed, or states a later start.

        Args:
            instance: The server's instance.
            now: Loop time.
        """
        record = self._record_by_id.get(instance.server_id)
        if record is None or record.server is None:
            return False
        if record.server.instance != instance:
            return record.server.instance.started_at_ms > instance.started_at_ms
        return (
            record.usable_until is not None
            and now >= record.usable_until
            and record.server.state is catalog.ServerState.READY
        )

    def cold_until(self, instance: catalog.Instance) -> float:
        """Return the loop time until which a server is cold according to its record.

        Args:
            instance: The server.
        """
        record = self._record_by_id.get(instance.server_id)
        if record is None or record.server is None or record.server.instance != instance:
            return float("-inf")
        return record.received_at + record.server.cold_seconds

    @property
    def server_count(self) -> int:
        """Number of registered servers, whatever their state."""
        return sum(1 for record in self._record_by_id.values() if record.usable_until is None)

    def discard_expired(self, now: float) -> None:
        """Discard deleted keys after `TOMBSTONE_SECONDS`.

        Args:
            now: Loop time.
        """
        for server_id, record in list(self._record_by_id.items()):
            if record.usable_until is not None and now > record.usable_until + TOMBSTONE_SECONDS:
                del self._record_by_id[server_id]
        for instance in list(self._alive_at_by_instance):
            if instance.server_id not in self._record_by_id:
                del self._alive_at_by_instance[instance]

"""Reads the operators' and servers' records from the store into this node's store view."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.gateway import topic_position
from dragonflycove.platform import records, store
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.fleet import catalog, store_view
    from dragonflycove.gateway import peer_transfer

MIN_POLL_SECONDS = 0.05
"""Minimum time between two checks whether a read is due."""

MIN_OUTAGE_FAILURES = 2
"""Failed reads in a row that count as an outage of the store; one may be a closed connection."""

_READ_BY_LISTING = frozenset({store.Failure.EXPIRED, store.Failure.TOO_LONG})
"""Failures of a read after which the topic is listed, in pages, instead."""

STALE_READ_SECONDS = 3.5
"""Time by which a response of the store may lag behind; the specification has stale reads of 3 s."""


class StoreFollower:
    """Keeps the store view up to date with the store."""

    def __init__(
        self,
        address: catalog.Address,
        view: store_view.StoreView,
        max_age: Callable[[], float],
    ) -> None:
        """Create a follower; `run` reads the store.

        Args:
            address: Address of the store.
            view: View that the records are applied to.
            max_age: Returns the age, seconds, at which this node reads a topic's records again.
        """
        self._client_by_topic = {
            topic: store.StoreClient(address)
            for topic in (records.OPERATOR_TOPIC, records.SERVER_TOPIC)
        }
        self.view = view
        """View that the records are applied to."""
        self._max_age = max_age
        self._consecutive_failures = 0
        self._outage_started_at = 0.0
        self.operators = topic_position.TopicPosition(records.OPERATOR_TOPIC)
        """Position in the topic of operators' records."""
        self.servers = topic_position.TopicPosition(records.SERVER_TOPIC)
        """Position in the topic of servers' records."""

    @property
    def calls(self) -> int:
        """Number of calls made to the store."""
        return sum(client.calls for client in self._client_by_topic.values())

    async def run(self) -> None:
        """Read both topics whenever they are due; runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for position in (self.operators, self.servers):
                group.create_task(self._follow(position))

    async def _follow(self, position: topic_position.TopicPosition) -> None:
        loop = asyncio.get_running_loop()
        while True:
            age = loop.time() - position.fresh_as_of
            max_age_seconds = self._max_age()
            if age < max_age_seconds:
                await asyncio.sleep(max(MIN_POLL_SECONDS, max_age_seconds - age))
                continue
            started_at = loop.time()
            if await self._read_once(position, started_at):
                continue
            # While the store is unavailable, reads keep the same interval, which bounds the calls.
            await asyncio.sleep(max(MIN_POLL_SECONDS, max_age_seconds - (loop.time() - started_at)))

    async def _read_once(self, position: topic_position.TopicPosition, started_at: float) -> bool:
        """Read the new records of a topic; returns whether the store responded."""
        if position.next_offset is None or position.needs_listing:
            return await self._read_all(position, started_at)
        client = self._client_by_topic[position.topic]
        read = await client.read(position.topic, position.next_offset)
        if isinstance(read, result.Err):
            if read.err_value in _READ_BY_LISTING:
                logs.event(
                    "history_gone",
                    topic=position.topic,
                    offset=position.next_offset,
                    failure=read.err_value.value,
                )
                position.needs_listing = True
                return await self._read_all(position, started_at)
            self._on_failure(position, read.err_value)
            return False
        self._on_success()
        batch = read.ok_value
        if batch.end >= position.next_offset:
            if batch.next_offset >= batch.end:
                self.mark_fresh(position, started_at)
            elif position is self.servers:
                self.view.on_read(started_at, asyncio.get_running_loop().time())
            self.apply(position, batch.records)
            if position is self.servers:
                for record in batch.records:
                    self.view.on_heartbeat(record.key, position.read_at - STALE_READ_SECONDS)
            position.read_at = started_at
            position.advance(batch.next_offset)
        return True

    async def _read_all(self, position: topic_position.TopicPosition, started_at: float) -> bool:
        listed = await self._client_by_topic[position.topic].read_newest(position.topic)
        if isinstance(listed, result.Err):
            self._on_failure(position, listed.err_value)
            return False
        self._on_success()
        listing = listed.ok_value
        self.mark_fresh(position, started_at)
        self.apply(position, listing.records)
        self._drop_missing(position, listing.records, listing.end)
        # Pages are no snapshot: records after the end may precede changes that are not known yet.
        self._note_offsets(position, listing.records, listing.end)
        position.restart_from_listing(listing.end)
        position.read_at = started_at
        logs.event(
            "listed",
            topic=position.topic,
            keys=len(listing.records),
            end=listing.end,
            servers=self.view.server_count,
        )
        return True

    def _drop_missing(
        self,
        position: topic_position.TopicPosition,
        listed: Iterable[store.Record],
        end: int,
    ) -> None:
        """Drop the keys that a list of all keys, complete before an offset, doesn't contain."""
        present = [record.key for record in listed if record.value is not None]
        now = asyncio.get_running_loop().time()
        if position is self.servers:
            for server_id in self.view.drop_missing_servers(present, end, now):
                position.keep_newest(store.Record(server_id, None, end - 1))
                logs.event("server_gone", server=server_id, cause="not_listed")
        else:
            zones = [zone for key in present if (zone := records.evacuated_zone(key))]
            for zone in self.view.drop_missing_zones(zones, end):
                key = records.EVACUATION_PREFIX + zone
                position.keep_newest(store.Record(key, None, end - 1))
                logs.event("zone_back", zone=zone, cause="not_listed")

    def _on_failure(self, position: topic_position.TopicPosition, failure: store.Failure) -> None:
        self._consecutive_failures += 1
        now = asyncio.get_running_loop().time()
        if self._consecutive_failures == MIN_OUTAGE_FAILURES:
            self._outage_started_at = now
            logs.event(
                "store_lost",
                topic=position.topic,
                failure=failure.value,
                age=now - position.fresh_as_of,
            )

    def _on_success(self) -> None:
        if self._consecutive_failures >= MIN_OUTAGE_FAILURES:
            now = asyncio.get_running_loop().time()
            logs.event("store_regained", seconds=now - self._outage_started_at)
        self._consecutive_failures = 0

    def mark_fresh(self, position: topic_position.TopicPosition, as_of: float) -> None:
        """Record up to when a topic is known; must be called before its new records are applied.

        Args:
            position: The topic.
            as_of: Loop time at which it held nothing newer than what is known.
        """
        position.fresh_as_of = max(position.fresh_as_of, as_of)
        if position is self.servers:
            self.view.on_synced(as_of, asyncio.get_running_loop().time())

    def merge(
        self,
        position: topic_position.TopicPosition,
        requested: peer_transfer.TopicRequest,
        response: peer_transfer.TopicResponse,
        revision: int,
        requested_at: float,
    ) -> bool:
        """Apply the records of a topic that another node has sent.

        Args:
            position: The topic.
            requested: The request that they respond to.
            response: The records and their age.
            revision: The other node's revision when its records were requested.
            requested_at: Loop time of the request; the response is younger.

        Returns:
            Whether they complete the topic up to the other node's position. Otherwise that node
            doesn't know all deletions since this one's, and the position stays.
        """
        end = response.next_offset
        if end is not None:
            self.mark_fresh(position, requested_at - response.age_seconds)
        self.apply(position, sorted(response.records, key=lambda record: record.offset))
        # Two changes of a key may have cancelled out, which other nodes have seen one of.
        self._note_offsets(position, response.records, revision + 1)
        if end is None:
            return False
        position.note_change(revision)
        if requested.after != topic_position.NOTHING_KNOWN:
            position.advance(end)
        elif position.next_offset is None or end > position.next_offset:
            self._drop_missing(position, response.records, end)
            position.restart_from_listing(end)
        return True

    def _note_offsets(
        self, position: topic_position.TopicPosition, read: Iterable[store.Record], start: int
    ) -> None:
        """Count records from an offset on as changes, whether or not they changed the view."""
        position.note_change(
            max(
                (record.offset for record in read if record.offset >= start),
                default=topic_position.NOTHING_KNOWN,
            )
        )

    def apply(self, position: topic_position.TopicPosition, read: Iterable[store.Record]) -> None:
        """Apply records to the store view, except those that are older than what is known.

        A response may arrive after a later one has moved the position; its records may be of keys
        that were deleted since, of which nothing is kept.

        Args:
            position: Their topic.
            read: The records, in the order of their offsets.
        """
        for record in read:
            if position.is_known(record.offset) or not position.keep_newest(record):
                continue
            if position is self.servers:
                is_changed = self._apply_server_record(record)
            else:
                is_changed = self._apply_operator_record(record)
            if is_changed:
                position.note_change(record.offset)

    def _apply_operator_record(self, record: store.Record) -> bool:
        """Apply an operators' record; returns whether it may have changed another node's view."""
        zone = records.evacuated_zone(record.key)
        if zone is not None:
            is_out = record.value is not None
            if self.view.apply_evacuation(zone, is_out, record.offset):
                logs.event("zone_out" if is_out else "zone_back", zone=zone, offset=record.offset)
            # Also if the zone's state stays: a page of a listing may already have lacked the key.
            return True
        if record.key != records.CONFIGURATION_KEY or record.value is None:
            return False
        decoded = records.decode_configuration(record.value)
        if isinstance(decoded, result.Err):
            logs.warning("configuration_unreadable", offset=record.offset, why=decoded.err_value)
            self.view.on_unreadable_configuration(record.offset)
            return False
        now = asyncio.get_running_loop().time()
        if not self.view.apply_configuration(decoded.ok_value, record.offset, now):
            return False
        logs.event(
            "configuration_in_force",
            version=decoded.ok_value.version,
            offset=record.offset,
            routes=len(decoded.ok_value.route_by_host_prefix),
        )
        return True

    def _apply_server_record(self, record: store.Record) -> bool:
        """Apply a server's record; returns whether it changed the view."""
        now = asyncio.get_running_loop().time()
        server = None
        if record.value is not None:
            decoded = records.decode_server(record.key, record.value)
            if isinstance(decoded, result.Err):
                logs.warning("server_unreadable", server=record.key, why=decoded.err_value)
            else:
                server = decoded.ok_value
        if not self.view.apply_server(record.key, server, record.offset, now):
            return False
        logs.event(
            "server_changed" if server else "server_gone",
            server=record.key,
            offset=record.offset,
            state=server.state.value if server else "gone",
            service=server.service if server else "",
            zone=server.zone if server else "",
            cold=server.cold_seconds if server else 0.0,
        )
        return True

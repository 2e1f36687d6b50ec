"""Stand-in for the platform's store: topics of keyed records over HTTP, with faults."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import urllib.parse
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import catalog
from dragonflycove.gateway import caller_responses, callers

if TYPE_CHECKING:
    from dragonflycove.fleet import forwarding

PAGE_ENTRIES = 500
"""Maximum number of entries in a page of the newest records."""

_JSON = [(b"Content-Type", b"application/json")]

_LENGTH = struct.Struct(">I")


class Record(NamedTuple):
    """A record of a topic."""

    key: str
    """Key of the record."""

    value: bytes
    """Value of the record; empty for a deletion of the key."""


class StoreFaults:
    """Faults of one listener of the store, and thus of the nodes that use it."""

    def __init__(self) -> None:
        """Create the faults, all off."""
        self.clear()

    def clear(self) -> None:
        """Switch all faults off."""
        self.is_unresponsive = False
        """Whether calls get no response."""
        self.refusal_status = 0
        """HTTP status with which all calls are refused; 0 to accept calls."""
        self.delay_seconds = 0.004
        """Time before the response to a call."""
        self.drops_append_responses = False
        """Whether appends take effect and the connection is aborted without a response."""
        self.stale_records = 0
        """Number of newest records that reads omit."""


class PlatformStore:
    """Topics of one store, served by any number of listeners, each with its own faults."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.records_by_topic: dict[str, list[Record]] = {}
        """Records by topic; the index is the offset."""
        self.first_by_topic: dict[str, int] = {}
        """Lowest offset that can still be read, by topic."""
        self.calls = 0
        """Number of calls handled, without those refused or blocked by a fault."""
        self.listeners: list[callers.CallerListener] = []
        """All open listeners."""

    async def open_listener(self, address: catalog.Address) -> StoreFaults:
        """Open a further listener.

        Args:
            address: Listen address.

        Returns:
            The faults of this listener.
        """
        faults = StoreFaults()
        listener = callers.CallerListener(_StoreHandler(self, faults), _limits)
        await listener.listen(address)
        self.listeners.append(listener)
        return faults

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record on behalf of an operator or a server.

        Args:
            topic: Name of the topic.
            key: Key of the record.
            value: Value, to be encoded as JSON; None deletes the key.

        Returns:
            Offset of the record.
        """
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, Record(key, data))

    def append(self, topic: str, record: Record) -> int:
        """Append a record.

        Args:
            topic: Name of the topic.
            record: The record.

        Returns:
            Offset of the record.
        """
        records = self.records_by_topic.setdefault(topic, [])
        records.append(record)
        return len(records) - 1

    def compact_topic(self, topic: str) -> None:
        """Make all existing offsets unreadable; the newest record of each key stays available.

        Args:
            topic: Name of the topic.
        """
        self.first_by_topic[topic] = len(self.records_by_topic.get(topic, []))

    def close(self) -> None:
        """Stop accepting connections on all listeners."""
        for listener in self.listeners:
            listener.stop_accepting()


def _limits() -> catalog.CallerLimits:
    return catalog.CallerLimits(idle_seconds=60.0)


class _StoreHandler:
    """Serves the calls of one listener."""

    def __init__(self, store: PlatformStore, faults: StoreFaults) -> None:
        self._store = store
        self._faults = faults

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Serve one call, subject to the listener's faults."""
        faults = self._faults
        if faults.is_unresponsive:
            await asyncio.Event().wait()
        await asyncio.sleep(faults.delay_seconds)
        if faults.refusal_status:
            await response.write_complete(faults.refusal_status, _JSON, b"{}")
            return
        self._store.calls += 1
        query = dict(urllib.parse.parse_qsl(request.target.decode().partition("?")[2]))
        topic = query.get("topic", "")
        if request.path == "/log-append":
            await self._append(topic, request.body, response)
        elif request.path == "/log-read":
            await self._read(topic, query, response)
        elif request.path == "/log-newest":
            await self._newest(topic, query.get("after", ""), response)
        else:
            await response.write_complete(404, _JSON, b"{}")

    async def _append(
        self, topic: str, body: bytes, response: caller_responses.CallerResponse
    ) -> None:
        if topic in ("keyed.op", "keyed.servers"):
            await response.write_complete(403, _JSON, b"{}")
            return
        offset = len(self._store.records_by_topic.get(topic, []))
        end = offset
        position = 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            content = body[position : position + length]
            position += length
            key_end = 1 + content[0]
            record = Record(content[1:key_end].decode(), content[key_end:])
            end = self._store.append(topic, record) + 1
        if self._faults.drops_append_responses:
            response.abort()
            return
        await response.write_complete(
            200, _JSON, json.dumps({"offset": offset, "end": end}).encode()
        )

    async def _read(
        self, topic: str, query: dict[str, str], response: caller_responses.CallerResponse
    ) -> None:
        records = self._visible(topic)
        offset = int(query["from"])
        first = self._store.first_by_topic.get(topic, 0)
        if offset < first:
            await response.write_complete(410, _JSON, json.dumps({"first": first}).encode())
            return
        parts = [struct.pack(">QQ", len(records), first)]
        for record in records[offset : offset + int(query.get("max_size", 1024))]:
            key = record.key.encode()
            content = bytes([len(key)]) + key + record.value
            parts.append(_LENGTH.pack(len(content)) + content)
        await response.write_complete(200, [], b"".join(parts))

    async def _newest(
        self, topic: str, after: str, response: caller_responses.CallerResponse
    ) -> None:
        records = self._visible(topic)
        newest = {record.key: (offset, record) for offset, record in enumerate(records)}
        keys = sorted(key for key, (_, record) in newest.items() if record.value and key > after)
        entries = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1].value).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE_ENTRIES]
        ]
        body = {"entries": entries, "has_more": len(keys) > PAGE_ENTRIES, "end": len(records)}
        await response.write_complete(200, _JSON, json.dumps(body).encode())

    def _visible(self, topic: str) -> list[Record]:
        records = self._store.records_by_topic.get(topic, [])
        return records[: len(records) - self._faults.stale_records]

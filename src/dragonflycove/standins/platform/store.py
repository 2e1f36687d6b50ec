"""Stand-in for the platform's store: keyed topics over HTTP, with its faults."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import urllib.parse
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import catalog
from dragonflycove.gateway import callers

if TYPE_CHECKING:
    from dragonflycove.fleet import forwarding

PAGE_ENTRIES = 500
"""Most entries in one page of the newest records."""

_JSON = [(b"Content-Type", b"application/json")]

_LENGTH = struct.Struct(">I")


class Record(NamedTuple):
    """A stored record."""

    key: str
    """Its key."""

    value: bytes
    """Its value; empty if the key was dropped."""


class StoreFaults:
    """What goes wrong for the nodes that come through one door of the store."""

    def __init__(self) -> None:
        """Create a calm door."""
        self.calm()

    def calm(self) -> None:
        """Take all faults away."""
        self.is_silent = False
        """Whether no call is answered."""
        self.refusal_status = 0
        """Status with which all calls are refused; 0 for none."""
        self.delay_seconds = 0.004
        """Time that an answer takes."""
        self.loses_answers = False
        """Whether writes are done and not answered."""
        self.stale_records = 0
        """Newest records that reads leave out."""


class PlatformStore:
    """Topics of one store, behind any number of doors."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.records_by_topic: dict[str, list[Record]] = {}
        """All records by topic, by offset."""
        self.first_by_topic: dict[str, int] = {}
        """First offset that is still kept, by topic."""
        self.calls = 0
        """Calls that were answered."""
        self.doors: list[callers.CallerListener] = []
        """Listeners."""

    async def open_door(self, address: catalog.Address) -> StoreFaults:
        """Listen on an address.

        Args:
            address: The address.

        Returns:
            The faults of this door.
        """
        faults = StoreFaults()
        listener = callers.CallerListener(_Door(self, faults), _limits)
        await listener.listen(address)
        self.doors.append(listener)
        return faults

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record of an operator or a server.

        Args:
            topic: The topic.
            key: Its key.
            value: Its value, encoded as JSON; None to drop the key.

        Returns:
            Its offset.
        """
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, Record(key, data))

    def append(self, topic: str, record: Record) -> int:
        """Append a record.

        Args:
            topic: The topic.
            record: The record.

        Returns:
            Its offset.
        """
        records = self.records_by_topic.setdefault(topic, [])
        records.append(record)
        return len(records) - 1

    def forget_history(self, topic: str) -> None:
        """Drop all records but the newest of each key.

        Args:
            topic: The topic.
        """
        self.first_by_topic[topic] = len(self.records_by_topic.get(topic, []))

    def close(self) -> None:
        """Stop listening."""
        for door in self.doors:
            door.stop_accepting()


def _limits() -> catalog.CallerLimits:
    return catalog.CallerLimits(idle_seconds=60.0)


class _Door:
    """Answers calls through one address."""

    def __init__(self, store: PlatformStore, faults: StoreFaults) -> None:
        self._store = store
        self._faults = faults

    async def serve(
        self, request: forwarding.CallerRequest, response: callers.CallerResponse
    ) -> None:
        """Answer a call."""
        faults = self._faults
        if faults.is_silent:
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

    async def _append(self, topic: str, body: bytes, response: callers.CallerResponse) -> None:
        if topic in ("keyed.op", "keyed.servers"):
            await response.write_complete(403, _JSON, b"{}")
            return
        (length,) = _LENGTH.unpack_from(body)
        content = body[_LENGTH.size : _LENGTH.size + length]
        key_end = 1 + content[0]
        offset = self._store.append(topic, Record(content[1:key_end].decode(), content[key_end:]))
        if self._faults.loses_answers:
            response.abort()
            return
        await response.write_complete(
            200, _JSON, json.dumps({"offset": offset, "end": offset + 1}).encode()
        )

    async def _read(
        self, topic: str, query: dict[str, str], response: callers.CallerResponse
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

    async def _newest(self, topic: str, after: str, response: callers.CallerResponse) -> None:
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
        answer = {"entries": entries, "has_more": len(keys) > PAGE_ENTRIES, "end": len(records)}
        await response.write_complete(200, _JSON, json.dumps(answer).encode())

    def _visible(self, topic: str) -> list[Record]:
        records = self._store.records_by_topic.get(topic, [])
        return records[: len(records) - self._faults.stale_records]

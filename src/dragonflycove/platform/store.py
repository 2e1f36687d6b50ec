"""Client of the platform's store: keyed topics, read by offset or as the newest record per key."""

from __future__ import annotations

import asyncio
import base64
import enum
import json
import struct
import urllib.parse
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.transport import http1

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import catalog

CALL_TIMEOUT_SECONDS = 0.6
"""Timeout of a call without long polling; the store responds in 4 ms, in 300 ms when it is slow."""

CONNECT_TIMEOUT_SECONDS = 0.4
"""Timeout for opening a connection; a healthy store accepts within a few milliseconds."""

MAX_RESPONSE_BYTES = 16_777_216
"""Maximum size of a response; a page of a listing has a megabyte, or one record of some megabytes."""

MAX_LISTING_BYTES = 33_554_432
"""Maximum size of all pages of a listing; a topic of some hundred servers has under a megabyte."""

_BATCH_HEADER = struct.Struct(">QQ")
"""Header of a read's response: end offset and first retained offset of the topic."""

_RECORD_LENGTH = struct.Struct(">I")
"""Length prefix of a record, in bytes."""


_MALFORMED = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)
"""Exceptions by which decoding a malformed response can end."""


class Failure(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    """The connection could not be opened, or was closed before the response was complete."""

    TIMEOUT = "silent"
    """No response within the timeout; the store may still execute the call."""

    REFUSED = "refused"
    """The store did not execute the call: it is down, rate limited, or not serving this host."""

    EXPIRED = "expired"
    """The records at the requested offset have been deleted."""

    MALFORMED = "malformed"
    """The response can't be decoded."""

    TOO_LONG = "too_long"
    """The response, or a listing's pages together, are longer than the client takes."""


class Record(NamedTuple):
    """A record of a keyed topic."""

    key: str
    """Key of the record; a newer record of the same key replaces it."""

    value: bytes | None
    """Value of the record; None if the record deletes the key."""

    offset: int
    """Offset of the record in its topic."""


class Batch(NamedTuple):
    """Consecutive records of a topic."""

    records: tuple[Record, ...]
    """The records in the order of their offsets."""

    end: int
    """Offset after the newest record of the topic; the next record gets it."""

    next_offset: int
    """Offset of the next record to read."""


class Listing(NamedTuple):
    """The newest record of each key; the topic may change between the pages of a listing."""

    records: tuple[Record, ...]
    """One record for each key, in the order in which the store lists them."""

    end: int
    """End offset of the topic when the first page was read."""


class StoreClient:
    """Client that sends its calls one at a time over a persistent connection."""

    def __init__(self, address: catalog.Address) -> None:
        """Create a client.

        Args:
            address: Address of the store.
        """
        self._address = address
        self._connection: http1.Connection | None = None
        self._lock = asyncio.Lock()
        self.calls = 0
        """Calls made since the client was created."""

    async def read(
        self, topic: str, offset: int, wait_seconds: float = 0.0
    ) -> result.Result[Batch, Failure]:
        """Read the records of a keyed topic, starting at an offset.

        Args:
            topic: The topic.
            offset: First offset to read.
            wait_seconds: How long the store may wait for a first record (long polling).

        Returns:
            The records, none if there are no newer ones, or why the call failed.
        """
        target = f"/log-read?topic={topic}&part=0&from={offset}"
        if wait_seconds:
            target += f"&wait_ms={int(wait_seconds * 1000)}"
        response = await self._call("GET", target, b"", CALL_TIMEOUT_SECONDS + wait_seconds)
        return response.and_then(lambda body: _decode_batch(body, offset))

    async def read_newest(self, topic: str) -> result.Result[Listing, Failure]:
        """Read the newest record of each key of a topic.

        Args:
            topic: The topic.

        Returns:
            The records of all pages, or why a call failed.
        """
        records: dict[str, Record] = {}
        first_end: int | None = None
        target = f"/log-newest?topic={topic}&part=0"
        after = ""
        size = 0
        while True:
            query = f"&after={urllib.parse.quote(after, safe='')}" if after else ""
            response = await self._call("GET", target + query, b"", CALL_TIMEOUT_SECONDS)
            if isinstance(response, result.Err):
                return response
            size += len(response.ok_value)
            if size > MAX_LISTING_BYTES:
                return result.Err(Failure.TOO_LONG)
            try:
                page = json.loads(response.ok_value)
                for entry in page["entries"]:
                    value = base64.b64decode(entry["value"]) if entry.get("value") else None
                    records[entry["key"]] = Record(entry["key"], value, int(entry["offset"]))
                    after = entry["key"]
                first_end = int(page["end"]) if first_end is None else first_end
                has_more = bool(page.get("has_more"))
                if has_more and not page["entries"]:
                    raise ValueError("a page without records is not the last one")
            except _MALFORMED:
                return result.Err(Failure.MALFORMED)
            if not has_more:
                return result.Ok(Listing(tuple(records.values()), first_end))

    async def append(self, topic: str, key: str, value: bytes) -> result.Result[int, Failure]:
        """Append a record to a keyed topic.

        Args:
            topic: The topic.
            key: The record's key.
            value: The record's value; empty to delete the key.

        Returns:
            Offset of the record, or why it is not known to be stored.
        """
        return await self.append_all(topic, [(key, value)])

    async def append_all(
        self, topic: str, entries: Sequence[tuple[str, bytes]]
    ) -> result.Result[int, Failure]:
        """Append records to a keyed topic in one call, all or none.

        Args:
            topic: The topic.
            entries: Key and value of each record; an empty value deletes the key.

        Returns:
            Offset of the first record, or why they are not known to be stored.
        """
        body = b""
        for key, value in entries:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += _RECORD_LENGTH.pack(len(content)) + content
        target = f"/log-append?topic={topic}&part=0"
        response = await self._call("POST", target, body, CALL_TIMEOUT_SECONDS)
        return response.and_then(_decode_offset)

    def close(self) -> None:
        """Close the connection, if one is open; the next call opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _call(
        self, method: str, target: str, body: bytes, timeout_seconds: float
    ) -> result.Result[bytes, Failure]:
        async with self._lock:
            self.calls += 1
            try:
                async with asyncio.timeout(timeout_seconds):
                    return await self._exchange(method, target, body)
            except TimeoutError:
                self.close()
                return result.Err(Failure.TIMEOUT)

    async def _exchange(
        self, method: str, target: str, body: bytes
    ) -> result.Result[bytes, Failure]:
        if self._connection is None or not self._connection.is_idle():
            self.close()
            opened = await http1.Connection.open(self._address, CONNECT_TIMEOUT_SECONDS)
            if isinstance(opened, result.Err):
                return result.Err(Failure.UNREACHABLE)
            self._connection = opened.ok_value
        connection = self._connection
        headers = [(b"Host", str(self._address).encode())]
        if method == "POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
        connection.send(http1.Request(method.encode(), target.encode(), tuple(headers), body))
        response = await connection.read_response(MAX_RESPONSE_BYTES)
        if isinstance(response, result.Err) or not connection.prepare_for_reuse():
            self.close()
        if isinstance(response, result.Err):
            is_too_long = response.err_value is http1.ReadFailure.TOO_LONG
            return result.Err(Failure.TOO_LONG if is_too_long else Failure.UNREACHABLE)
        head, content = response.ok_value
        return _check_status(head.status, content)


def _check_status(status: int, body: bytes) -> result.Result[bytes, Failure]:
    if status == 200:
        return result.Ok(body)
    return result.Err(Failure.EXPIRED if status == 410 else Failure.REFUSED)


def _decode_offset(body: bytes) -> result.Result[int, Failure]:
    try:
        return result.Ok(int(json.loads(body)["offset"]))
    except _MALFORMED:
        return result.Err(Failure.MALFORMED)


def _decode_batch(body: bytes, offset: int) -> result.Result[Batch, Failure]:
    try:
        end, first_retained = _BATCH_HEADER.unpack_from(body)
        position = _BATCH_HEADER.size
        # The store starts a read before the first retained record at that record.
        record_offset = max(offset, first_retained)
        records = []
        while position < len(body):
            (length,) = _RECORD_LENGTH.unpack_from(body, position)
            position += _RECORD_LENGTH.size
            content = body[position : position + length]
            if len(content) != length:
                break
            position += length
            key_end = 1 + content[0]
            key = content[1:key_end].decode("utf-8", "replace")
            records.append(Record(key, content[key_end:] or None, record_offset))
            record_offset += 1
        return result.Ok(Batch(tuple(records), end, record_offset))
    except (struct.error, IndexError):
        return result.Err(Failure.MALFORMED)

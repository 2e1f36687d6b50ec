"""Client of the platform's store: keyed topics, read by offset or as the newest of each key."""

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
    from dragonflycove.fleet import catalog

CALL_SECONDS = 0.6
"""Time for a call that does not wait; the store answers in 4 ms when calm, in 300 ms when slow."""

CONNECT_SECONDS = 0.4
"""Time to open a connection; a calm store accepts within a few milliseconds."""

_POSITIONS = struct.Struct(">QQ")
"""End and first retained offset, at the start of what a read returns."""

_LENGTH = struct.Struct(">I")
"""Length of a record."""


class Failure(enum.Enum):
    """Why a call gave nothing."""

    UNREACHABLE = "unreachable"
    """No connection, or it broke."""

    TIMEOUT = "silent"
    """No answer in time; the call may still be executed."""

    REFUSED = "refused"
    """The store did nothing: down, over a rate limit, or not serving this machine."""

    EXPIRED = "expired"
    """The records asked for have been deleted."""

    MALFORMED = "malformed"
    """The answer has another form than stated."""


class Record(NamedTuple):
    """A record of a keyed topic."""

    key: str
    """Its key."""

    value: bytes | None
    """Its value; None if the key was dropped."""

    offset: int
    """Its offset."""


class Batch(NamedTuple):
    """Records read from an offset on."""

    records: tuple[Record, ...]
    """The records in their order."""

    end: int
    """Offset after the newest record of the topic."""

    next_offset: int
    """Offset to read from next."""


class Listing(NamedTuple):
    """The newest record of each key, read in pages that are no snapshot."""

    records: tuple[Record, ...]
    """The records, by key."""

    end: int
    """End of the topic when the first page was read."""


class StoreClient:
    """Calls to the store over one kept connection, one call at a time."""

    def __init__(self, address: catalog.Address) -> None:
        """Create a client.

        Args:
            address: Address of the store.
        """
        self._address = address
        self._connection: http1.Connection | None = None
        self._lock = asyncio.Lock()
        self.calls = 0
        """Calls made."""

    async def read(
        self, topic: str, offset: int, wait_seconds: float = 0.0
    ) -> result.Result[Batch, Failure]:
        """Read the records of a keyed topic from an offset on.

        Args:
            topic: The topic.
            offset: First offset to read.
            wait_seconds: How long the store may wait for a record.

        Returns:
            The records, or why there are none.
        """
        target = f"/log-read?topic={topic}&part=0&from={offset}"
        if wait_seconds:
            target += f"&wait_ms={int(wait_seconds * 1000)}"
        answer = await self._call("GET", target, b"", CALL_SECONDS + wait_seconds)
        return answer.and_then(lambda body: _decode_batch(body, offset))

    async def read_newest(self, topic: str) -> result.Result[Listing, Failure]:
        """Read the newest record of each key of a topic.

        Args:
            topic: The topic.

        Returns:
            The records, or why there are none.
        """
        records: dict[str, Record] = {}
        first_end: int | None = None
        target = f"/log-newest?topic={topic}&part=0"
        after = ""
        while True:
            query = f"&after={urllib.parse.quote(after, safe='')}" if after else ""
            answer = await self._call("GET", target + query, b"", CALL_SECONDS)
            if isinstance(answer, result.Err):
                return answer
            try:
                page = json.loads(answer.ok_value)
                for entry in page["entries"]:
                    value = base64.b64decode(entry["value"]) if entry.get("value") else None
                    records[entry["key"]] = Record(entry["key"], value, int(entry["offset"]))
                    after = entry["key"]
                first_end = int(page["end"]) if first_end is None else first_end
                has_more = bool(page.get("has_more"))
            except (KeyError, TypeError, ValueError):
                return result.Err(Failure.MALFORMED)
            if not has_more:
                return result.Ok(Listing(tuple(records.values()), first_end))

    async def append(self, topic: str, key: str, value: bytes) -> result.Result[int, Failure]:
        """Append a record to a keyed topic.

        Args:
            topic: The topic.
            key: The record's key.
            value: Its value; empty to drop the key.

        Returns:
            Its offset, or why it is not known to be stored.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        target = f"/log-append?topic={topic}&part=0"
        answer = await self._call("POST", target, body, CALL_SECONDS)
        return answer.and_then(_decode_offset)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _call(
        self, method: str, target: str, body: bytes, seconds: float
    ) -> result.Result[bytes, Failure]:
        async with self._lock:
            self.calls += 1
            try:
                async with asyncio.timeout(seconds):
                    return await self._exchange(method, target, body)
            except TimeoutError:
                self.close()
                return result.Err(Failure.TIMEOUT)

    async def _exchange(
        self, method: str, target: str, body: bytes
    ) -> result.Result[bytes, Failure]:
        if self._connection is None or not self._connection.is_idle():
            self.close()
            opened = await http1.Connection.open(self._address, CONNECT_SECONDS)
            if isinstance(opened, result.Err):
                return result.Err(Failure.UNREACHABLE)
            self._connection = opened.ok_value
        connection = self._connection
        headers = [(b"Host", str(self._address).encode())]
        if method == "POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
        connection.send(http1.Request(method.encode(), target.encode(), tuple(headers), body))
        answer = await connection.read_response()
        if isinstance(answer, result.Err) or not connection.prepare_for_reuse():
            self.close()
        if isinstance(answer, result.Err):
            return result.Err(Failure.UNREACHABLE)
        head, content = answer.ok_value
        return _check_status(head.status, content)


def _check_status(status: int, body: bytes) -> result.Result[bytes, Failure]:
    if status == 200:
        return result.Ok(body)
    return result.Err(Failure.EXPIRED if status == 410 else Failure.REFUSED)


def _decode_offset(body: bytes) -> result.Result[int, Failure]:
    try:
        return result.Ok(int(json.loads(body)["offset"]))
    except (KeyError, TypeError, ValueError):
        return result.Err(Failure.MALFORMED)


def _decode_batch(body: bytes, offset: int) -> result.Result[Batch, Failure]:
    try:
        end, first = _POSITIONS.unpack_from(body)
        position = _POSITIONS.size
        # A read that begins before the first retained record starts there.
        number = max(offset, first)
        records = []
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            content = body[position : position + length]
            if len(content) != length:
                break
            position += length
            key_end = 1 + content[0]
            key = content[1:key_end].decode("utf-8", "replace")
            records.append(Record(key, content[key_end:] or None, number))
            number += 1
        return result.Ok(Batch(tuple(records), end, number))
    except (struct.error, IndexError):
        return result.Err(Failure.MALFORMED)

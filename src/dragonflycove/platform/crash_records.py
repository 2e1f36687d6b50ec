"""Records of servers that requests have crashed, kept in a topic of the platform's store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import cbor2
import xxhash

from dragonflycove.fleet import catalog
from dragonflycove.platform import store
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable

    import result

TOPIC = "keyed.crashes"
"""Topic with one record for each fingerprint and start of a server."""

MAX_KEY_BYTES = 255
"""Maximum length of a key, whose length the store keeps in one byte."""

_MALFORMED = (ValueError, TypeError, OverflowError, EOFError, cbor2.CBORDecodeError)
"""Exceptions by which decoding a malformed record can end."""


class SavedCrash(NamedTuple):
    """A server that ended while it ran a request."""

    fingerprint: int
    """Fingerprint of the request."""

    instance: catalog.Instance
    """The server."""

    unix_seconds: float
    """Time of day at which the loss was noticed, seconds since 1970."""


class CrashRecords:
    """Client of the crash records."""

    def __init__(self, address: catalog.Address) -> None:
        """Create a client.

        Args:
            address: Address of the store.
        """
        self._client = store.StoreClient(address)

    @property
    def calls(self) -> int:
        """Calls made to the store since the client was created."""
        return self._client.calls

    async def save(self, crashes: Iterable[SavedCrash]) -> result.Result[int, store.Failure]:
        """Write crashes, in one call.

        Args:
            crashes: The crashes; at least one.

        Returns:
            Offset of the first record, or why the crashes are not known to be stored.
        """
        return await self._client.append_all(
            TOPIC, [(_key(one), cbor2.dumps(_value(one))) for one in crashes]
        )

    async def delete(self, crashes: Iterable[SavedCrash]) -> result.Result[int, store.Failure]:
        """Delete crashes that don't count any more, in one call.

        Args:
            crashes: The crashes; at least one.

        Returns:
            Offset of the first deletion, or why they are not known to be deleted.
        """
        return await self._client.append_all(TOPIC, [(_key(one), b"") for one in crashes])

    async def read(self) -> result.Result[list[SavedCrash], store.Failure]:
        """Read all crashes.

        Returns:
            The records that can be decoded, or why the read failed.
        """
        listed = await self._client.read_newest(TOPIC)
        return listed.map(lambda listing: _decode_all(listing.records))


def _key(crash: SavedCrash) -> str:
    instance = crash.instance
    full = f"{crash.fingerprint:016x}/{instance.started_at_ms}/{instance.server_id}"
    if len(full.encode()) <= MAX_KEY_BYTES:
        return full
    return f"{crash.fingerprint:016x}/{xxhash.xxh3_128_hexdigest(full.encode())}"


def _value(crash: SavedCrash) -> float | tuple[float, int, str]:
    """Return the time, with the server if the key is too short to name it."""
    if _key(crash).count("/") > 1:
        return crash.unix_seconds
    return crash.unix_seconds, crash.instance.started_at_ms, crash.instance.server_id


def _decode(record: store.Record, value: bytes) -> SavedCrash:
    content = cbor2.loads(value)
    if record.key.count("/") > 1:
        fingerprint, started_at_ms, server_id = record.key.split("/", 2)
        unix_seconds = content
    else:
        fingerprint = record.key.partition("/")[0]
        unix_seconds, started_at_ms, server_id = content
    if not isinstance(server_id, str) or not math.isfinite(float(unix_seconds)):
        raise ValueError(f"no server or no time of a crash: {content}")
    instance = catalog.Instance(server_id, int(started_at_ms))
    return SavedCrash(int(fingerprint, 16), instance, float(unix_seconds))


def _decode_all(listed: tuple[store.Record, ...]) -> list[SavedCrash]:
    crashes = []
    for record in listed:
        if record.value is None:
            continue
        try:
            crashes.append(_decode(record, record.value))
        except _MALFORMED as error:
            logs.warning("crash_record_unreadable", key=record.key, why=repr(error))
    return crashes

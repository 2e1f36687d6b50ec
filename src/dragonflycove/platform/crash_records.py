"""Records of servers that requests have crashed, kept in a topic of the platform's store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import cbor2

from dragonflycove.fleet import catalog
from dragonflycove.platform import store
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable

    import result

TOPIC = "keyed.crashes"
"""Topic with one record for each fingerprint and start of a server."""


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
            TOPIC, [(_key(one), cbor2.dumps(one.unix_seconds)) for one in crashes]
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
    return f"{crash.fingerprint:016x}/{instance.started_at_ms}/{instance.server_id}"


def _decode_all(listed: tuple[store.Record, ...]) -> list[SavedCrash]:
    crashes = []
    for record in listed:
        if record.value is None:
            continue
        try:
            fingerprint, started_at_ms, server_id = record.key.split("/", 2)
            instance = catalog.Instance(server_id, int(started_at_ms))
            unix_seconds = float(cbor2.loads(record.value))
            if not math.isfinite(unix_seconds):
                raise ValueError(f"time of a crash: {unix_seconds}")
            crashes.append(SavedCrash(int(fingerprint, 16), instance, unix_seconds))
        except _MALFORMED as error:
            logs.warning("crash_record_unreadable", key=record.key, why=repr(error))
    return crashes

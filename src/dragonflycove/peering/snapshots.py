"""Messages that carry a configuration snapshot between nodes, in bounded parts."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import cbor2
import result

from dragonflycove.configuration import records

PART_BYTES = 65_536
"""Most bytes of a snapshot in one part."""

MAX_SNAPSHOT_BYTES = 64_000_000
"""Largest snapshot that is unpacked, bytes."""

MAX_PARTS = 256
"""Most parts of one snapshot."""


class SnapshotRequested(NamedTuple):
    """The sender asks for the receiver's snapshot."""

    request_id: str
    """Identifier of the request."""


class SnapshotPart(NamedTuple):
    """One part of a snapshot."""

    request_id: str
    """Identifier of the request that it answers."""

    number: int
    """Its place, from zero."""

    total: int
    """How many parts there are."""

    data: bytes
    """Its bytes."""


class SnapshotAssembler:
    """Puts the parts that answer one request together."""

    def __init__(self, request_id: str) -> None:
        """Create an assembler.

        Args:
            request_id: Identifier of the request.
        """
        self.request_id = request_id
        self._data_by_number: dict[int, bytes] = {}

    def add(self, part: SnapshotPart) -> result.Result[records.Snapshot | None, str]:
        """Add a part.

        Args:
            part: The part.

        Returns:
            The snapshot once it is whole, `None` before, or what is wrong.
        """
        if part.request_id != self.request_id:
            return result.Ok(None)
        if not 0 <= part.number < part.total <= MAX_PARTS:
            return result.Err("bad part number")
        self._data_by_number[part.number] = part.data
        if len(self._data_by_number) < part.total:
            return result.Ok(None)
        return unpack(b"".join(self._data_by_number[number] for number in range(part.total)))


def split(snapshot: records.Snapshot, request_id: str) -> list[SnapshotPart]:
    """Split a snapshot into parts.

    Args:
        snapshot: The snapshot.
        request_id: Identifier of the request that they answer.

    Returns:
        The parts.
    """
    data = zlib.compress(cbor2.dumps(records.snapshot_to_value(snapshot)), level=1)
    chunks = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    return [
        SnapshotPart(request_id, index, len(chunks), chunk) for index, chunk in enumerate(chunks)
    ]


def unpack(data: bytes) -> result.Result[records.Snapshot | None, str]:
    """Read a snapshot from its packed bytes.

    Args:
        data: All parts, in order.

    Returns:
        The snapshot, or what is wrong.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_SNAPSHOT_BYTES)
        if not unpacker.eof:
            return result.Err("cut short or too large")
        snapshot = records.snapshot_from_value(cbor2.loads(unpacked))
    except Exception as error:  # noqa: BLE001 - the decoders raise many kinds on hostile bytes
        return result.Err(f"not a snapshot: {type(error).__name__}")
    if snapshot is None:
        return result.Err("not a snapshot")
    return result.Ok(snapshot)

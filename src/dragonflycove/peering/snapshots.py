"""Transfer of a configuration snapshot between nodes in parts that fit into frames."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import cbor2
import result

from dragonflycove.configuration import records

PART_BYTES = 65_536
"""Maximum size of the data in one part."""

MAX_SNAPSHOT_BYTES = 64_000_000
"""Maximum size of a decompressed snapshot; larger ones are rejected."""

MAX_PARTS = 256
"""Maximum number of parts of a snapshot that is accepted."""


class SnapshotRequested(NamedTuple):
    """Request for the receiver's configuration snapshot."""

    request_id: str
    """Identifier of the request, repeated in each part of the response."""


class SnapshotPart(NamedTuple):
    """One part of a compressed snapshot."""

    request_id: str
    """Identifier of the request that it responds to."""

    number: int
    """Position of the part, from 0."""

    total: int
    """Number of parts of the snapshot."""

    data: bytes
    """Compressed bytes of the part."""


class SnapshotAssembler:
    """Assembles the snapshot from the parts sent in response to one request."""

    def __init__(self, request_id: str) -> None:
        """Create an assembler without parts.

        Args:
            request_id: Identifier of the request; parts for others are ignored.
        """
        self.request_id = request_id
        self._data_by_number: dict[int, bytes] = {}

    def add(self, part: SnapshotPart) -> result.Result[records.Snapshot | None, str]:
        """Add a part, in any order and possibly repeated.

        Args:
            part: Received part.

        Returns:
            The snapshot once all parts have arrived, `None` before, or an error description.
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
    """Compress a snapshot and split it into parts.

    Args:
        snapshot: Snapshot to send.
        request_id: Identifier of the request to respond to.

    Returns:
        The parts in order.
    """
    data = zlib.compress(cbor2.dumps(records.snapshot_to_value(snapshot)), level=1)
    chunks = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    return [
        SnapshotPart(request_id, index, len(chunks), chunk) for index, chunk in enumerate(chunks)
    ]


def unpack(data: bytes) -> result.Result[records.Snapshot | None, str]:
    """Decompress and decode a snapshot.

    Args:
        data: Data of all parts in order.

    Returns:
        The snapshot, or an error description.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_SNAPSHOT_BYTES)
        if not unpacker.eof:
            return result.Err("truncated or too large")
        snapshot = records.snapshot_from_value(cbor2.loads(unpacked))
    except Exception as error:  # noqa: BLE001 - the decoders raise many types on bad bytes
        return result.Err(f"not a snapshot: {type(error).__name__}")
    if snapshot is None:
        return result.Err("not a snapshot")
    return result.Ok(snapshot)

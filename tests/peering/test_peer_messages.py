"""Tests of encoding frames and of snapshots sent in parts."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from dragonflycove.configuration import acceptance, records
from dragonflycove.membership import digests
from dragonflycove.peering import codec, messages, snapshots

HEADER = messages.Header("host/start", 3, 9, 0.5)

DIGEST = digests.Digest("a", "start-1", 1.5, 0, 7, 3, True, digests.Health.SUSPECT)


@pytest.mark.parametrize(
    "message",
    [
        digests.Probe(1, (DIGEST, DIGEST)),
        digests.ProbeAnswered(1, "a", ()),
        digests.ProbeRequested(1, "a"),
        snapshots.SnapshotRequested("r"),
        snapshots.SnapshotPart("r", 0, 1, b"\x00\xff"),
    ],
)
def test_messages_decode_to_what_was_encoded(message: object) -> None:
    """A message decodes to an equal value, in a frame and packed."""
    registry = codec.new_registry()
    data = registry.encode(HEADER, message).unwrap()
    assert registry.decode(data) == messages.Frame(HEADER, message)
    assert registry.unpack(registry.pack(message)) == message


@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_never_raise(data: bytes) -> None:
    """Arbitrary bytes give an error value, as a frame and as a snapshot."""
    decoded = codec.new_registry().decode(data)
    assert isinstance(decoded, messages.Frame | messages.UnknownFrame | messages.BadFrame)
    assert snapshots.unpack(data).is_err()


@hypothesis.given(st.data())
def test_damaged_frames_never_raise(data: st.DataObject) -> None:
    """A frame with some bytes changed decodes or gives an error value."""
    encoded = bytearray(codec.new_registry().encode(HEADER, digests.Probe(1, (DIGEST,))).unwrap())
    for _ in range(data.draw(st.integers(1, 4))):
        encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    decoded = codec.new_registry().decode(bytes(encoded))
    assert isinstance(decoded, messages.Frame | messages.UnknownFrame | messages.BadFrame)


def test_registering_a_kind_twice_raises() -> None:
    """A second message type with the same name and version raises `ValueError`."""
    with pytest.raises(ValueError, match="registered already"):
        codec.new_registry().register("probe", 1, snapshots.SnapshotRequested)


def test_large_snapshot_is_assembled_from_parts_in_any_order() -> None:
    """A snapshot larger than a frame is assembled from shuffled and repeated parts."""
    rng = random.Random(1)
    text = "".join(rng.choice("abcdefgh") for _ in range(600_000))
    snapshot = acceptance.initial_state().snapshot._replace(version=3, text=text, next_offset=8)
    parts = snapshots.split(snapshot, "r")
    registry = codec.new_registry()
    assert len(parts) > 1
    assert all(registry.encode(HEADER, part).is_ok() for part in parts)
    assembler = snapshots.SnapshotAssembler("r")
    shuffled = rng.sample(parts, len(parts))
    received_parts = [shuffled[0]._replace(request_id="other"), *shuffled[:1], *shuffled]
    whole = [assembler.add(part).unwrap() for part in received_parts]
    assert whole[:-1] == [None] * (len(received_parts) - 1)
    assert whole[-1] == snapshot


@pytest.mark.parametrize("part", [snapshots.SnapshotPart("r", 2, 1, b""), None])
def test_bad_parts_are_errors(part: snapshots.SnapshotPart | None) -> None:
    """An impossible part number or a truncated part gives an error."""
    whole = snapshots.split(acceptance.initial_state().snapshot, "r")[0]
    bad = part or whole._replace(data=whole.data[:-3])
    assert snapshots.SnapshotAssembler("r").add(bad).is_err()


def test_snapshot_with_wrong_field_types_is_an_error() -> None:
    """A snapshot with fields of wrong types or of another shape gives `None`."""
    fields = records.snapshot_to_value(acceptance.initial_state().snapshot)
    assert records.snapshot_from_value({**fields, "version": "3"}) is None
    assert records.snapshot_from_value([1]) is None

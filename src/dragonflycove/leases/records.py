"""Records of the log stream `leases` and their wire forms."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple, TypedDict

import msgspec

STREAM = "leases"
"""Name of the log stream."""


class Step(enum.Enum):
    """What a record asks for."""

    ACQUIRE = "acquire"
    """Become the holder, if the lease is free when the log takes the record."""

    RENEW = "renew"
    """Stay the holder, if the lease has not lapsed when the log takes the record."""

    RELEASE = "release"
    """Give the lease up."""


class LeaseRecord(NamedTuple):
    """One record of the stream."""

    record_id: str
    """Identifier, made before the append."""

    step: Step
    """What it asks for."""

    scope: str
    """What the lease is about."""

    owner: str
    """`host/incarnation` of the sender."""

    seconds: float
    """Length of the lease from the time at which the log takes the record, seconds."""

    fencing: int
    """Fencing number of the holder that renews or releases; 0 in an acquisition."""


class _WireRecord(TypedDict):
    """A record as it is in the log."""

    record_id: str
    step: Step
    scope: str
    owner: str
    seconds: float
    fencing: int


def encode(record: LeaseRecord) -> dict[str, Any]:
    """Return a record's wire form.

    Args:
        record: The record.

    Returns:
        A value for the log.
    """
    return {**record._asdict(), "step": record.step.value}


def decode(value: dict[str, Any]) -> LeaseRecord | None:
    """Return the record of a wire form.

    Args:
        value: A value from the log.

    Returns:
        The record, or `None` for one that this release does not know.
    """
    try:
        wire = msgspec.convert(value, _WireRecord)
    except msgspec.ValidationError:
        return None
    return LeaseRecord(**wire)

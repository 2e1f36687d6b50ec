"""Records of the log stream `leases`, and their encoding."""

from __future__ import annotations

import enum
from typing import Any, NamedTuple, TypedDict

import msgspec

STREAM = "leases"
"""Name of the log stream."""


class LeaseAction(enum.Enum):
    """Change that a record requests; the log's append time decides whether it takes effect."""

    ACQUIRE = "acquire"
    """Become the holder, if the lease is free at the append."""

    RENEW = "renew"
    """Stay the holder, if the lease has not expired at the append."""

    RELEASE = "release"
    """Release the lease."""


class LeaseRecord(NamedTuple):
    """One record of the stream."""

    record_id: str
    """Identifier of the record, with which its sender recognises it when it is read back."""

    step: LeaseAction
    """Requested change."""

    scope: str
    """Resource that the lease protects."""

    owner: str
    """`host/incarnation` of the node that appended the record."""

    seconds: float
    """Duration of the lease from the time of the append, seconds."""

    fencing: int
    """Fencing token of the lease that is renewed or released; 0 in an acquisition."""


class _WireRecord(TypedDict):
    """Encoded record."""

    record_id: str
    step: LeaseAction
    scope: str
    owner: str
    seconds: float
    fencing: int


def encode(record: LeaseRecord) -> dict[str, Any]:
    """Encode a record for the log.

    Args:
        record: The record.

    Returns:
        The value to append.
    """
    return {**record._asdict(), "step": record.step.value}


def decode(value: dict[str, Any]) -> LeaseRecord | None:
    """Decode a record from the log.

    Args:
        value: A value from the log.

    Returns:
        The record, or `None` if this release does not know its action or fields.
    """
    try:
        wire = msgspec.convert(value, _WireRecord)
    except msgspec.ValidationError:
        return None
    return LeaseRecord(**wire)

"""Records of the log stream `claims` and their wire forms."""

from __future__ import annotations

import base64
from typing import Any, Literal, NamedTuple, TypedDict

import msgspec

from dragonflycove.claims import keys

STREAM = "claims"
"""Name of the log stream."""

ANSWER_BODY_LIMIT_BYTES = 4_096
"""Longest body that is recorded with an answer, bytes."""


class Claim(NamedTuple):
    """A node wants to be the one that sends a call."""

    claim_id: str
    """Identifier, made before the first append."""

    key: keys.ClaimKey
    """What is claimed."""

    owner: str
    """`host/incarnation` of the node."""

    call_hash: str
    """Hash of method, path and body."""

    wait_seconds: float
    """Time after which others need not wait for the outcome, seconds."""


class Withdrawal(NamedTuple):
    """The owner of a claim has not sent the call and never will under this claim."""

    claim_id: str
    """The claim."""

    key: keys.ClaimKey
    """Its key."""

    owner: str
    """`host/incarnation` of the node."""


class Response(NamedTuple):
    """The answer of a plain service, as far as it is recorded."""

    status: int
    """HTTP status."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """The body; empty where it was too long to be recorded."""

    is_whole: bool = True
    """Whether the body is all of it."""

    def bounded(self) -> Response:
        """Return the answer as it may be recorded."""
        if len(self.body) <= ANSWER_BODY_LIMIT_BYTES:
            return self
        return self._replace(body=b"", is_whole=False)


class Outcome(NamedTuple):
    """What became of the call under a claim."""

    claim_id: str
    """The claim."""

    key: keys.ClaimKey
    """Its key."""

    owner: str
    """`host/incarnation` of the node."""

    answer: Response | None
    """The answer; `None` where the call was sent and no answer came."""


Record = Claim | Withdrawal | Outcome
"""Any record of the stream."""


class _WireRecord(TypedDict):
    """What every record carries."""

    kind: Literal["claim", "withdrawal", "outcome"]
    claim_id: str
    key: tuple[str, str, str]
    owner: str


class _WireClaim(_WireRecord):
    """A claim as it is in the log."""

    call_hash: str
    wait_seconds: float


class _WireAnswer(TypedDict):
    """An answer as it is in the log."""

    status: int
    content_type: str
    body: str
    is_whole: bool


class _WireOutcome(_WireRecord):
    """An outcome as it is in the log."""

    answer: _WireAnswer | None


def encode(record: Record) -> dict[str, Any]:
    """Return a record's wire form.

    Args:
        record: The record.

    Returns:
        A value for the log.
    """
    value: dict[str, Any] = record._asdict()
    value["key"] = list(record.key)
    value["kind"] = type(record).__name__.lower()
    if isinstance(record, Outcome) and record.answer is not None:
        answer = record.answer.bounded()._asdict()
        value["answer"] = {**answer, "body": base64.b64encode(answer["body"]).decode()}
    return value


def decode(value: dict[str, Any]) -> Record | None:
    """Return the record of a wire form.

    Args:
        value: A value from the log.

    Returns:
        The record, or `None` for one that this release does not know.
    """
    try:
        head = msgspec.convert(value, _WireRecord)
        key = keys.ClaimKey(*head["key"])
        if head["kind"] == "claim":
            claim = msgspec.convert(value, _WireClaim)
            return Claim(
                claim["claim_id"], key, claim["owner"], claim["call_hash"], claim["wait_seconds"]
            )
        if head["kind"] == "withdrawal":
            return Withdrawal(head["claim_id"], key, head["owner"])
        outcome = msgspec.convert(value, _WireOutcome)
        answer = _decode_answer(outcome["answer"])
        return Outcome(outcome["claim_id"], key, outcome["owner"], answer)
    except (msgspec.ValidationError, ValueError):
        return None


def _decode_answer(wire: _WireAnswer | None) -> Response | None:
    """Return the answer of its wire form."""
    if wire is None:
        return None
    body = base64.b64decode(wire["body"])
    return Response(wire["status"], wire["content_type"], body, wire["is_whole"])

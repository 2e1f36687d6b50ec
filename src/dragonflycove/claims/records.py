"""Records of the log stream `claims`, and their encoding."""

from __future__ import annotations

import base64
from typing import Any, Literal, NamedTuple, TypedDict

import msgspec

from dragonflycove.claims import keys

STREAM = "claims"
"""Name of the log stream."""

RESPONSE_BODY_LIMIT_BYTES = 4_096
"""Maximum size of a response body that is recorded in the log, bytes."""


class Claim(NamedTuple):
    """A node's request to be the only one that sends the call with a key."""

    claim_id: str
    """Identifier of the claim, the same in every copy of the record."""

    key: keys.ClaimKey
    """The claimed key."""

    owner: str
    """`host/incarnation` of the node."""

    call_hash: str
    """Hash of method, path and body."""

    wait_seconds: float
    """Maximum time for which other nodes wait for the outcome, seconds."""


class Withdrawal(NamedTuple):
    """Withdrawal of a claim whose owner has not sent the call and will not under this claim."""

    claim_id: str
    """Identifier of the claim."""

    key: keys.ClaimKey
    """Key of the claim."""

    owner: str
    """`host/incarnation` of the node."""


class Response(NamedTuple):
    """Recorded part of a plain service's response."""

    status: int
    """HTTP status code."""

    content_type: str
    """Value of the `Content-Type` header; empty if it had none."""

    body: bytes
    """The body; empty if it was too long to be kept."""

    is_whole: bool = True
    """Whether `body` is the body that the service sent; false if that was too long or dropped."""

    def without_oversized_body(self) -> Response:
        """Return the response, without a body longer than `RESPONSE_BODY_LIMIT_BYTES`."""
        if len(self.body) <= RESPONSE_BODY_LIMIT_BYTES:
            return self
        return self._replace(body=b"", is_whole=False)


class Outcome(NamedTuple):
    """Outcome of a call that was sent under a claim."""

    claim_id: str
    """Identifier of the claim."""

    key: keys.ClaimKey
    """Key of the claim."""

    owner: str
    """`host/incarnation` of the node."""

    answer: Response | None
    """Response of the plain service; `None` if none arrived, so that the call may have run."""


Record = Claim | Withdrawal | Outcome
"""Any record of the stream."""


class _WireRecord(TypedDict):
    """Fields that all encoded records have."""

    kind: Literal["claim", "withdrawal", "outcome"]
    claim_id: str
    key: tuple[str, str, str]
    owner: str


class _WireClaim(_WireRecord):
    """Encoded claim."""

    call_hash: str
    wait_seconds: float


class _WireResponse(TypedDict):
    """Encoded response; the body is in Base64."""

    status: int
    content_type: str
    body: str
    is_whole: bool


class _WireOutcome(_WireRecord):
    """Encoded outcome."""

    answer: _WireResponse | None


def encode(record: Record) -> dict[str, Any]:
    """Encode a record for the log.

    Args:
        record: The record.

    Returns:
        The value to append.
    """
    value: dict[str, Any] = record._asdict()
    value["key"] = list(record.key)
    value["kind"] = type(record).__name__.lower()
    if isinstance(record, Outcome) and record.answer is not None:
        answer = record.answer.without_oversized_body()._asdict()
        value["answer"] = {**answer, "body": base64.b64encode(answer["body"]).decode()}
    return value


def decode(value: dict[str, Any]) -> Record | None:
    """Decode a record from the log.

    Args:
        value: A value from the log.

    Returns:
        The record, or `None` if this release does not know its kind or fields.
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
        answer = _decode_response(outcome["answer"])
        return Outcome(outcome["claim_id"], key, outcome["owner"], answer)
    except (msgspec.ValidationError, ValueError):
        return None


def _decode_response(wire: _WireResponse | None) -> Response | None:
    """Decode a response; `None` stays `None`."""
    if wire is None:
        return None
    body = base64.b64decode(wire["body"])
    return Response(wire["status"], wire["content_type"], body, wire["is_whole"])

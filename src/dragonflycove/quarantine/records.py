"""Messages and log records about requests that crash backend servers.

Records are stored and sent by field name and lower-case class name.
"""

from __future__ import annotations

from typing import Any, NamedTuple

STREAM = "quarantine"
"""Name of the log stream of crash and clearance records."""


class Crash(NamedTuple):
    """A backend server crashed while requests ran on it."""

    server_id: str
    """Identifier of the backend server."""

    start_id: str
    """Identifier of the server process that crashed; empty if unknown."""

    fingerprints: tuple[str, ...]
    """Fingerprints of the requests that the reporting node had in flight there."""

    node: str
    """`host/incarnation` of the reporting node."""


class Trial(NamedTuple):
    """The start or the end of a trial: a suspect request alone on a backend server."""

    fingerprint: str
    """Fingerprint of the suspect request."""

    server_id: str
    """Identifier of the backend server."""

    node: str
    """`host/incarnation` of the node that runs it."""

    running: bool
    """True before the request is sent, false once it has ended."""


class Cleared(NamedTuple):
    """A suspect request completed without a crash and is no longer suspect."""

    fingerprint: str
    """Fingerprint of the request."""

    node: str
    """`host/incarnation` of the node that ran it."""


class LeaveAsked(NamedTuple):
    """A node asks for permission to run a suspect request alone.

    It is sent to the node that holds the single unit of the fingerprint's share.
    """

    fingerprint: str
    """Fingerprint of the suspect request."""

    request_id: str
    """Identifier of the request at the asking node."""

    server_id: str
    """Identifier of the backend server that would run the request."""

    node: str
    """`host/incarnation` of the asking node."""


class LeaveAnswered(NamedTuple):
    """The response to `LeaveAsked`."""

    fingerprint: str
    """Fingerprint of the suspect request."""

    request_id: str
    """Identifier of the request at the asking node."""

    server_id: str
    """Identifier of the backend server that the request may run on, if permission is granted."""

    granted: bool
    """Whether the request may be sent there, within `TRIAL_PERMISSION_SECONDS` of this response."""


class Flight(NamedTuple):
    """The start or the end of a request at a backend server."""

    fingerprint: str
    """Fingerprint of the request."""

    server_id: str
    """Identifier of the backend server."""

    request_id: str
    """Identifier of the request."""

    node: str
    """`host/incarnation` of the node that sends it."""

    running: bool
    """True before the request is sent, false once it has ended."""


class NodeLost(NamedTuple):
    """A node died or was replaced; it will not report the end of its requests."""

    node: str
    """`host/incarnation` of the node."""


Record = Crash | Trial | Cleared | Flight | NodeLost
"""Records sent between nodes; only `Crash` and `Cleared` are appended to the log."""

_TYPE_BY_KIND: dict[str, type[Any]] = {
    "nodelost": NodeLost,
    "flight": Flight,
    "crash": Crash,
    "trial": Trial,
    "cleared": Cleared,
}


def to_wire(record: Record) -> dict[str, Any]:
    """Encode a record as a plain value for peers and the log.

    Args:
        record: The record.

    Returns:
        The record's fields by name, and its `kind`.
    """
    return {"kind": type(record).__name__.lower(), **record._asdict()}


def from_wire(value: dict[str, Any]) -> Record | None:
    """Decode an encoded record.

    Args:
        value: Result of `to_wire`, perhaps written by another release.

    Returns:
        The record, or `None` if its kind is unknown or a field is missing.
    """
    record_type = _TYPE_BY_KIND.get(str(value.get("kind")))
    if record_type is None or any(field not in value for field in record_type._fields):
        return None
    fields = {field: value[field] for field in record_type._fields}
    if record_type is Crash:
        fields["fingerprints"] = tuple(fields["fingerprints"])
    record: Record = record_type(**fields)
    return record

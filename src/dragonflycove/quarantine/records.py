"""What nodes tell each other and the log about requests that crash backend servers."""

from __future__ import annotations

from typing import Any, NamedTuple

STREAM = "quarantine"
"""Name of the log stream that keeps crash and clearance records."""


class Crash(NamedTuple):
    """A backend server crashed while requests ran on it."""

    server_id: str
    """Identifier of the backend server."""

    start_id: str
    """The start of the server that crashed; empty where it is not known."""

    fingerprints: tuple[str, ...]
    """Fingerprints of the requests that the reporting node had in flight there."""

    node: str
    """`host/incarnation` of the reporting node."""


class Trial(NamedTuple):
    """A suspect is run alone on a backend server, or no longer is."""

    fingerprint: str
    """Fingerprint of the suspect."""

    server_id: str
    """Identifier of the backend server."""

    node: str
    """`host/incarnation` of the node that runs it."""

    running: bool
    """True before it is sent, false once it has ended."""


class Cleared(NamedTuple):
    """A suspect ran to its end without a crash."""

    fingerprint: str
    """Fingerprint of the former suspect."""

    node: str
    """`host/incarnation` of the node that ran it."""


class LeaveAsked(NamedTuple):
    """A node asks the holder of a fingerprint's one unit for leave to run the suspect alone."""

    fingerprint: str
    """Fingerprint of the suspect."""

    request_id: str
    """Identifier of the request at the asking node."""

    server_id: str
    """Identifier of the backend server that would run it."""

    node: str
    """`host/incarnation` of the asking node."""


class LeaveAnswered(NamedTuple):
    """The holder's answer."""

    fingerprint: str
    """Fingerprint of the suspect."""

    request_id: str
    """Identifier of the request at the asking node."""

    server_id: str
    """Identifier of the backend server that may run it."""

    granted: bool
    """Whether the request may be sent there, within `GRANT_SECONDS` of the answer."""


class Flight(NamedTuple):
    """A request is sent to a backend server, or is no longer there."""

    fingerprint: str
    """Fingerprint of the request."""

    server_id: str
    """Identifier of the backend server."""

    request_id: str
    """Identifier of the request."""

    node: str
    """`host/incarnation` of the node that sends it."""

    running: bool
    """True before it is sent, false once it has ended."""


class NodeLost(NamedTuple):
    """A node died or was replaced; what it had in flight ends without its word."""

    node: str
    """`host/incarnation` of the node."""


Record = Crash | Trial | Cleared | Flight | NodeLost
"""Records between nodes; the log keeps `Crash` and `Cleared`."""

_TYPE_BY_KIND: dict[str, type[Any]] = {
    "nodelost": NodeLost,
    "flight": Flight,
    "crash": Crash,
    "trial": Trial,
    "cleared": Cleared,
}


def to_wire(record: Record) -> dict[str, Any]:
    """Return a record as the plain value that peers and the log carry.

    Args:
        record: The record.

    Returns:
        Its fields and its `kind`.
    """
    return {"kind": type(record).__name__.lower(), **record._asdict()}


def from_wire(value: dict[str, Any]) -> Record | None:
    """Return the record that a plain value carries.

    Args:
        value: What `to_wire` gave, perhaps from another release of ours.

    Returns:
        The record, or `None` where the kind is unknown or a field is missing.
    """
    record_type = _TYPE_BY_KIND.get(str(value.get("kind")))
    if record_type is None or any(field not in value for field in record_type._fields):
        return None
    fields = {field: value[field] for field in record_type._fields}
    if record_type is Crash:
        fields["fingerprints"] = tuple(fields["fingerprints"])
    record: Record = record_type(**fields)
    return record

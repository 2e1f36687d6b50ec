"""Records of the log stream that holds the configuration, and their encoding as JSON objects.

The field names of these types are stored in the log and sent to peers.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

STREAM = "configuration"
"""Name of the log stream that holds the configuration."""


class TextProposed(NamedTuple):
    """An operator proposes a complete text."""

    operation_id: str
    """Identifier made before the first try; each retry has the same."""

    base_version: int
    """Version that the text was edited from."""

    author: str
    """Name of the operator who sends the operation."""

    text: str
    """The complete text, JSON with comments."""


class EntryChange(NamedTuple):
    """Adds, replaces or removes one entry of a text."""

    section: str
    """`servers` or `organisations`."""

    name: str
    """Name of the entry."""

    value: dict[str, Any] | None
    """The entry as written in the text; `None` removes it."""


class LineEdit(NamedTuple):
    """Replaces consecutive lines of a text."""

    start: int
    """Number of the first line, from zero, in the text before any edit."""

    deleted: int
    """Number of lines to remove."""

    lines: tuple[str, ...]
    """Lines to insert, with their line ends."""


class TextEdit(NamedTuple):
    """The difference between two texts."""

    changes: tuple[EntryChange, ...]
    """Changes of the configuration."""

    line_edits: tuple[LineEdit, ...]
    """Changes of the text's lines, which keep its comments and layout, in ascending order."""


class TextEdited(NamedTuple):
    """An operator proposes a change to the text in force."""

    operation_id: str
    """Identifier made before the first try; each retry has the same."""

    base_version: int
    """Version that the text was edited from."""

    author: str
    """Name of the operator who sends the operation."""

    edit: TextEdit
    """Difference from the text of the base version."""


class ZoneChanged(NamedTuple):
    """An operator takes an availability zone out of service or brings it back."""

    operation_id: str
    """Identifier made before the first try; each retry has the same."""

    seen_offset: int
    """Offset of the first record that the client had not read.

    At or below `Snapshot.forgotten_offset` the operation may repeat one whose outcome was dropped,
    so it is rejected.
    """

    author: str
    """Name of the operator who sends the operation."""

    zone: str
    """Name of the availability zone."""

    out: bool
    """True to take the zone out of service, false to bring it back."""


class RuleRaised(NamedTuple):
    """An operator puts the next version of the acceptance rule in force."""

    operation_id: str
    """Identifier made before the first try; each retry has the same."""

    author: str
    """Name of the operator who sends the operation."""

    rule: int
    """Version of the rule; must be one above the version in force."""


class OperationOutcome(NamedTuple):
    """Outcome of one operation."""

    operation_id: str
    """Identifier of the operation."""

    offset: int
    """Offset of the first record with this operation."""

    author: str
    """Name of the operator who sent the operation."""

    accepted: bool
    """Whether the operation was accepted."""

    version: int
    """Configuration version in force after the operation."""

    detail: str
    """What the operation changed, or why it was rejected."""


class Snapshot(NamedTuple):
    """State of the acceptance rule after all records before an offset."""

    rule: int
    """Version of the acceptance rule in force."""

    next_offset: int
    """Offset of the first record that the snapshot does not include."""

    version: int
    """Configuration version in force; 0 before the first."""

    text: str
    """The last accepted complete text; empty before the first."""

    edits: tuple[TextEdit, ...]
    """Edits accepted since that text, oldest first."""

    zones_out: tuple[str, ...]
    """Names of the availability zones taken out of service, sorted."""

    outcomes: tuple[OperationOutcome, ...]
    """Outcomes of the latest operations, oldest first; they identify repeated operations."""

    forgotten_offset: int
    """Offset of the latest operation dropped from the outcomes; -1 if no outcome was dropped."""


class Restated(NamedTuple):
    """A node appends the current state again, before the records that led to it expire.

    A new reader starts from it. It does not change the configuration.
    """

    operation_id: str
    """Identifier of this restatement."""

    snapshot: Snapshot
    """The restated state."""


Proposal = TextProposed | TextEdited | ZoneChanged | RuleRaised
"""Records that may change the configuration."""

Record = Proposal | Restated
"""All kinds of records in the stream."""

_KIND_BY_TYPE: dict[type[Record], str] = {
    TextProposed: "text",
    TextEdited: "edit",
    ZoneChanged: "zone",
    RuleRaised: "rule",
    Restated: "restated",
}

_TYPE_BY_KIND = {kind: record_type for record_type, kind in _KIND_BY_TYPE.items()}


def to_value(record: Record) -> dict[str, Any]:
    """Encode a record.

    Args:
        record: The record.

    Returns:
        A JSON object for the log, with the record's type as `kind`.
    """
    kind = _KIND_BY_TYPE[type(record)]
    if isinstance(record, Restated):
        snapshot = snapshot_to_value(record.snapshot)
        return {"kind": kind, "operation_id": record.operation_id, "snapshot": snapshot}
    return {"kind": kind, **msgspec.to_builtins(record._asdict())}


def from_value(value: object) -> Record | None:
    """Decode a record, ignoring unknown fields.

    Args:
        value: JSON value from the log.

    Returns:
        The record; `None` if this release does not understand it.
    """
    if not isinstance(value, dict):
        return None
    kind = value.get("kind")
    record_type = _TYPE_BY_KIND.get(kind) if isinstance(kind, str) else None
    if record_type is None:
        return None
    return _convert({key: inner for key, inner in value.items() if key != "kind"}, record_type)


def snapshot_to_value(snapshot: Snapshot) -> dict[str, Any]:
    """Encode a snapshot; named tuples inside it become lists of their fields.

    Args:
        snapshot: The snapshot.

    Returns:
        A JSON object for a peer frame or a `Restated` record.
    """
    fields: dict[str, Any] = msgspec.to_builtins(snapshot._asdict())
    return fields


def snapshot_from_value(value: object) -> Snapshot | None:
    """Decode a snapshot.

    Args:
        value: JSON value from a peer frame or a `Restated` record.

    Returns:
        The snapshot; `None` if it is malformed.
    """
    try:
        return msgspec.convert(_to_field_list(value, Snapshot), Snapshot)
    except (msgspec.ValidationError, TypeError):
        return None


def _convert(fields: dict[str, Any], record_type: type[Record]) -> Record | None:
    if record_type is Restated:
        snapshot = snapshot_from_value(fields.get("snapshot"))
        operation_id = fields.get("operation_id")
        if snapshot is None or not isinstance(operation_id, str):
            return None
        return Restated(operation_id, snapshot)
    try:
        return msgspec.convert(_to_field_list(fields, record_type), record_type)
    except (msgspec.ValidationError, TypeError):
        return None


def _to_field_list(value: object, record_type: type[Any]) -> list[Any]:
    """Return the fields of an object in order, as `msgspec` decodes a named tuple from a list."""
    if not isinstance(value, dict):
        raise TypeError("not an object")
    return [value.get(name) for name in record_type._fields]

"""Records of the log stream that holds the configuration, and their plain form."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

STREAM = "configuration"
"""Name of the log stream."""


class TextProposed(NamedTuple):
    """An operator proposes a whole text."""

    operation_id: str
    """Identifier made before the first try; a repeat carries the same."""

    base_version: int
    """Version that the text was edited from."""

    author: str
    """Who proposes it."""

    text: str
    """JSON with comments."""


class EntryChange(NamedTuple):
    """One entry of a text that is added, replaced or removed."""

    section: str
    """`servers` or `organisations`."""

    name: str
    """Name of the entry."""

    value: dict[str, Any] | None
    """The entry as the text gives it; `None` removes it."""


class LineEdit(NamedTuple):
    """Lines of a text that are replaced."""

    start: int
    """Number of the first line, from zero, in the text before any edit."""

    deleted: int
    """How many lines go."""

    lines: tuple[str, ...]
    """The lines that come, line ends included."""


class TextEdit(NamedTuple):
    """The difference between two texts."""

    changes: tuple[EntryChange, ...]
    """What changes in the configuration."""

    line_edits: tuple[LineEdit, ...]
    """What changes in the text that is shown, in ascending order."""


class TextEdited(NamedTuple):
    """An operator proposes a change to the text in force."""

    operation_id: str
    """Identifier made before the first try; a repeat carries the same."""

    base_version: int
    """Version that the text was edited from."""

    author: str
    """Who proposes it."""

    edit: TextEdit
    """The change."""


class ZoneChanged(NamedTuple):
    """An operator takes an availability zone out or brings it back."""

    operation_id: str
    """Identifier made before the first try; a repeat carries the same."""

    seen_offset: int
    """Offset up to which the client had read; tells a repeat too old to be remembered."""

    author: str
    """Who changes it."""

    zone: str
    """Name of the availability zone."""

    out: bool
    """Whether it is taken out."""


class RuleRaised(NamedTuple):
    """An operator puts the next version of the acceptance rule in force."""

    operation_id: str
    """Identifier made before the first try; a repeat carries the same."""

    author: str
    """Who raises it."""

    rule: int
    """The rule's version, one above the one in force."""


class OperationOutcome(NamedTuple):
    """What became of one operation."""

    operation_id: str
    """Identifier of the operation."""

    offset: int
    """Offset of the first record that carried it."""

    author: str
    """Who sent it."""

    accepted: bool
    """Whether it was accepted."""

    version: int
    """Version in force after it."""

    detail: str
    """What it changed, or why it was rejected."""


class Snapshot(NamedTuple):
    """All that the acceptance rule knows after the records before an offset."""

    rule: int
    """Version of the acceptance rule in force."""

    next_offset: int
    """Offset of the first record that is not in it."""

    version: int
    """Version in force; 0 before the first."""

    text: str
    """The last whole text; empty before the first."""

    edits: tuple[TextEdit, ...]
    """The edits since that text, the oldest first."""

    zones_out: tuple[str, ...]
    """Names of the availability zones taken out, sorted."""

    outcomes: tuple[OperationOutcome, ...]
    """Outcomes of the latest operations, the oldest first."""

    forgotten_offset: int
    """Offset of the latest operation no longer among the outcomes; -1 for none."""


class Restated(NamedTuple):
    """A node repeats what would expire; it changes nothing."""

    operation_id: str
    """Identifier of this restatement."""

    snapshot: Snapshot
    """What is repeated."""


Proposal = TextProposed | TextEdited | ZoneChanged | RuleRaised
"""Records that may change the configuration."""

Record = Proposal | Restated
"""Records of the stream."""

_KIND_BY_TYPE: dict[type[Record], str] = {
    TextProposed: "text",
    TextEdited: "edit",
    ZoneChanged: "zone",
    RuleRaised: "rule",
    Restated: "restated",
}

_TYPE_BY_KIND = {kind: record_type for record_type, kind in _KIND_BY_TYPE.items()}


def to_value(record: Record) -> dict[str, Any]:
    """Return the plain form of a record.

    Args:
        record: The record.

    Returns:
        An object for the log.
    """
    kind = _KIND_BY_TYPE[type(record)]
    if isinstance(record, Restated):
        snapshot = snapshot_to_value(record.snapshot)
        return {"kind": kind, "operation_id": record.operation_id, "snapshot": snapshot}
    return {"kind": kind, **msgspec.to_builtins(record._asdict())}


def from_value(value: object) -> Record | None:
    """Read the plain form of a record.

    Args:
        value: An object from the log.

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
    """Return the plain form of a snapshot, its outcomes as lists of their fields.

    Args:
        snapshot: The snapshot.

    Returns:
        An object for a peer frame.
    """
    fields: dict[str, Any] = msgspec.to_builtins(snapshot._asdict())
    return fields


def snapshot_from_value(value: object) -> Snapshot | None:
    """Read the plain form of a snapshot.

    Args:
        value: An object from a peer frame.

    Returns:
        The snapshot; `None` if it is malformed.
    """
    try:
        return msgspec.convert(_in_order(value, Snapshot), Snapshot)
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
        return msgspec.convert(_in_order(fields, record_type), record_type)
    except (msgspec.ValidationError, TypeError):
        return None


def _in_order(value: object, record_type: type[Any]) -> list[Any]:
    """Lay an object out as the list that the library reads a named tuple from."""
    if not isinstance(value, dict):
        raise TypeError("not an object")
    return [value.get(name) for name in record_type._fields]

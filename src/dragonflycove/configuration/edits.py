"""Edits: differences between two texts, computed by the publisher and applied by every reader."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any

import result

from dragonflycove.configuration import _checks, _entries, _shapes, faults, records, schema, text

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

SECTIONS = ("servers", "organisations")
"""Sections that an edit can change; a change elsewhere needs the complete text."""


def apply_changes(
    parsed: text.ParsedText, changes: Sequence[records.EntryChange]
) -> result.Result[text.ParsedText, list[faults.Fault]]:
    """Apply changes of entries to a parsed text.

    Only the changed entries are decoded; if servers changed, all servers are checked again.

    Args:
        parsed: The parsed text.
        changes: Entries to add, replace or remove.

    Returns:
        The changed parsed text, or the faults.
    """
    found: list[faults.Fault] = []
    servers = dict(parsed.servers_by_id)
    organisations = dict(parsed.organisations_by_name)
    for change in changes:
        if change.section == "servers":
            _change_server(servers, change, parsed, found)
        elif change.section == "organisations":
            _change_organisation(organisations, change, found)
        else:
            found.append(faults.Fault(change.section, "can't be edited; send the whole text"))
    if servers != parsed.servers_by_id and not found:
        names = _checks.KnownNames(frozenset(parsed.services_by_name), parsed.zones)
        found.extend(_checks.check_servers(servers, parsed.services_by_name, names))
    if found:
        return result.Err(found)
    return result.Ok(parsed._replace(servers_by_id=servers, organisations_by_name=organisations))


def render_text(snapshot: records.Snapshot) -> str:
    """Return the text in force with the operators' comments and layout.

    Args:
        snapshot: The snapshot of the version in force.

    Returns:
        The last complete text with the later edits applied to its lines.
    """
    lines = snapshot.text.splitlines(keepends=True)
    for edit in snapshot.edits:
        for line_edit in reversed(edit.line_edits):
            lines[line_edit.start : line_edit.start + line_edit.deleted] = line_edit.lines
    return "".join(lines)


def make_edit(old_text: str, new_text: str) -> records.TextEdit | None:
    """Compute the edit from one checked text to another.

    Args:
        old_text: The text in force.
        new_text: The text to publish.

    Returns:
        The edit; `None` if an edit can't express the difference and the complete text must be sent.
    """
    old, new = text.load(old_text).ok(), text.load(new_text).ok()
    if not isinstance(old, dict) or not isinstance(new, dict):
        return None
    other_sections = {*old, *new} - set(SECTIONS)
    if any(old.get(section) != new.get(section) for section in other_sections):
        return None
    changes = [
        change
        for section in SECTIONS
        for change in _diff_entries(section, old.get(section, {}), new.get(section, {}))
    ]
    edit = records.TextEdit(tuple(changes), tuple(_diff_lines(old_text, new_text)))
    return edit if _reproduces(edit, old_text, new_text) else None


def _reproduces(edit: records.TextEdit, old_text: str, new_text: str) -> bool:
    """Return whether an edit of the old text gives exactly the new configuration and text."""
    expected = text.parse(new_text)
    applied = text.parse(old_text).and_then(lambda parsed: apply_changes(parsed, edit.changes))
    if expected.is_err() or applied.ok() != expected.ok():
        return False
    snapshot = records.Snapshot(1, 0, 1, old_text, (edit,), (), (), -1)
    return render_text(snapshot) == new_text


def _diff_entries(
    section: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[records.EntryChange]:
    for name in old:
        if name not in new:
            yield records.EntryChange(section, name, None)
    for name, value in new.items():
        if name not in old or old[name] != value:
            yield records.EntryChange(section, name, dict(value))


def _diff_lines(old_text: str, new_text: str) -> Iterator[records.LineEdit]:
    old, new = old_text.splitlines(keepends=True), new_text.splitlines(keepends=True)
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    for kind, start, end, new_start, new_end in matcher.get_opcodes():
        if kind != "equal":
            yield records.LineEdit(start, end - start, tuple(new[new_start:new_end]))


def _change_server(
    servers: dict[str, schema.Server],
    change: records.EntryChange,
    parsed: text.ParsedText,
    found: list[faults.Fault],
) -> None:
    if change.value is None:
        _remove(servers, change, found)
        return
    read = _entries.read_section(
        {"servers": {change.name: change.value}}, "servers", _shapes.ServerShape, found
    )
    shape = read.get(change.name)
    if shape is not None:
        service = parsed.services_by_name.get(shape.service)
        models = service.models if service is not None else ()
        servers[change.name] = _entries.to_server(change.name, shape, models)


def _change_organisation(
    organisations: dict[str, schema.Organisation],
    change: records.EntryChange,
    found: list[faults.Fault],
) -> None:
    if change.value is None:
        _remove(organisations, change, found)
        return
    read = _entries.read_section(
        {"organisations": {change.name: change.value}},
        "organisations",
        _shapes.OrganisationShape,
        found,
    )
    shape = read.get(change.name)
    if shape is not None:
        organisations[change.name] = _entries.to_organisation(change.name, shape)


def _remove(
    entries: dict[str, Any], change: records.EntryChange, found: list[faults.Fault]
) -> None:
    if entries.pop(change.name, None) is None:
        path = faults.join(change.section, change.name)
        found.append(faults.Fault(path, "not there to be removed"))

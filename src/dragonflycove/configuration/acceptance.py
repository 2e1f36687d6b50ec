"""The acceptance rule: which records of the log change the configuration.

Every reader applies the records in offset order, so all readers reach the same state. A reader that
misses earlier records buffers what it reads until a restatement arrives, installs the restated
snapshot and then replays the buffered records.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

import result

from dragonflycove.configuration import _rules, edits, record_effects, records, schema, text

MAX_BUFFERED_RECORDS = 4096
"""Maximum number of records buffered while waiting for a restatement."""

MAX_BUFFERED_CHARACTERS = 64_000_000
"""Maximum total length of the buffered texts, characters; the latest record always stays."""


class BufferedRecord(NamedTuple):
    """A record that can't be applied yet, because earlier records are missing."""

    offset: int
    """Offset of the record in the log."""

    record: records.Record | None
    """The record; `None` for one that this release does not understand."""


class AcceptanceState(NamedTuple):
    """State of a reader after the records that it has read."""

    snapshot: records.Snapshot
    """The state that all readers agree on, after the records before `snapshot.next_offset`."""

    configuration: schema.Configuration
    """The configuration in force."""

    parsed: text.ParsedText
    """The parsed text in force, without the version and the zones taken out of service."""

    next_offset: int
    """Offset of the first record not yet read."""

    anchored: bool
    """Whether no record between the snapshot and `next_offset` is missing."""

    buffered: tuple[BufferedRecord, ...]
    """Records read since records were lost, to be replayed after a restatement."""

    ignored_records: int
    """Number of records and snapshots that were malformed or need a later release."""


class ApplyResult(NamedTuple):
    """Result of applying a record or of installing a snapshot."""

    state: AcceptanceState
    """The state after the record or snapshot."""

    effect: record_effects.RecordEffect
    """Effect of the record or snapshot."""


def initial_state(first_retained: int = 0) -> AcceptanceState:
    """Return the state of a new reader.

    Args:
        first_retained: Offset of the first record that the log still has.

    Returns:
        An empty state; above offset 0 it waits for a restatement.
    """
    snapshot = records.Snapshot(_rules.FIRST_RULE_VERSION, 0, 0, "", (), (), (), -1)
    state = AcceptanceState(snapshot, schema.EMPTY, text.EMPTY_TEXT, 0, True, (), 0)
    return skip_expired(state, first_retained)


def skip_expired(state: AcceptanceState, first_retained: int) -> AcceptanceState:
    """Skip the records that have expired from the log.

    Args:
        state: The state.
        first_retained: Offset of the first record that the log still has.

    Returns:
        The state with its configuration unchanged. If unread records were skipped, it waits for a
        restatement.
    """
    if first_retained <= state.next_offset:
        return state
    return state._replace(next_offset=first_retained, anchored=False, buffered=())


def apply(state: AcceptanceState, offset: int, record: records.Record | None) -> ApplyResult:
    """Apply the record at an offset.

    Args:
        state: The state before the record.
        offset: Offset of the record. One that was already read is ignored; after missing offsets
            the state waits for a restatement.
        record: The record; `None` for one that this release does not understand.

    Returns:
        The state after the record, and the effect of the record.
    """
    if offset < state.next_offset:
        return ApplyResult(state, record_effects.Ignored("already read"))
    state = skip_expired(state, offset)
    if state.anchored:
        return _apply_in_order(state, offset, record)
    if isinstance(record, records.Restated):
        return _try_install(_buffer_record(state, offset, None).state, offset, record)
    return _buffer_record(state, offset, record)


def install_snapshot(state: AcceptanceState, snapshot: records.Snapshot) -> ApplyResult:
    """Replace the state by a newer snapshot, and replay the buffered records after it.

    Args:
        state: The state.
        snapshot: A snapshot from a peer or a restatement.

    Returns:
        The new state. A snapshot with an older offset or version, or one that this release can't
        read, leaves the state's configuration unchanged.
    """
    current = state.snapshot
    if snapshot.next_offset <= current.next_offset or snapshot.version < current.version:
        return ApplyResult(state, record_effects.Ignored("not newer"))
    if snapshot.rule not in _rules.RULES_BY_VERSION:
        return _ignore(state, f"rule {snapshot.rule} is not known to this release")
    parsed = _parse_snapshot_text(state, snapshot)
    if parsed is None:
        return _ignore(state, "the text of the snapshot has faults")
    configuration = parsed.to_configuration(snapshot.version, frozenset(snapshot.zones_out))
    buffered = tuple(entry for entry in state.buffered if entry.offset >= snapshot.next_offset)
    next_offset = max(state.next_offset, snapshot.next_offset)
    complete = next_offset == snapshot.next_offset + len(buffered)
    installed = AcceptanceState(
        snapshot, configuration, parsed, next_offset, complete, (), state.ignored_records
    )
    if not complete:
        # Some records after the snapshot were dropped from the buffer and are read from the log again.
        return ApplyResult(
            installed._replace(next_offset=snapshot.next_offset, anchored=True),
            record_effects.SnapshotInstalled(snapshot.version),
        )
    for entry in buffered:
        installed = _apply_in_order(installed, entry.offset, entry.record).state
    return ApplyResult(installed, record_effects.SnapshotInstalled(installed.snapshot.version))


def _try_install(state: AcceptanceState, offset: int, restated: records.Restated) -> ApplyResult:
    """Install the snapshot of a restatement, if every record after the snapshot was read."""
    if not state.buffered[0].offset <= restated.snapshot.next_offset <= offset:
        return ApplyResult(
            state, record_effects.Ignored("records after the restated snapshot are missing")
        )
    return install_snapshot(state, restated.snapshot)


def _buffer_record(
    state: AcceptanceState, offset: int, record: records.Record | None
) -> ApplyResult:
    buffered = (*state.buffered, BufferedRecord(offset, record))[-MAX_BUFFERED_RECORDS:]
    while len(buffered) > 1 and _count_characters(buffered) > MAX_BUFFERED_CHARACTERS:
        buffered = buffered[1:]
    after = state._replace(buffered=buffered, next_offset=offset + 1)
    return ApplyResult(after, record_effects.Ignored("waiting for a restatement"))


def _count_characters(buffered: tuple[BufferedRecord, ...]) -> int:
    return sum(
        len(entry.record.text)
        for entry in buffered
        if isinstance(entry.record, records.TextProposed)
    )


def _apply_in_order(
    state: AcceptanceState, offset: int, record: records.Record | None
) -> ApplyResult:
    """Apply a record to a state that includes all records before it."""
    snapshot = state.snapshot._replace(next_offset=offset + 1)
    state = state._replace(snapshot=snapshot, next_offset=offset + 1)
    if record is None:
        return _ignore(state, "unknown or malformed")
    if isinstance(record, records.Restated):
        return ApplyResult(state, record_effects.Ignored("restatement"))
    rule = _rules.RULES_BY_VERSION.get(snapshot.rule)
    if rule is None:
        return _ignore(state, f"rule {snapshot.rule} is not known to this release")
    decision = rule(snapshot, state.parsed, offset, record)
    configuration = state.configuration
    if decision.snapshot.version != snapshot.version:
        zones_out = frozenset(decision.snapshot.zones_out)
        configuration = decision.parsed.to_configuration(decision.snapshot.version, zones_out)
    decided = state._replace(
        snapshot=decision.snapshot, configuration=configuration, parsed=decision.parsed
    )
    return ApplyResult(decided, decision.effect)


def _ignore(state: AcceptanceState, reason: str) -> ApplyResult:
    counted = state._replace(ignored_records=state.ignored_records + 1)
    return ApplyResult(counted, record_effects.Ignored(reason))


def _parse_snapshot_text(
    state: AcceptanceState, snapshot: records.Snapshot
) -> text.ParsedText | None:
    current = state.snapshot
    if (snapshot.text, snapshot.edits) == (current.text, current.edits):
        return state.parsed
    parsed = text.parse(snapshot.text) if snapshot.version else result.Ok(text.EMPTY_TEXT)
    for edit in snapshot.edits:
        parsed = parsed.and_then(functools.partial(edits.apply_changes, changes=edit.changes))
    return parsed.ok_value if isinstance(parsed, result.Ok) else None

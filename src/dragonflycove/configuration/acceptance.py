"""The acceptance rule: which records of the log change the configuration.

Every reader applies the records in offset order, so that all agree. A reader that lacks the
records before its first one waits for a restatement, keeps what it reads, and then catches up.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

import result

from dragonflycove.configuration import _rules, edits, record_effects, records, schema, text

MAX_WAITING_RECORDS = 4096
"""Most records kept while waiting for a restatement."""

MAX_WAITING_CHARACTERS = 64_000_000
"""Most characters of text kept while waiting for a restatement."""


class WaitingRecord(NamedTuple):
    """A record read before the state that it applies to is known."""

    offset: int
    """Its offset."""

    record: records.Record | None
    """The record; `None` for one that this release does not understand."""


class AcceptanceState(NamedTuple):
    """What a reader knows after the records that it has read."""

    snapshot: records.Snapshot
    """All that the rule knows after the records before `snapshot.next_offset`."""

    configuration: schema.Configuration
    """The configuration in force."""

    parsed: text.ParsedText
    """What the text in force says."""

    next_offset: int
    """Offset of the first record not yet read."""

    anchored: bool
    """Whether no record between the snapshot and `next_offset` is missing."""

    waiting: tuple[WaitingRecord, ...]
    """Records read since a gap, without a state to apply them to."""

    ignored_records: int
    """Count of records that were unknown, malformed or useless."""


class ApplyResult(NamedTuple):
    """A state and what the last record did to it."""

    state: AcceptanceState
    """The state after the record."""

    effect: record_effects.RecordEffect
    """What became of the record."""


def initial_state(first_retained: int = 0) -> AcceptanceState:
    """Return the state of a reader that has read nothing.

    Args:
        first_retained: Offset of the first record that the log still has.

    Returns:
        The state.
    """
    snapshot = records.Snapshot(_rules.FIRST_RULE, 0, 0, "", (), (), (), -1)
    state = AcceptanceState(snapshot, schema.EMPTY, text.NOTHING, 0, True, (), 0)
    return skip_expired(state, first_retained)


def skip_expired(state: AcceptanceState, first_retained: int) -> AcceptanceState:
    """Take note that the log no longer has the records before an offset.

    Args:
        state: The state.
        first_retained: Offset of the first record that the log still has.

    Returns:
        The state; it keeps its configuration, and waits if records that it needs are gone.
    """
    if first_retained <= state.next_offset:
        return state
    return state._replace(next_offset=first_retained, anchored=False, waiting=())


def apply(state: AcceptanceState, offset: int, record: records.Record | None) -> ApplyResult:
    """Apply the record at an offset.

    Args:
        state: The state before it.
        offset: Its offset; one already read is ignored, and a gap makes the reader wait.
        record: The record; `None` for one that this release does not understand.

    Returns:
        The state after it, and what became of it.
    """
    if offset < state.next_offset:
        return ApplyResult(state, record_effects.Ignored("already read"))
    state = skip_expired(state, offset)
    if state.anchored:
        return _decide(state, offset, record)
    if isinstance(record, records.Restated):
        return _try_anchor(_keep_waiting(state, offset, None).state, offset, record)
    return _keep_waiting(state, offset, record)


def install_snapshot(state: AcceptanceState, snapshot: records.Snapshot) -> ApplyResult:
    """Take over a snapshot that a peer or a restatement gives.

    Args:
        state: The state.
        snapshot: The snapshot.

    Returns:
        The state, which never goes back to an older offset or version.
    """
    current = state.snapshot
    if snapshot.next_offset <= current.next_offset or snapshot.version < current.version:
        return ApplyResult(state, record_effects.Ignored("not newer"))
    if snapshot.rule not in _rules.RULES_BY_VERSION:
        return _ignore(state, f"rule {snapshot.rule} is not known to this release")
    parsed = _parse_text_of(state, snapshot)
    if parsed is None:
        return _ignore(state, "the text of the snapshot does not check")
    configuration = parsed.to_configuration(snapshot.version, frozenset(snapshot.zones_out))
    waiting = tuple(kept for kept in state.waiting if kept.offset >= snapshot.next_offset)
    next_offset = max(state.next_offset, snapshot.next_offset)
    complete = next_offset == snapshot.next_offset + len(waiting)
    adopted = AcceptanceState(
        snapshot, configuration, parsed, next_offset, complete, (), state.ignored_records
    )
    if not complete:
        # The records in between were read and dropped; they are read again.
        return ApplyResult(
            adopted._replace(next_offset=snapshot.next_offset, anchored=True),
            record_effects.SnapshotInstalled(snapshot.version),
        )
    for kept in waiting:
        adopted = _decide(adopted, kept.offset, kept.record).state
    return ApplyResult(adopted, record_effects.SnapshotInstalled(adopted.snapshot.version))


def _try_anchor(state: AcceptanceState, offset: int, restated: records.Restated) -> ApplyResult:
    """Take the state from a restatement, and replay what was read since its snapshot."""
    if not state.waiting[0].offset <= restated.snapshot.next_offset <= offset:
        return ApplyResult(state, record_effects.Ignored("restatement of records that are gone"))
    return install_snapshot(state, restated.snapshot)


def _keep_waiting(
    state: AcceptanceState, offset: int, record: records.Record | None
) -> ApplyResult:
    waiting = (*state.waiting, WaitingRecord(offset, record))[-MAX_WAITING_RECORDS:]
    while len(waiting) > 1 and _count_characters(waiting) > MAX_WAITING_CHARACTERS:
        waiting = waiting[1:]
    kept = state._replace(waiting=waiting, next_offset=offset + 1)
    return ApplyResult(kept, record_effects.Ignored("waiting for a restatement"))


def _count_characters(waiting: tuple[WaitingRecord, ...]) -> int:
    return sum(
        len(kept.record.text) for kept in waiting if isinstance(kept.record, records.TextProposed)
    )


def _decide(state: AcceptanceState, offset: int, record: records.Record | None) -> ApplyResult:
    """Apply a record to a state that lacks none before it."""
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


def _parse_text_of(state: AcceptanceState, snapshot: records.Snapshot) -> text.ParsedText | None:
    current = state.snapshot
    if (snapshot.text, snapshot.edits) == (current.text, current.edits):
        return state.parsed
    parsed = text.parse(snapshot.text) if snapshot.version else result.Ok(text.NOTHING)
    for edit in snapshot.edits:
        parsed = parsed.and_then(functools.partial(edits.apply_changes, changes=edit.changes))
    return parsed.ok_value if isinstance(parsed, result.Ok) else None

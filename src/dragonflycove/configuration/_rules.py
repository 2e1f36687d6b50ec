"""Versions of the acceptance rule, each a pure function of the state and one proposal."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import edits, record_effects, records, text

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import faults

FIRST_RULE_VERSION = 1
"""Version of the rule in force in an empty log."""

MAX_OUTCOMES = 1024
"""Maximum number of operation outcomes in a snapshot; they identify repeated operations."""

MAX_EDITS = 256
"""Maximum number of consecutive edits; the next change must be a complete text."""

MAX_REPORTED_FAULTS = 5
"""Maximum number of faults listed in the outcome of a rejected text."""


class Decision(NamedTuple):
    """Result of applying the rule to one proposal."""

    snapshot: records.Snapshot
    """The snapshot after the proposal."""

    parsed: text.ParsedText
    """The parsed text in force after the proposal."""

    effect: record_effects.RecordEffect
    """Whether the proposal was accepted, rejected or repeats an earlier one."""


class _AcceptedChange(NamedTuple):
    """State after an accepted proposal, before its outcome is appended."""

    snapshot: records.Snapshot
    parsed: text.ParsedText
    detail: str


def apply_first_rule(
    snapshot: records.Snapshot, parsed: text.ParsedText, offset: int, proposal: records.Proposal
) -> Decision:
    """Apply version 1 of the rule.

    Args:
        snapshot: The snapshot before the proposal, its `next_offset` advanced past it already.
        parsed: The parsed text in force.
        offset: Offset of the proposal in the log.
        proposal: The proposal.

    Returns:
        The state after the proposal, and the effect of the proposal.
    """
    for outcome in snapshot.outcomes:
        if outcome.operation_id == proposal.operation_id:
            return Decision(snapshot, parsed, record_effects.Repeated(outcome))
    changed = _evaluate(proposal, snapshot, parsed)
    accepted = isinstance(changed, _AcceptedChange)
    if isinstance(changed, _AcceptedChange):
        snapshot, parsed = changed.snapshot, changed.parsed
        detail = changed.detail
    else:
        detail = changed
    outcome = records.OperationOutcome(
        proposal.operation_id, offset, proposal.author, accepted, snapshot.version, detail
    )
    effect = record_effects.Accepted(outcome) if accepted else record_effects.Rejected(outcome)
    return Decision(_append_outcome(snapshot, outcome), parsed, effect)


RULES_BY_VERSION: dict[
    int, Callable[[records.Snapshot, text.ParsedText, int, records.Proposal], Decision]
] = {FIRST_RULE_VERSION: apply_first_rule}
"""Rules that this release implements, by version."""


@functools.singledispatch
def _evaluate(
    proposal: records.Proposal, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _AcceptedChange | str:
    """Return the state after an accepted proposal, or the reason for rejecting it."""
    raise AssertionError(f"no rule for {type(proposal).__name__}")


@_evaluate.register
def _(
    proposal: records.TextProposed, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _AcceptedChange | str:
    if proposal.base_version != snapshot.version:
        return _format_conflict(proposal.base_version, snapshot)
    checked = text.parse(proposal.text)
    if isinstance(checked, result.Err):
        return _format_faults(checked.err_value)
    changed = snapshot._replace(version=snapshot.version + 1, text=proposal.text, edits=())
    return _AcceptedChange(changed, checked.ok_value, "text")


@_evaluate.register
def _(
    proposal: records.TextEdited, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _AcceptedChange | str:
    if proposal.base_version != snapshot.version:
        return _format_conflict(proposal.base_version, snapshot)
    if not snapshot.version:
        return "there is no text to edit; send a whole text"
    if len(snapshot.edits) >= MAX_EDITS:
        return f"{MAX_EDITS} edits since the last whole text; send the whole text"
    checked = edits.apply_changes(parsed, proposal.edit.changes)
    if isinstance(checked, result.Err):
        return _format_faults(checked.err_value)
    edited = (*snapshot.edits, proposal.edit)
    changed = snapshot._replace(version=snapshot.version + 1, edits=edited)
    return _AcceptedChange(changed, checked.ok_value, f"text, {len(proposal.edit.changes)} entries")


@_evaluate.register
def _(
    proposal: records.ZoneChanged, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _AcceptedChange | str:
    if proposal.seen_offset <= snapshot.forgotten_offset:
        return "too old to tell from a repeat; send it again"
    zones_out = set(snapshot.zones_out)
    if proposal.zone not in parsed.zones and proposal.zone not in zones_out:
        return f"unknown zone {proposal.zone!r}"
    word = "out" if proposal.out else "back"
    if (proposal.zone in zones_out) == proposal.out:
        return _AcceptedChange(snapshot, parsed, f"zone {proposal.zone} was {word} already")
    zones_out ^= {proposal.zone}
    changed = snapshot._replace(version=snapshot.version + 1, zones_out=tuple(sorted(zones_out)))
    return _AcceptedChange(changed, parsed, f"zone {proposal.zone} {word}")


@_evaluate.register
def _(
    proposal: records.RuleRaised, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _AcceptedChange | str:
    if proposal.rule != snapshot.rule + 1:
        return f"rule {snapshot.rule} is in force"
    changed = snapshot._replace(rule=proposal.rule)
    return _AcceptedChange(changed, parsed, f"rule {proposal.rule}")


def _format_faults(found: list[faults.Fault]) -> str:
    listed = "; ".join(str(fault) for fault in found[:MAX_REPORTED_FAULTS])
    return f"{len(found)} faults: {listed}"


def _format_conflict(base_version: int, snapshot: records.Snapshot) -> str:
    reason = f"edited from version {base_version}, but version {snapshot.version} is in force"
    for outcome in snapshot.outcomes:
        if outcome.accepted and outcome.version == base_version + 1:
            return f"{reason}; version {outcome.version} by {outcome.author} came first"
    return reason


def _append_outcome(
    snapshot: records.Snapshot, outcome: records.OperationOutcome
) -> records.Snapshot:
    outcomes = (*snapshot.outcomes, outcome)
    forgotten_offset = snapshot.forgotten_offset
    if len(outcomes) > MAX_OUTCOMES:
        forgotten_offset = outcomes[0].offset
        outcomes = outcomes[1:]
    return snapshot._replace(outcomes=outcomes, forgotten_offset=forgotten_offset)

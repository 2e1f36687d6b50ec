"""The versions of the acceptance rule, each a pure function."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import edits, record_effects, records, text

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import faults

FIRST_RULE = 1
"""Version of the rule that an empty log begins with."""

MAX_OUTCOMES = 1024
"""Most outcomes of operations that are remembered."""

MAX_EDITS = 256
"""Most edits between two whole texts."""

MAX_FAULTS_TOLD = 5
"""Most faults named in the outcome of a rejected text."""


class Decision(NamedTuple):
    """What the rule makes of one proposal."""

    snapshot: records.Snapshot
    """All that the rule knows after it."""

    parsed: text.ParsedText
    """What the text in force says."""

    effect: record_effects.RecordEffect
    """What became of the proposal."""


class _Change(NamedTuple):
    """An accepted proposal, before it is numbered."""

    snapshot: records.Snapshot
    parsed: text.ParsedText
    detail: str


def decide_first_rule(
    snapshot: records.Snapshot, parsed: text.ParsedText, offset: int, proposal: records.Proposal
) -> Decision:
    """Apply version 1 of the rule.

    Args:
        snapshot: What the rule knows before the proposal, past its offset already.
        parsed: What the text in force says.
        offset: Offset of the proposal.
        proposal: The proposal.

    Returns:
        The decision.
    """
    for outcome in snapshot.outcomes:
        if outcome.operation_id == proposal.operation_id:
            return Decision(snapshot, parsed, record_effects.Repeated(outcome))
    changed = _judge(proposal, snapshot, parsed)
    accepted = isinstance(changed, _Change)
    if isinstance(changed, _Change):
        snapshot, parsed = changed.snapshot, changed.parsed
        detail = changed.detail
    else:
        detail = changed
    outcome = records.OperationOutcome(
        proposal.operation_id, offset, proposal.author, accepted, snapshot.version, detail
    )
    effect = record_effects.Accepted(outcome) if accepted else record_effects.Rejected(outcome)
    return Decision(_remember(snapshot, outcome), parsed, effect)


RULES_BY_VERSION: dict[
    int, Callable[[records.Snapshot, text.ParsedText, int, records.Proposal], Decision]
] = {FIRST_RULE: decide_first_rule}
"""The rules that this release knows."""


@functools.singledispatch
def _judge(
    proposal: records.Proposal, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _Change | str:
    """Return the change that a proposal makes, or why it is rejected."""
    raise AssertionError(f"no judgement for {type(proposal).__name__}")


@_judge.register
def _(
    proposal: records.TextProposed, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _Change | str:
    if proposal.base_version != snapshot.version:
        return _tell_lost_race(proposal.base_version, snapshot)
    checked = text.parse(proposal.text)
    if isinstance(checked, result.Err):
        return _tell_faults(checked.err_value)
    changed = snapshot._replace(version=snapshot.version + 1, text=proposal.text, edits=())
    return _Change(changed, checked.ok_value, "text")


@_judge.register
def _(
    proposal: records.TextEdited, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _Change | str:
    if proposal.base_version != snapshot.version:
        return _tell_lost_race(proposal.base_version, snapshot)
    if not snapshot.version:
        return "there is no text to edit; send a whole text"
    if len(snapshot.edits) >= MAX_EDITS:
        return f"{MAX_EDITS} edits since the last whole text; send the whole text"
    checked = edits.apply_changes(parsed, proposal.edit.changes)
    if isinstance(checked, result.Err):
        return _tell_faults(checked.err_value)
    edited = (*snapshot.edits, proposal.edit)
    changed = snapshot._replace(version=snapshot.version + 1, edits=edited)
    return _Change(changed, checked.ok_value, f"text, {len(proposal.edit.changes)} entries")


@_judge.register
def _(
    proposal: records.ZoneChanged, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _Change | str:
    if proposal.seen_offset <= snapshot.forgotten_offset:
        return "too old to tell from a repeat; send it again"
    zones_out = set(snapshot.zones_out)
    if proposal.zone not in parsed.zones and proposal.zone not in zones_out:
        return f"unknown zone {proposal.zone!r}"
    word = "out" if proposal.out else "back"
    if (proposal.zone in zones_out) == proposal.out:
        return _Change(snapshot, parsed, f"zone {proposal.zone} was {word} already")
    zones_out ^= {proposal.zone}
    changed = snapshot._replace(version=snapshot.version + 1, zones_out=tuple(sorted(zones_out)))
    return _Change(changed, parsed, f"zone {proposal.zone} {word}")


@_judge.register
def _(
    proposal: records.RuleRaised, snapshot: records.Snapshot, parsed: text.ParsedText
) -> _Change | str:
    if proposal.rule != snapshot.rule + 1:
        return f"rule {snapshot.rule} is in force"
    changed = snapshot._replace(rule=proposal.rule)
    return _Change(changed, parsed, f"rule {proposal.rule}")


def _tell_faults(found: list[faults.Fault]) -> str:
    told = "; ".join(str(fault) for fault in found[:MAX_FAULTS_TOLD])
    return f"{len(found)} faults: {told}"


def _tell_lost_race(base_version: int, snapshot: records.Snapshot) -> str:
    reason = f"edited from version {base_version}, but version {snapshot.version} is in force"
    for outcome in snapshot.outcomes:
        if outcome.accepted and outcome.version == base_version + 1:
            return f"{reason}; version {outcome.version} by {outcome.author} came first"
    return reason


def _remember(snapshot: records.Snapshot, outcome: records.OperationOutcome) -> records.Snapshot:
    outcomes = (*snapshot.outcomes, outcome)
    forgotten_offset = snapshot.forgotten_offset
    if len(outcomes) > MAX_OUTCOMES:
        forgotten_offset = outcomes[0].offset
        outcomes = outcomes[1:]
    return snapshot._replace(outcomes=outcomes, forgotten_offset=forgotten_offset)

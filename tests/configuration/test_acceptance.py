"""Tests that all readers of the log reach the same configuration.

Guards against readers that diverge when operations race or are repeated, records expire, and
readers start late or install snapshots of peers.
"""

from __future__ import annotations

import json
from typing import NamedTuple

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.configuration import (
    _rules,
    acceptance,
    record_effects,
    records,
    restatement,
    schema,
    text,
)

ZONES = ("cayambe", "riobamba")


def make_text(name: str) -> str:
    """Return a small text; the one named `bad` has a duplicate zone, which is a fault."""
    zones = ["cayambe", "cayambe"] if name == "bad" else list(ZONES)
    return json.dumps({"zones": zones, "organisations": {name: {}}})


def propose(operation_id: str, base: int, name: str = "a") -> records.TextProposed:
    """Return a proposal of a small text."""
    return records.TextProposed(operation_id, base, f"author-{operation_id}", make_text(name))


def apply_all(
    state: acceptance.AcceptanceState, log: list[records.Record | None], start: int = 0
) -> acceptance.AcceptanceState:
    """Apply the records of a log from an offset on."""
    for offset, record in enumerate(log[start:], start):
        state = acceptance.apply(state, offset, record).state
    return state


class Oracle(NamedTuple):
    """Expected state, computed directly from all records since offset 0."""

    version: int
    organisations: frozenset[str]
    zones_out: frozenset[str]

    @classmethod
    def from_log(cls, log: list[records.Record | None]) -> Oracle:
        """Compute the state after all records ever appended."""
        version, organisations, zones_out = 0, set[str](), set[str]()
        seen: set[str] = set()
        for record in log:
            if record is None or isinstance(record, records.Restated):
                continue
            if record.operation_id in seen:
                continue
            seen.add(record.operation_id)
            if isinstance(record, records.TextProposed):
                if record.base_version == version and record.text != make_text("bad"):
                    version, organisations = version + 1, set(
                        json.loads(record.text)["organisations"]
                    )
            elif isinstance(record, records.TextEdited):
                change = record.edit.changes[0]
                is_possible = change.value is not None or change.name in organisations
                if version and record.base_version == version and is_possible:
                    version += 1
                    organisations ^= {change.name} & organisations
                    organisations |= {change.name} if change.value is not None else set()
            elif version and record.zone in ZONES and (record.zone in zones_out) != record.out:
                version += 1
                zones_out ^= {record.zone}
        return cls(version, frozenset(organisations), frozenset(zones_out))


class Readers(stateful.RuleBasedStateMachine):
    """A log with expiry, racing operators, repeated operations, and readers that start late."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[records.Record | None] = []
        self.first_retained = 0
        self.proposals: list[records.Record] = []
        self.readers = [acceptance.initial_state()]
        self.configurations_by_version: dict[int, schema.Configuration] = {}

    def append(self, record: records.Record | None) -> None:
        """Append a record after encoding and decoding it as JSON."""
        value = None if record is None else records.to_value(record)
        self.log.append(records.from_value(json.loads(json.dumps(value))))

    @stateful.rule(behind=st.integers(0, 2), name=st.sampled_from(["a", "b", "c", "bad"]))
    def publish(self, behind: int, name: str) -> None:
        """An operator publishes a text based on the current or an older version."""
        base = max(0, Oracle.from_log(self.log).version - behind)
        self.proposals.append(propose(f"op-{len(self.proposals)}", base, name))
        self.append(self.proposals[-1])

    @stateful.rule(name=st.sampled_from(["a", "b", "c"]), removes=st.booleans())
    def publish_edit(self, name: str, removes: bool) -> None:
        """An operator changes one entry of the text in force."""
        base = Oracle.from_log(self.log).version
        change = records.EntryChange("organisations", name, None if removes else {})
        edit = records.TextEdit((change,), ())
        self.proposals.append(records.TextEdited(f"op-{len(self.proposals)}", base, "sisa", edit))
        self.append(self.proposals[-1])

    @stateful.rule(zone=st.sampled_from([*ZONES, "unknown"]), out=st.booleans())
    def change_zone(self, zone: str, out: bool) -> None:
        """An operator takes a zone out of service or brings it back."""
        seen = len(self.log)
        self.proposals.append(
            records.ZoneChanged(f"op-{len(self.proposals)}", seen, "ana", zone, out)
        )
        self.append(self.proposals[-1])

    @stateful.precondition(lambda self: self.proposals)
    @stateful.rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """An operation whose response was lost is appended again, at any later time."""
        self.append(data.draw(st.sampled_from(self.proposals)))

    @stateful.rule()
    def append_unknown(self) -> None:
        """A record that this release does not understand is appended."""
        self.append(None)

    @stateful.rule(data=st.data(), count=st.integers(1, 6))
    def read(self, data: st.DataObject, count: int) -> None:
        """A reader reads a few records; one that is too far behind finds them expired."""
        self.advance(data.draw(st.integers(0, len(self.readers) - 1)), count)

    def advance(self, index: int, count: int) -> None:
        """Let a reader read up to `count` records; its version never decreases."""
        state = acceptance.skip_expired(self.readers[index], self.first_retained)
        for offset in range(state.next_offset, min(len(self.log), state.next_offset + count)):
            version = state.configuration.version
            state = acceptance.apply(state, offset, self.log[offset]).state
            assert state.configuration.version >= version
        self.readers[index] = state

    @stateful.rule()
    def start_reader(self) -> None:
        """A new reader starts from the first retained record."""
        self.readers.append(acceptance.initial_state(self.first_retained))

    @stateful.rule(data=st.data())
    def restart_from_peer(self, data: st.DataObject) -> None:
        """A reader installs the snapshot of another one."""
        source = data.draw(st.sampled_from(self.readers))
        index = data.draw(st.integers(0, len(self.readers) - 1))
        version = self.readers[index].configuration.version
        value = json.loads(json.dumps(records.snapshot_to_value(source.snapshot)))
        snapshot = records.snapshot_from_value(value)
        assert snapshot == source.snapshot
        self.readers[index] = acceptance.install_snapshot(self.readers[index], snapshot).state
        assert self.readers[index].configuration.version >= version

    @stateful.rule(data=st.data())
    def restate(self, data: st.DataObject) -> None:
        """A reader restates its state, which may lag behind the log."""
        state = data.draw(st.sampled_from(self.readers))
        if state.anchored:
            self.append(restatement.restate(state, f"re-{len(self.log)}"))

    @stateful.rule(data=st.data())
    def expire(self, data: st.DataObject) -> None:
        """Old records expire, except the last restatement and the records after its snapshot."""
        start_offsets = [
            record.snapshot.next_offset
            for record in self.log[self.first_retained :]
            if isinstance(record, records.Restated)
            and record.snapshot.next_offset >= self.first_retained
        ]
        if start_offsets:
            self.first_retained = data.draw(st.integers(self.first_retained, max(start_offsets)))

    @stateful.invariant()
    def versions_agree(self) -> None:
        """All readers that ever have the same version have the same configuration."""
        for state in self.readers:
            known = self.configurations_by_version.setdefault(
                state.configuration.version, state.configuration
            )
            assert known == state.configuration

    def teardown(self) -> None:
        """Let every reader catch up, and compare each with the oracle."""
        oracle = Oracle.from_log(self.log)
        self.readers.append(acceptance.initial_state(self.first_retained))
        for index in range(len(self.readers)):
            self.advance(index, len(self.log))
            self.advance(index, len(self.log))
            state = self.readers[index]
            assert state.anchored
            assert state.snapshot.version == oracle.version
            assert state.configuration.organisations_by_name.keys() == oracle.organisations
            assert state.configuration.zones_out == oracle.zones_out
            assert state.configuration.version == oracle.version


class ReadersWithFewOutcomes(Readers):
    """The same with at most two remembered outcomes, so that repeats of older ones are unknown."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(_rules, "MAX_OUTCOMES", 2)

    def teardown(self) -> None:
        """Run the same final checks, then restore the limit."""
        try:
            super().teardown()
        finally:
            self.patch.undo()


TestReaders = Readers.TestCase
TestReaders.settings = hypothesis.settings(max_examples=150, stateful_step_count=40)

TestReadersWithFewOutcomes = ReadersWithFewOutcomes.TestCase
TestReadersWithFewOutcomes.settings = hypothesis.settings(max_examples=100, stateful_step_count=40)


def test_remembered_outcomes_are_bounded() -> None:
    """The outcomes in a snapshot don't grow without limit, and zones can still be changed."""
    state = apply_all(acceptance.initial_state(), [propose("op-0", 0)])
    for offset in range(1, _rules.MAX_OUTCOMES + 50):
        unchanged_zone = records.ZoneChanged(f"op-{offset}", offset, "ana", "cayambe", False)
        state = acceptance.apply(state, offset, unchanged_zone).state
    assert len(state.snapshot.outcomes) == _rules.MAX_OUTCOMES
    out = records.ZoneChanged("op-out", state.next_offset, "ana", "cayambe", True)
    assert isinstance(
        acceptance.apply(state, state.next_offset, out).effect, record_effects.Accepted
    )


@pytest.mark.parametrize(
    ("value", "is_known"),
    [
        (None, False),
        ([], False),
        ({"kind": "later"}, False),
        ({"kind": "text"}, False),
        ({"kind": ["text"]}, False),
        (
            {"kind": "text", "operation_id": "o", "base_version": "1", "author": "a", "text": ""},
            False,
        ),
        ({"kind": "restated", "operation_id": "o", "snapshot": {}}, False),
        ({"kind": "rule", "operation_id": "o", "author": "a", "rule": 2, "more": 1}, True),
    ],
)
def test_malformed_records_decode_to_none(value: object, is_known: bool) -> None:
    """A malformed value gives no record; unknown fields of later releases are ignored."""
    assert (records.from_value(value) is not None) is is_known


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


@hypothesis.given(st.data(), st.sampled_from([records.TextProposed, records.Restated]))
def test_malformed_fields_do_not_crash_a_reader(
    data: st.DataObject, record_type: type[records.Record]
) -> None:
    """A record with arbitrary JSON in its fields is applied, rejected or ignored."""
    valid_records: dict[type[records.Record], records.Record] = {
        records.TextProposed: propose("op", 0),
        records.Restated: records.Restated("re", acceptance.initial_state().snapshot),
    }
    value = records.to_value(valid_records[record_type])
    target = value["snapshot"] if record_type is records.Restated else value
    for name in data.draw(st.lists(st.sampled_from(sorted(target)), min_size=1, max_size=2)):
        target[name] = data.draw(JSON_VALUES)
    applied = acceptance.apply(acceptance.initial_state(3), 3, records.from_value(value))
    assert applied.state.next_offset == 4
    for fault in text.parse(json.dumps(data.draw(JSON_VALUES))).err() or []:
        assert fault.reason


def test_unknown_rule_version_stops_the_reader() -> None:
    """Under a rule that this release lacks, a reader keeps its version and ignores all records."""
    state = apply_all(
        acceptance.initial_state(), [propose("op-0", 0), records.RuleRaised("op-1", "ana", 2)]
    )
    assert state.snapshot.rule == 2
    after = acceptance.apply(state, 2, propose("op-2", 1, "b"))
    assert isinstance(after.effect, record_effects.Ignored)
    assert (after.state.configuration.version, after.state.ignored_records) == (1, 1)


def test_rule_version_can_only_rise_by_one() -> None:
    """A rule version that skips one, repeats the current one or goes back is rejected."""
    for rule in (0, 1, 3):
        applied = acceptance.apply(
            acceptance.initial_state(), 0, records.RuleRaised("op", "ana", rule)
        )
        assert isinstance(applied.effect, record_effects.Rejected)

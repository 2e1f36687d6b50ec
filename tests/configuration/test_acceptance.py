"""State machine of the acceptance rule: readers of a log with loss, repeats and expiry agree."""

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
    """Return a small text; one named `bad` has a fault."""
    zones = ["cayambe", "cayambe"] if name == "bad" else list(ZONES)
    return json.dumps({"zones": zones, "organisations": {name: {}}})


def propose(operation_id: str, base: int, name: str = "a") -> records.TextProposed:
    """Return a proposal of a small text."""
    return records.TextProposed(operation_id, base, f"author-{operation_id}", make_text(name))


def apply_all(
    state: acceptance.AcceptanceState, log: list[records.Record | None], start: int = 0
) -> acceptance.AcceptanceState:
    """Apply records from an offset on."""
    for offset, record in enumerate(log[start:], start):
        state = acceptance.apply(state, offset, record).state
    return state


class Oracle(NamedTuple):
    """What the records since offset 0 say, worked out in the plainest way."""

    version: int
    organisations: frozenset[str]
    zones_out: frozenset[str]

    @classmethod
    def from_log(cls, log: list[records.Record | None]) -> Oracle:
        """Work out the state after all records ever appended."""
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
    """A log with expiry, operators who race and repeat, and readers that come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[records.Record | None] = []
        self.first_retained = 0
        self.sent: list[records.Record] = []
        self.readers = [acceptance.initial_state()]
        self.accepted: dict[int, schema.Configuration] = {}

    def append(self, record: records.Record | None) -> None:
        """Append a record, as a value that went over the wire."""
        value = None if record is None else records.to_value(record)
        self.log.append(records.from_value(json.loads(json.dumps(value))))

    @stateful.rule(behind=st.integers(0, 2), name=st.sampled_from(["a", "b", "c", "bad"]))
    def publish(self, behind: int, name: str) -> None:
        """An operator publishes a text edited from this or an older version."""
        base = max(0, Oracle.from_log(self.log).version - behind)
        self.sent.append(propose(f"op-{len(self.sent)}", base, name))
        self.append(self.sent[-1])

    @stateful.rule(name=st.sampled_from(["a", "b", "c"]), removes=st.booleans())
    def publish_edit(self, name: str, removes: bool) -> None:
        """An operator changes one entry of the text in force."""
        base = Oracle.from_log(self.log).version
        change = records.EntryChange("organisations", name, None if removes else {})
        edit = records.TextEdit((change,), ())
        self.sent.append(records.TextEdited(f"op-{len(self.sent)}", base, "sisa", edit))
        self.append(self.sent[-1])

    @stateful.rule(zone=st.sampled_from([*ZONES, "unknown"]), out=st.booleans())
    def change_zone(self, zone: str, out: bool) -> None:
        """An operator takes a zone out or brings it back."""
        seen = len(self.log)
        self.sent.append(records.ZoneChanged(f"op-{len(self.sent)}", seen, "ana", zone, out))
        self.append(self.sent[-1])

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """An operation whose answer was lost is appended again, however late."""
        self.append(data.draw(st.sampled_from(self.sent)))

    @stateful.rule()
    def append_unknown(self) -> None:
        """A record of a later release is appended."""
        self.append(None)

    @stateful.rule(data=st.data(), count=st.integers(1, 6))
    def read(self, data: st.DataObject, count: int) -> None:
        """A reader reads a few records; one that fell behind finds them expired."""
        self.advance(data.draw(st.integers(0, len(self.readers) - 1)), count)

    def advance(self, index: int, count: int) -> None:
        """Let a reader read."""
        state = acceptance.skip_expired(self.readers[index], self.first_retained)
        for offset in range(state.next_offset, min(len(self.log), state.next_offset + count)):
            version = state.configuration.version
            state = acceptance.apply(state, offset, self.log[offset]).state
            assert state.configuration.version >= version
        self.readers[index] = state

    @stateful.rule()
    def start_reader(self) -> None:
        """A fresh reader starts from what the log retains."""
        self.readers.append(acceptance.initial_state(self.first_retained))

    @stateful.rule(data=st.data())
    def restart_from_peer(self, data: st.DataObject) -> None:
        """A fresh reader, or one that waits, takes over a peer's snapshot."""
        give = data.draw(st.sampled_from(self.readers))
        index = data.draw(st.integers(0, len(self.readers) - 1))
        version = self.readers[index].configuration.version
        value = json.loads(json.dumps(records.snapshot_to_value(give.snapshot)))
        snapshot = records.snapshot_from_value(value)
        assert snapshot == give.snapshot
        self.readers[index] = acceptance.install_snapshot(self.readers[index], snapshot).state
        assert self.readers[index].configuration.version >= version

    @stateful.rule(data=st.data())
    def restate(self, data: st.DataObject) -> None:
        """A reader restates what it knows, which may lag behind the log."""
        state = data.draw(st.sampled_from(self.readers))
        if state.anchored:
            self.append(restatement.restate(state, f"re-{len(self.log)}"))

    @stateful.rule(data=st.data())
    def expire(self, data: st.DataObject) -> None:
        """Old records expire, but not the last restatement and what follows its snapshot."""
        begins = [
            record.snapshot.next_offset
            for record in self.log[self.first_retained :]
            if isinstance(record, records.Restated)
            and record.snapshot.next_offset >= self.first_retained
        ]
        if begins:
            self.first_retained = data.draw(st.integers(self.first_retained, max(begins)))

    @stateful.invariant()
    def versions_agree(self) -> None:
        """Two readers that have the same version have the same configuration, for ever."""
        for state in self.readers:
            known = self.accepted.setdefault(state.configuration.version, state.configuration)
            assert known == state.configuration

    def teardown(self) -> None:
        """At the end every reader reads on, and all say what the oracle says."""
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


class ForgetfulReaders(Readers):
    """The same, with readers that remember the outcomes of few operations."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(_rules, "MAX_OUTCOMES", 2)

    def teardown(self) -> None:
        """Check as the others do."""
        try:
            super().teardown()
        finally:
            self.patch.undo()


TestReaders = Readers.TestCase
TestReaders.settings = hypothesis.settings(max_examples=150, stateful_step_count=40)

TestForgetfulReaders = ForgetfulReaders.TestCase
TestForgetfulReaders.settings = hypothesis.settings(max_examples=100, stateful_step_count=40)


def test_outcomes_are_bounded() -> None:
    """However many operations come, the snapshot stays bounded, and zones can still be changed."""
    state = apply_all(acceptance.initial_state(), [propose("op-0", 0)])
    for offset in range(1, _rules.MAX_OUTCOMES + 50):
        idle = records.ZoneChanged(f"op-{offset}", offset, "ana", "cayambe", False)
        state = acceptance.apply(state, offset, idle).state
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
def test_malformed_records_are_unknown(value: object, is_known: bool) -> None:
    """A value of another form gives no record; further fields of later releases are passed over."""
    assert (records.from_value(value) is not None) is is_known


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


@hypothesis.given(st.data(), st.sampled_from([records.TextProposed, records.Restated]))
def test_no_value_crashes_a_reader(data: st.DataObject, record_type: type[records.Record]) -> None:
    """A record with any of its fields replaced by anything is applied, rejected or ignored."""
    whole: dict[type[records.Record], records.Record] = {
        records.TextProposed: propose("op", 0),
        records.Restated: records.Restated("re", acceptance.initial_state().snapshot),
    }
    value = records.to_value(whole[record_type])
    target = value["snapshot"] if record_type is records.Restated else value
    for name in data.draw(st.lists(st.sampled_from(sorted(target)), min_size=1, max_size=2)):
        target[name] = data.draw(JSON_VALUES)
    applied = acceptance.apply(acceptance.initial_state(3), 3, records.from_value(value))
    assert applied.state.next_offset == 4
    for fault in text.parse(json.dumps(data.draw(JSON_VALUES))).err() or []:
        assert fault.reason


def test_rule_unknown_to_this_release_stops_the_reader() -> None:
    """After a rule that it does not know, a reader keeps its version and counts what it ignores."""
    state = apply_all(
        acceptance.initial_state(), [propose("op-0", 0), records.RuleRaised("op-1", "ana", 2)]
    )
    assert state.snapshot.rule == 2
    after = acceptance.apply(state, 2, propose("op-2", 1, "b"))
    assert isinstance(after.effect, record_effects.Ignored)
    assert (after.state.configuration.version, after.state.ignored_records) == (1, 1)


def test_rules_are_raised_by_one() -> None:
    """A rule can't be skipped or put back."""
    for rule in (0, 1, 3):
        applied = acceptance.apply(
            acceptance.initial_state(), 0, records.RuleRaised("op", "ana", rule)
        )
        assert isinstance(applied.effect, record_effects.Rejected)

"""Tests that edits have the same result as publishing the complete text."""

from __future__ import annotations

import copy
import json
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from dragonflycove.configuration import acceptance, edits, record_effects, records, text

SERVER = {"service": "stock", "zone": "cayambe", "address": "127.0.0.1:1"}

DOCUMENT: dict[str, Any] = {
    "services": {"stock": {"kind": "plain"}},
    "zones": ["cayambe"],
    "servers": {"s1": SERVER, "s2": {**SERVER, "address": "127.0.0.1:2"}},
    "organisations": {"herders": {"weight": 2}, "shop": {}},
}

COMPLETE_TEXT = "// by hand\n" + json.dumps(DOCUMENT, indent=1)


def change_document(data: st.DataObject) -> dict[str, Any]:
    """Draw a document that differs in up to three entries."""
    document = copy.deepcopy(DOCUMENT)
    for _ in range(data.draw(st.integers(0, 3))):
        section = data.draw(st.sampled_from(["servers", "organisations", "services"]))
        name = data.draw(st.sampled_from(["s1", "s2", "s3", "herders", "shop", "stock"]))
        if data.draw(st.booleans()):
            document[section].pop(name, None)
        elif section == "servers":
            address = f"127.0.0.1:{data.draw(st.integers(1, 4))}"
            document[section][name] = {**SERVER, "address": address}
        elif section == "organisations":
            document[section][name] = {"weight": data.draw(st.integers(1, 3))}
    return document


@hypothesis.given(st.data())
def test_edit_and_complete_text_give_the_same_configuration(data: st.DataObject) -> None:
    """A reader of the edit gets the configuration and text that the complete text would give.

    Only a change of another section, such as `services`, can't be sent as an edit.
    """
    new = "// by hand\n" + json.dumps(change_document(data), indent=1)
    if text.parse(new).is_err():
        return
    edit = edits.make_edit(COMPLETE_TEXT, new)
    if edit is None:
        assert json.loads(new.split("\n", 1)[1])["services"] != DOCUMENT["services"]
        return
    log = [
        records.TextProposed("op-0", 0, "ana", COMPLETE_TEXT),
        records.TextEdited("op-1", 1, "ana", edit),
    ]
    state = acceptance.initial_state()
    for offset, record in enumerate(log):
        value = json.loads(json.dumps(records.to_value(record)))
        state = acceptance.apply(state, offset, records.from_value(value)).state
    assert state.parsed == text.parse(new).unwrap()
    assert edits.render_text(state.snapshot) == new
    installed = acceptance.install_snapshot(acceptance.initial_state(), state.snapshot).state
    assert installed.configuration == state.configuration


@pytest.mark.parametrize(
    ("change", "words"),
    [
        (records.EntryChange("zones", "x", {}), "send the whole text"),
        (records.EntryChange("servers", "s9", None), "not there to be removed"),
        (records.EntryChange("servers", "s9", {"zone": "cayambe"}), "servers.s9.service: missing"),
        (records.EntryChange("servers", "s9", {**SERVER, "zone": "no"}), "unknown zone 'no'"),
        (records.EntryChange("servers", "s9", SERVER), "duplicate address"),
        (records.EntryChange("organisations", "new", {"weight": 0}), "> 0.0"),
        (records.EntryChange("organisations", "a b", {}), "not a name"),
    ],
)
def test_faulty_edits_are_rejected(change: records.EntryChange, words: str) -> None:
    """An edit with a fault is rejected, as the complete text would be, and changes nothing."""
    state = acceptance.apply(
        acceptance.initial_state(), 0, records.TextProposed("op-0", 0, "ana", COMPLETE_TEXT)
    ).state
    edited = records.TextEdited("op-1", 1, "ana", records.TextEdit((change,), ()))
    applied = acceptance.apply(state, 1, edited)
    assert isinstance(applied.effect, record_effects.Rejected)
    assert words in applied.effect.outcome.detail
    assert applied.state.configuration == state.configuration

"""Tests that settings files are checked with every fault at once, with file, path and reason."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
import result

from dragonflycove.settings import checking
from dragonflycove.settings import node as node_settings

if TYPE_CHECKING:
    import pathlib

VALID_SETTINGS = {
    "host": "entry-1",
    "zone": "cayambe",
    "caller_address": "127.0.0.1:7001",
    "peer_address": "127.0.0.1:7101",
    "log_address": "127.0.0.1:7201",
    "host_list_address": "127.0.0.1:7202",
}
"""Settings with all required fields and no others."""


def test_comments_are_allowed() -> None:
    text = "// a node\n" + json.dumps(VALID_SETTINGS)
    checked = checking.check_text("node.json", text, node_settings.NodeSettings)
    assert checked.unwrap().host == "entry-1"


def test_every_fault_is_reported_at_once() -> None:
    faulty = {**VALID_SETTINGS, "zone": 7, "caller_address": "localhost", "speed": 3}
    del faulty["host"]
    checked = checking.check_text("node.json", json.dumps(faulty), node_settings.NodeSettings)
    faults_by_path = {fault.path: fault for fault in checked.unwrap_err()}
    assert set(faults_by_path) == {"$.host", "$.zone", "$.caller_address", "$.speed"}
    assert all(fault.file == "node.json" for fault in faults_by_path.values())
    assert "unknown" in faults_by_path["$.speed"].reason
    assert "missing" in faults_by_path["$.host"].reason


@pytest.mark.parametrize("text", ["", "[1]", "{", '{"host": }'])
def test_text_that_is_not_an_object_is_one_fault(text: str) -> None:
    checked = checking.check_text("node.json", text, node_settings.NodeSettings)
    assert [fault.path for fault in checked.unwrap_err()] == ["$"]


def test_missing_file_is_a_fault(tmp_path: pathlib.Path) -> None:
    checked = checking.read_file(str(tmp_path / "none.json"), node_settings.NodeSettings)
    assert isinstance(checked, result.Err)
    assert "cannot be read" in checked.err_value[0].reason

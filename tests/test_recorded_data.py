"""Decodes messages and records that commit 9c8354d wrote, so that releases keep understanding each other.

A change to a field's position, a field's stored name or an enum's value fails here. The values were
built from the types' annotations, one per type, and encoded by that commit.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

import cbor2
import msgspec
import pytest

from dragonflycove.claims import records as claim_records
from dragonflycove.configuration import records as configuration_records
from dragonflycove.fleet import roster
from dragonflycove.gateway import peer_codec
from dragonflycove.leases import records as lease_records
from dragonflycove.operators import status
from dragonflycove.quarantine import records as quarantine_records

RECORDED: dict[str, Any] = json.loads(
    pathlib.Path(__file__).with_name("recorded_data.json").read_text()
)

PEER_MESSAGES: dict[str, str] = RECORDED["peer_messages"]


@pytest.mark.parametrize("name", PEER_MESSAGES)
def test_a_recorded_peer_message_is_decoded_and_encoded_as_before(name: str) -> None:
    data = bytes.fromhex(PEER_MESSAGES[name])
    message = peer_codec.decode(data).unwrap()
    assert type(message).__name__ == name
    assert peer_codec.encode(message) == data


def test_the_recorded_member_in_the_store_is_decoded_and_encoded_as_before() -> None:
    data = bytes.fromhex(RECORDED["member"])
    member = msgspec.convert(cbor2.loads(data), type=roster.Member)
    assert cbor2.dumps(msgspec.to_builtins(member)) == data


@pytest.mark.parametrize("value", RECORDED["configuration"], ids=lambda value: value["kind"])
def test_a_recorded_configuration_record_is_read_and_written_as_before(value: Any) -> None:
    record = configuration_records.from_value(value)
    assert record is not None
    written = json.loads(json.dumps(configuration_records.to_value(record)))
    assert written == value


@pytest.mark.parametrize("value", RECORDED["claims"], ids=lambda value: value["kind"])
def test_a_recorded_claim_record_is_read_and_written_as_before(value: Any) -> None:
    record = claim_records.decode(value)
    assert record is not None
    assert claim_records.encode(record) == value


@pytest.mark.parametrize("value", RECORDED["leases"], ids=lambda value: value["step"])
def test_a_recorded_lease_record_is_read_and_written_as_before(value: Any) -> None:
    record = lease_records.decode(value)
    assert record is not None
    assert lease_records.encode(record) == value


@pytest.mark.parametrize("value", RECORDED["quarantine"], ids=lambda value: value["kind"])
def test_a_recorded_quarantine_record_is_read_and_written_as_before(value: Any) -> None:
    record = quarantine_records.from_wire(value)
    assert record is not None
    written = json.loads(json.dumps(quarantine_records.to_wire(record)))
    assert written == value


def test_a_recorded_node_status_is_read_and_written_as_before() -> None:
    (value,) = RECORDED["status"]
    read = status.from_value(value)
    assert read is not None
    written = json.loads(json.dumps(status.to_value(read)))
    assert written == value

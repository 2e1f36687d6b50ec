"""Decodes messages and records that commit 9c8354d encoded, so that releases stay compatible.

A change to a field's position, a field's stored name or an enum's value fails here. The recorded
values, one per type, were generated from the types' annotations.
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

RECORDED_DATA: dict[str, Any] = json.loads(
    pathlib.Path(__file__).with_name("recorded_data.json").read_text()
)

HEX_BY_PEER_MESSAGE: dict[str, str] = RECORDED_DATA["peer_messages"]


@pytest.mark.parametrize("name", HEX_BY_PEER_MESSAGE)
def test_a_recorded_peer_message_decodes_and_encodes_to_the_same_bytes(name: str) -> None:
    data = bytes.fromhex(HEX_BY_PEER_MESSAGE[name])
    message = peer_codec.decode(data).unwrap()
    assert type(message).__name__ == name
    assert peer_codec.encode(message) == data


def test_the_recorded_member_of_the_store_decodes_and_encodes_to_the_same_bytes() -> None:
    data = bytes.fromhex(RECORDED_DATA["member"])
    member = msgspec.convert(cbor2.loads(data), type=roster.Member)
    assert cbor2.dumps(msgspec.to_builtins(member)) == data


@pytest.mark.parametrize("value", RECORDED_DATA["configuration"], ids=lambda value: value["kind"])
def test_a_recorded_configuration_record_decodes_and_encodes_to_the_same_value(value: Any) -> None:
    record = configuration_records.from_value(value)
    assert record is not None
    encoded = json.loads(json.dumps(configuration_records.to_value(record)))
    assert encoded == value


@pytest.mark.parametrize("value", RECORDED_DATA["claims"], ids=lambda value: value["kind"])
def test_a_recorded_claim_record_decodes_and_encodes_to_the_same_value(value: Any) -> None:
    record = claim_records.decode(value)
    assert record is not None
    assert claim_records.encode(record) == value


@pytest.mark.parametrize("value", RECORDED_DATA["leases"], ids=lambda value: value["step"])
def test_a_recorded_lease_record_decodes_and_encodes_to_the_same_value(value: Any) -> None:
    record = lease_records.decode(value)
    assert record is not None
    assert lease_records.encode(record) == value


@pytest.mark.parametrize("value", RECORDED_DATA["quarantine"], ids=lambda value: value["kind"])
def test_a_recorded_quarantine_record_decodes_and_encodes_to_the_same_value(value: Any) -> None:
    record = quarantine_records.from_wire(value)
    assert record is not None
    encoded = json.loads(json.dumps(quarantine_records.to_wire(record)))
    assert encoded == value


def test_a_recorded_node_status_decodes_and_encodes_to_the_same_value() -> None:
    (value,) = RECORDED_DATA["status"]
    node_status = status.from_value(value)
    assert node_status is not None
    encoded = json.loads(json.dumps(status.to_value(node_status)))
    assert encoded == value

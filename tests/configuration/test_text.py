"""Tests of parsing and checking the configuration text."""

from __future__ import annotations

import json
from typing import Any

import pytest

from dragonflycove.configuration import schema, text


def make_document() -> dict[str, Any]:
    """Return a document without faults."""
    return {
        "services": {
            "ask": {"kind": "model", "models": ["m1", "m2"], "depends_on": ["stock"]},
            "stock": {
                "kind": "plain",
                "calls": [{"method": "GET", "path": "/stock/*", "idempotent": True}],
            },
        },
        "zones": ["cayambe", "riobamba"],
        "servers": {
            "engine-1": {
                "service": "ask",
                "zone": "cayambe",
                "address": "127.0.0.1:9001",
                "memory_tokens": 1000,
                "prefill_tokens_per_second": 50,
            },
            "stock-1": {"service": "stock", "zone": "riobamba", "address": "127.0.0.1:9002"},
        },
        "organisations": {"herders": {"weight": 2}, "shop": {}},
    }


def test_omitted_fields_get_their_defaults() -> None:
    """Omitted fields get their defaults; a server's models default to those of its service."""
    parsed = text.parse("// comment\n" + json.dumps(make_document())).unwrap()
    assert parsed.servers_by_id["engine-1"] == schema.Server(
        "engine-1",
        "ask",
        "cayambe",
        "127.0.0.1:9001",
        ("m1", "m2"),
        1000,
        50.0,
        8,
        1,
        8,
        False,
        False,
    )
    assert parsed.organisations_by_name["shop"] == schema.Organisation("shop", 1.0, 0.0)
    assert parsed.services_by_name["stock"].calls == (schema.CallRule("GET", "/stock/*", True),)


@pytest.mark.parametrize(
    ("path", "value", "fault_path", "words"),
    [
        ("bogus", 1, "bogus", "unknown key"),
        ("zones", "cayambe", "zones", "array"),
        ("zones", ["cayambe", "riobamba", "cayambe"], "zones", "duplicate zone 'cayambe'"),
        ("servers", [], "servers", "not an object"),
        ("services.stock.kind", "odd", "services.stock.kind", "odd"),
        ("services.stock.depends_on", ["ask"], "services.ask.depends_on", "cycle ask -> stock"),
        ("services.stock.depends_on", ["no"], "services.stock.depends_on", "unknown service 'no'"),
        ("services.ask.models", [], "services.ask.models", "at least one model"),
        ("services.stock.models", ["m"], "services.stock.models", "has no models"),
        ("servers.engine-1.colour", 1, "servers.engine-1.colour", "unknown key"),
        ("servers.engine-1.service", "no", "servers.engine-1.service", "unknown service 'no'"),
        ("servers.engine-1.zone", "no", "servers.engine-1.zone", "unknown zone 'no'"),
        ("servers.engine-1.address", "host:1", "servers.engine-1.address", "not an IP address"),
        ("servers.engine-1.address", "127.0.0.1:9002", "servers.stock-1.address", "duplicate"),
        ("servers.engine-1.cold_concurrency", 9, "servers.engine-1.cold_concurrency", "above"),
        ("servers.engine-1.memory_tokens", 0, "servers.engine-1.memory_tokens", "missing"),
        ("servers.engine-1.models", ["m3"], "servers.engine-1.models", "'m3' is not of"),
        ("servers.engine-1.concurrency", "x", "servers.engine-1.concurrency", "Expected `int`"),
        ("servers.stock-1", 3, "servers.stock-1", "Expected `object`"),
        ("organisations.shop.weight", 0, "organisations.shop.weight", "> 0.0"),
        ("organisations.a b", {}, "organisations.a b", "not a name"),
    ],
)
def test_fault_is_reported_with_path_and_reason(
    path: str, value: object, fault_path: str, words: str
) -> None:
    """Each fault is reported with its path and reason, and causes no further faults."""
    document = make_document()
    *parents, last = path.split(".")
    parent_object = document
    for parent in parents:
        parent_object = parent_object[parent]
    parent_object[last] = value
    found = [fault for fault in text.parse(json.dumps(document)).unwrap_err()]
    assert (fault_path, True) in [(fault.path, words in fault.reason) for fault in found]
    if path != "servers":
        assert len(found) == 1


def test_all_faults_are_reported_at_once() -> None:
    """A faulty field does not hide other faults in the same or other entries."""
    document = make_document()
    document["servers"]["engine-1"].update(concurrency="x", zone="no", extra=1)
    document["organisations"]["shop"]["weight"] = -1
    paths = {fault.path for fault in text.parse(json.dumps(document)).unwrap_err()}
    assert paths == {
        "servers.engine-1.concurrency",
        "servers.engine-1.zone",
        "servers.engine-1.extra",
        "organisations.shop.weight",
    }


@pytest.mark.parametrize(
    ("malformed_text", "words"),
    [
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"zones": [], "zones": []}', "duplicate key"),
        ("[" * 100_000, "nested too deep"),
    ],
)
def test_undecodable_text_is_rejected(malformed_text: str, words: str) -> None:
    """A text that is not a JSON object, has duplicate keys or is nested too deep is rejected."""
    assert words in str(text.parse(malformed_text).unwrap_err()[0])

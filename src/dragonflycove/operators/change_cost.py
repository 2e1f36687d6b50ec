"""What one change of the configuration costs a node, at any count of organisations and servers."""

from __future__ import annotations

import json
import statistics
import time
from typing import Any, NamedTuple

import msgspec

from dragonflycove.configuration import acceptance, edits, records

ROUNDS = 9
"""Times that each change is applied; the median counts."""


class ChangeCost(NamedTuple):
    """Cost of one change for one node."""

    organisations: int
    """Count of organisations."""

    servers: int
    """Count of backend servers."""

    whole_bytes: int
    """Size of a record that carries the whole text, bytes."""

    edit_bytes: int
    """Size of a record that carries an edit of one server and one organisation, bytes."""

    whole_seconds: float
    """CPU time of applying the whole text, seconds."""

    edit_seconds: float
    """CPU time of applying the edit, seconds."""

    zone_seconds: float
    """CPU time of taking a zone out, seconds."""


def measure_change(organisations: int, servers: int) -> ChangeCost:
    """Apply a whole text, an edit and a zone's change, and take the CPU time of each.

    Args:
        organisations: Count of organisations.
        servers: Count of backend servers.

    Returns:
        The cost.
    """
    old = _make_document(organisations, servers)
    new = _make_document(organisations, servers)
    new["servers"]["server-0"]["leaving"] = True
    new["organisations"]["organisation-0"]["weight"] = 5.0
    old_text, new_text = json.dumps(old, indent=1), json.dumps(new, indent=1)
    whole = records.TextProposed("op-0", 0, "author", old_text)
    edit = edits.make_edit(old_text, new_text)
    assert edit is not None
    edited = records.TextEdited("op-1", 1, "author", edit)
    zone = records.ZoneChanged("op-2", 1, "author", "zone-0", True)
    state = acceptance.apply(acceptance.initial_state(), 0, whole).state
    return ChangeCost(
        organisations,
        servers,
        len(msgspec.json.encode(records.to_value(whole))),
        len(msgspec.json.encode(records.to_value(edited))),
        _time(acceptance.initial_state(), 0, whole),
        _time(state, 1, edited),
        _time(state, 1, zone),
    )


def _time(state: acceptance.AcceptanceState, offset: int, record: records.Record) -> float:
    value = records.to_value(record)
    seconds = []
    for _ in range(ROUNDS):
        began = time.process_time()
        acceptance.apply(state, offset, records.from_value(value))
        seconds.append(time.process_time() - began)
    return statistics.median(seconds)


def _make_document(organisations: int, servers: int) -> dict[str, Any]:
    return {
        "services": {"answers": {"kind": "model", "models": ["model"]}},
        "zones": [f"zone-{index}" for index in range(5)],
        "servers": {
            f"server-{index}": {
                "service": "answers",
                "zone": f"zone-{index % 5}",
                "address": f"10.0.{index // 250}.{index % 250}:9000",
                "memory_tokens": 400_000,
                "prefill_tokens_per_second": 20_000,
            }
            for index in range(servers)
        },
        "organisations": {
            f"organisation-{index}": {"weight": 1.0, "tokens_per_second": 1000}
            for index in range(organisations)
        },
    }

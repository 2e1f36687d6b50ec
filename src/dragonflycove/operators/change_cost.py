"""Measures what a configuration change costs a node, by number of organisations and servers."""

from __future__ import annotations

import json
import statistics
import time
from typing import Any, NamedTuple

import msgspec

from dragonflycove.configuration import acceptance, edits, records

REPETITIONS = 9
"""Number of times that each change is applied; the result is the median."""


class ChangeCost(NamedTuple):
    """Record sizes and CPU times of configuration changes at one node."""

    organisations: int
    """Number of organisations."""

    servers: int
    """Number of backend servers."""

    whole_bytes: int
    """Size of a record with the complete text, bytes."""

    edit_bytes: int
    """Size of a record with an edit of one server and one organisation, bytes."""

    whole_seconds: float
    """CPU time to decode and apply the complete text, seconds."""

    edit_seconds: float
    """CPU time to decode and apply the edit, seconds."""

    zone_seconds: float
    """CPU time to decode and apply a record that takes a zone out of service, seconds."""


def measure_change(organisations: int, servers: int) -> ChangeCost:
    """Measure the cost of a complete text, an edit and a change of a zone.

    Args:
        organisations: Number of organisations.
        servers: Number of backend servers.

    Returns:
        Record sizes and CPU times.
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
        _measure_cpu_seconds(acceptance.initial_state(), 0, whole),
        _measure_cpu_seconds(state, 1, edited),
        _measure_cpu_seconds(state, 1, zone),
    )


def _measure_cpu_seconds(
    state: acceptance.AcceptanceState, offset: int, record: records.Record
) -> float:
    value = records.to_value(record)
    seconds = []
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        acceptance.apply(state, offset, records.from_value(value))
        seconds.append(time.process_time() - started_at)
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

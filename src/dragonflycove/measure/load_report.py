"""Report of a load: times to first token by prompt length, outcomes, refusals and faults."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import numpy as np

from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.measure import load_caller


def build_report(records: Sequence[load_caller.CallRecord]) -> dict[str, Any]:
    """Build the report of a load.

    Args:
        records: Outcomes of all requests.

    Returns:
        An object that can be written as JSON.
    """
    return {
        "requests": dict(collections.Counter(record.kind for record in records)),
        "outcomes": _count_outcomes(records),
        "first_token_seconds": _first_tokens(records),
        "refusals_seen": dict(
            collections.Counter(reason for record in records for reason in record.refusals)
        ),
        "resumes": sum(record.resumes for record in records),
        "late": sum(record.late for record in records),
        "faults": [fault for record in records for fault in record.faults],
        "records": [record._asdict() for record in records],
    }


def _count_outcomes(records: Sequence[load_caller.CallRecord]) -> dict[str, dict[str, int]]:
    outcomes_by_kind: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for record in records:
        outcomes_by_kind[record.kind][record.outcome] += 1
    return {kind: dict(counts) for kind, counts in outcomes_by_kind.items()}


def _first_tokens(records: Sequence[load_caller.CallRecord]) -> dict[str, dict[str, float]]:
    seconds_by_class: dict[str, list[float]] = collections.defaultdict(list)
    for record in records:
        if record.first_token_seconds is not None:
            name = requests.classify_length(record.tokens).value
            seconds_by_class[name].append(record.first_token_seconds)
    return {
        name: {
            "count": len(seconds),
            "p50": float(np.percentile(seconds, 50)),
            "p95": float(np.percentile(seconds, 95)),
            "p99": float(np.percentile(seconds, 99)),
        }
        for name, seconds in seconds_by_class.items()
    }


def format_report(report: dict[str, Any]) -> str:
    """Format a report for the terminal.

    Args:
        report: Result of `build_report`.

    Returns:
        The lines, without the single records.
    """
    lines = ["time to first token by length (seconds):"]
    for name in ("short", "medium", "long"):
        times = report["first_token_seconds"].get(name)
        if times:
            lines.append(
                f"  {name:7} n={times['count']:<4} p50={times['p50']:.3f} "
                f"p95={times['p95']:.3f} p99={times['p99']:.3f}"
            )
    for kind, counts in sorted(report["outcomes"].items()):
        pairs = " ".join(f"{outcome}={count}" for outcome, count in sorted(counts.items()))
        lines.append(f"outcomes of {kind}: {pairs}")
    refusals = " ".join(f"{name}={count}" for name, count in report["refusals_seen"].items())
    lines.append(f"refusals and lost connections seen by callers: {refusals or 'none'}")
    lines.append(f"streams resumed: {report['resumes']}  late: {report['late']}")
    return "\n".join(lines)

"""Tests of log line format and of counters by reason."""

from __future__ import annotations

from dragonflycove.telemetry import logs, metrics
from dragonflycove.values import outcomes


def test_an_event_is_one_line_with_quoted_values() -> None:
    line = logs.format_event("zone_out", {"zone": "a b", "detail": 'x"y\nz', "count": 2})
    assert line == 'event=zone_out zone="a b" detail="x\\"y\\nz" count=2'


def test_each_reason_is_counted_separately() -> None:
    node_metrics = metrics.Metrics()
    for reason in outcomes.Reason:
        node_metrics.refused(reason)
        node_metrics.retried(reason, 2)
    assert node_metrics.totals("refusals") == {reason.value: 1.0 for reason in outcomes.Reason}
    assert node_metrics.totals("retries") == {reason.value: 2.0 for reason in outcomes.Reason}
    content, _ = node_metrics.render(["text/plain"])
    assert b'dragonflycove_refusals{reason="overloaded"} 1' in content


def test_every_reason_has_a_status() -> None:
    assert set(outcomes.STATUS_BY_REASON) == set(outcomes.Reason)

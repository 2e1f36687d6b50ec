"""The reference pages of logs and metrics name exactly what the code writes."""

from __future__ import annotations

import pathlib
import re

from dragonflycove.cli import explain_command
from dragonflycove.telemetry import fleet_metrics

ROOT = pathlib.Path(__file__).parent.parent.parent
"""Root folder of the repository."""

_LOG_CALL_PATTERN = re.compile(
    r'logs\.(?:event|warning)\(\s*"([a-z_]+)"(?: if [^,]+? else "([a-z_]+)")?'
)
_NAME_PATTERN = re.compile(r"`([a-z_]+)`")


def _find_event_names() -> set[str]:
    names = {"log_dropped", "exception"}
    source = ROOT / "src/dragonflycove"
    for path in [*(source / "gateway").glob("*.py"), *(source / "platform").glob("*.py")]:
        for match in _LOG_CALL_PATTERN.finditer(path.read_text()):
            names.update(name for name in match.groups() if name)
    return names


def test_the_page_of_logs_names_every_event() -> None:
    rows = (ROOT / "docs/reference/logs.md").read_text().splitlines()
    cells = [row.split("|")[1] for row in rows if row.startswith("| `")]
    assert {name for cell in cells for name in _NAME_PATTERN.findall(cell)} == _find_event_names()


def test_the_page_of_logs_names_every_reason_that_explain_knows() -> None:
    text = (ROOT / "docs/reference/logs.md").read_text()
    reasons = set(explain_command._CAUSE_BY_REASON) | set(explain_command._CAUSE_BY_END)
    assert [reason for reason in reasons if f"`{reason}`" not in text] == []


def test_the_page_of_metrics_names_every_metric() -> None:
    text = (ROOT / "docs/reference/metrics.md").read_text().partition("## On the platform")[2]
    rows = [row.split("|")[1] for row in text.splitlines() if row.startswith("| `")]
    named = {name for cell in rows for name in _NAME_PATTERN.findall(cell)}
    served = {
        *fleet_metrics.GAUGES,
        fleet_metrics.EVENTS_METRIC,
        fleet_metrics.FIRST_EVENT_METRIC,
        fleet_metrics.GAP_METRIC,
        fleet_metrics.TOTAL_METRIC,
    }
    assert named == served


def test_the_metrics_are_rendered() -> None:
    metrics = fleet_metrics.FleetMetrics(lambda: dict.fromkeys(fleet_metrics.GAUGES, 1.0))
    metrics.record_gap(0.2)
    content, media_type = metrics.render()
    assert b'dragonflycove_gap_seconds_bucket{le="0.25"} 1' in content.replace(b".0\n", b"\n")
    assert media_type.startswith("text/plain")

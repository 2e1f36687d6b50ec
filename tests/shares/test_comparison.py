"""Tests of the comparison of shares with permits and leases."""

from __future__ import annotations

import pytest

from dragonflycove.shares import comparison, share_table

LIMITS = tuple(share_table.Limit(f"cold/engine-{number}", 2) for number in range(40))
QUIET = comparison.Scenario(6, LIMITS, 30, dies_at=1000.0)
DEATH = comparison.Scenario(6, LIMITS, 120, dies_at=20.0)


@pytest.mark.parametrize(
    "compare",
    [comparison.compare_shares, comparison.compare_permits, comparison.compare_leases],
)
def test_without_a_fault_nothing_is_unused(
    compare: comparison.Compare,
) -> None:
    assert compare(QUIET) == comparison.Unused(0.0, 0.0, 0)


def test_a_death_costs_shares_its_own_units_and_permits_whole_limits() -> None:
    shares = comparison.compare_shares(DEATH)
    permits = comparison.compare_permits(DEATH)
    assert 0 < shares.fraction < 1 / 3
    # Detection, then the lag and a permit's life, less what is left of the last permits.
    assert 10 + 5 <= permits.longest_seconds <= 10 + 5 + 2


def test_a_log_outage_stops_leases_only() -> None:
    outage = DEATH._replace(log_outage=comparison.Outage(10.0, 120.0))
    assert comparison.compare_shares(outage) == comparison.compare_shares(DEATH)
    assert comparison.compare_permits(outage) == comparison.compare_permits(DEATH)
    assert comparison.compare_leases(outage).longest_seconds == 100

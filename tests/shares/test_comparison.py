"""Tests of the simulations of shares, permits and leases."""

from __future__ import annotations

import pytest

from dragonflycove.shares import comparison, share_table

LIMITS = tuple(share_table.Limit(f"cold/engine-{number}", 2) for number in range(40))
NO_FAILURE = comparison.Scenario(6, LIMITS, 30, dies_at=1000.0)
HOST_FAILURE = comparison.Scenario(6, LIMITS, 120, dies_at=20.0)


@pytest.mark.parametrize(
    "simulate",
    [comparison.simulate_shares, comparison.simulate_permits, comparison.simulate_leases],
)
def test_without_a_failure_no_units_are_unused(
    simulate: comparison.Simulation,
) -> None:
    assert simulate(NO_FAILURE) == comparison.UnusedUnits(0.0, 0.0, 0)


def test_a_host_failure_blocks_its_own_shares_but_whole_limits_with_permits() -> None:
    shares = comparison.simulate_shares(HOST_FAILURE)
    permits = comparison.simulate_permits(HOST_FAILURE)
    assert 0 < shares.fraction < 1 / 3
    # Detection, then the lag and a permit's validity, less what remains of the last permits.
    assert 10 + 5 <= permits.longest_seconds <= 10 + 5 + 2


def test_a_log_outage_affects_only_leases() -> None:
    outage = HOST_FAILURE._replace(log_outage=comparison.Outage(10.0, 120.0))
    assert comparison.simulate_shares(outage) == comparison.simulate_shares(HOST_FAILURE)
    assert comparison.simulate_permits(outage) == comparison.simulate_permits(HOST_FAILURE)
    assert comparison.simulate_leases(outage).longest_seconds == 100

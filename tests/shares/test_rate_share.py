"""Tests of the token bucket of a rate share."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest

from dragonflycove.shares import rate_share


@hypothesis.given(st.integers(1, 20), st.lists(st.floats(0, 0.5), max_size=80))
def test_no_window_of_one_second_has_more_takes_than_the_rate(rate: int, gaps: list[float]) -> None:
    bucket = rate_share.RateShare()
    bucket.set_rate(rate, 0.0)
    now = 0.0
    takes = []
    for gap in gaps:
        now += gap
        if bucket.take(1, now):
            takes.append(now)
    for start in takes:
        assert sum(start <= take < start + 0.999_999 for take in takes) <= rate


def test_at_rate_zero_no_take_succeeds_and_the_wait_is_infinite() -> None:
    bucket = rate_share.RateShare()
    bucket.set_rate(5, 0.0)
    bucket.set_rate(0, 10.0)
    assert not bucket.take(1, 20.0)
    assert bucket.wait_seconds(1, 20.0) == float("inf")


def test_a_take_beyond_the_capacity_delays_the_next_take() -> None:
    bucket = rate_share.RateShare(burst_units=10)
    bucket.set_rate(10, 0.0)
    assert bucket.take(50, 1.0)
    assert bucket.wait_seconds(1, 1.0) == pytest.approx(4.1)

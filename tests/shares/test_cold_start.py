"""Tests of the bound on servers in cold start."""

from __future__ import annotations

import pytest

from dragonflycove.configuration import schema
from dragonflycove.shares import cold_start

SERVER = schema.Server(
    "engine-1", "chat", "zone-1", "127.0.0.1:9", ("m",), 200_000, 8000.0, 10, 2, 8, True, False
)
OTHER = SERVER._replace(server_id="engine-2")


def warm_tracker() -> cold_start.ColdStartTracker:
    """Return a tracker that has seen the server warm at 100 s."""
    tracker = cold_start.ColdStartTracker({"engine-1": SERVER, "engine-2": OTHER})
    tracker.on_report("engine-1", "s1", 8, 6, 0.5, 100.0)
    assert tracker.is_warm("engine-1", 100.0)
    return tracker


def test_a_server_never_heard_of_is_cold_and_an_unknown_one_gets_nothing() -> None:
    tracker = warm_tracker()
    assert tracker.bound("engine-2", 100.0) == 2
    assert tracker.bound("engine-9", 100.0) == 0


@pytest.mark.parametrize(("finished", "bound"), [(0, 2), (1, 2), (4, 2), (7, 2), (8, 10), (99, 10)])
def test_the_bound_grows_as_the_server_warms(finished: int, bound: int) -> None:
    tracker = cold_start.ColdStartTracker({"engine-1": SERVER})
    tracker.on_report("engine-1", "s1", finished, 0, 0.0, 1.0)
    assert tracker.bound("engine-1", 1.0) == bound


def test_a_report_that_is_too_old_counts_for_nothing() -> None:
    tracker = warm_tracker()
    assert tracker.bound("engine-1", 104.0) == 10
    assert tracker.bound("engine-1", 105.0) == 2

"""Tests of the bound on servers in cold start."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dragonflycove.configuration import schema
from dragonflycove.shares import cold_start, share_table

if TYPE_CHECKING:
    from collections.abc import Callable

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


def restart(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    return tracker.on_report("engine-1", "s2", 0, 0, 0.0, 101.0)


def count_falls(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    return tracker.on_report("engine-1", "s1", 3, 0, 0.0, 101.0)


def one_very_slow_token(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    return tracker.on_first_token("engine-1", 0.2, 1.6, 101.0)


def two_slow_tokens(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    assert tracker.on_first_token("engine-1", 0.2, 0.8, 101.0) == []
    return tracker.on_first_token("engine-1", 0.2, 0.8, 101.0)


def cache_lost(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    return tracker.on_cache_lost("engine-1", 101.0)


def crash(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    return tracker.on_crash("engine-1", 101.0)


@pytest.mark.parametrize(
    "sign", [restart, count_falls, one_very_slow_token, two_slow_tokens, cache_lost, crash]
)
def test_a_warm_server_that_turns_cold_is_bounded_at_once_and_peers_are_told(
    sign: Callable[[cold_start.ColdStartTracker], list[cold_start.ServerTurnedCold]],
) -> None:
    tracker = warm_tracker()
    told = sign(tracker)
    assert [effect.server_id for effect in told] == ["engine-1"]
    assert tracker.bound("engine-1", 101.0) <= 5
    tracker.on_report("engine-1", "s1", 9, 0, 2.0, 101.5)
    assert tracker.bound("engine-1", 101.5) <= 5


@pytest.mark.parametrize(("predicted", "measured"), [(0.2, 0.59), (0.2, 0.65), (3.0, 8.0)])
def test_a_first_token_that_is_a_little_late_proves_nothing(
    predicted: float, measured: float
) -> None:
    tracker = warm_tracker()
    for _ in range(5):
        assert tracker.on_first_token("engine-1", predicted, measured, 101.0) == []
    assert tracker.is_warm("engine-1", 101.0)


@pytest.mark.parametrize(("start_id", "bound"), [("s1", 2), ("s0", 10), ("", 2)])
def test_word_of_a_peer_counts_unless_it_means_an_earlier_start(start_id: str, bound: int) -> None:
    tracker = cold_start.ColdStartTracker({"engine-1": SERVER})
    tracker.on_report("engine-1", "s0", 8, 0, 0.0, 90.0)
    tracker.on_report("engine-1", "s1", 8, 0, 0.0, 100.0)
    # A late report of the earlier start changes nothing either.
    assert tracker.on_report("engine-1", "s0", 3, 0, 0.0, 100.5) == []
    tracker.on_peer_cold("engine-1", start_id, 101.0)
    assert tracker.bound("engine-1", 101.0) == bound


def test_a_server_that_turned_cold_warms_again_by_work_finished_since() -> None:
    tracker = warm_tracker()
    tracker.on_cache_lost("engine-1", 101.0)
    for finished, bound in [(12, 2), (16, 2), (19, 2), (20, 10)]:
        tracker.on_report("engine-1", "s1", finished, 0, 0.0, 102.0)
        assert tracker.bound("engine-1", 102.0) == bound
        # In cold start slow first tokens are expected and must not begin it anew.
        if bound < 10:
            assert tracker.on_first_token("engine-1", 0.1, 9.0, 102.0) == []


def test_what_ran_when_it_turned_cold_drains_before_new_work() -> None:
    table = share_table.ShareTable("a", 1000.0, 0.0)
    for moment in (-2000.0, -1000.0, 0.0):
        table.on_host_list(frozenset({"a"}), 0.0, moment)
    tracker = warm_tracker()
    assert tracker.node_limits(table, 100.0) == {"engine-1": 10, "engine-2": 2}
    tracker.on_cache_lost("engine-1", 101.0)
    assert tracker.node_limits(table, 101.0)["engine-1"] == 0
    for running, limit in [(3, 0), (2, 0), (1, 2)]:
        tracker.on_report("engine-1", "s1", 12, running, 0.0, 102.0)
        assert tracker.node_limits(table, 102.0)["engine-1"] == limit


def test_without_a_host_list_only_warm_servers_get_work() -> None:
    table = share_table.ShareTable("a", 5.0, 5.0)
    assert warm_tracker().node_limits(table, 100.0) == {"engine-1": 10, "engine-2": 0}

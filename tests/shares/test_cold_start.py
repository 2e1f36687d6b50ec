"""Tests of the concurrency limits of backend servers in cold start."""

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
    """Return a tracker in which `engine-1` is warm at 100 s and `engine-2` has not reported."""
    tracker = cold_start.ColdStartTracker({"engine-1": SERVER, "engine-2": OTHER})
    tracker.on_report("engine-1", "s1", 8, 6, 0.5, 100.0)
    assert tracker.is_warm("engine-1", 100.0)
    return tracker


def test_a_server_without_report_is_cold_and_an_unknown_server_has_limit_0() -> None:
    tracker = warm_tracker()
    assert tracker.concurrency_limit("engine-2", 100.0) == 2
    assert tracker.concurrency_limit("engine-9", 100.0) == 0


@pytest.mark.parametrize(("finished", "limit"), [(0, 2), (1, 2), (4, 2), (7, 2), (8, 10), (99, 10)])
def test_the_limit_stays_cold_until_enough_requests_finished(finished: int, limit: int) -> None:
    tracker = cold_start.ColdStartTracker({"engine-1": SERVER})
    tracker.on_report("engine-1", "s1", finished, 0, 0.0, 1.0)
    assert tracker.concurrency_limit("engine-1", 1.0) == limit


def test_a_server_whose_report_is_too_old_is_cold() -> None:
    tracker = warm_tracker()
    assert tracker.concurrency_limit("engine-1", 104.0) == 10
    assert tracker.concurrency_limit("engine-1", 105.0) == 2


def restart(tracker: cold_start.ColdStartTracker) -> list[cold_start.ServerTurnedCold]:
    return tracker.on_report("engine-1", "s2", 0, 0, 0.0, 101.0)


def finished_count_decreases(
    tracker: cold_start.ColdStartTracker,
) -> list[cold_start.ServerTurnedCold]:
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
    "turn_cold",
    [restart, finished_count_decreases, one_very_slow_token, two_slow_tokens, cache_lost, crash],
)
def test_a_warm_server_that_turns_cold_is_limited_at_once_and_peers_are_notified(
    turn_cold: Callable[[cold_start.ColdStartTracker], list[cold_start.ServerTurnedCold]],
) -> None:
    tracker = warm_tracker()
    messages = turn_cold(tracker)
    assert [message.server_id for message in messages] == ["engine-1"]
    assert tracker.concurrency_limit("engine-1", 101.0) <= 5
    tracker.on_report("engine-1", "s1", 9, 0, 2.0, 101.5)
    assert tracker.concurrency_limit("engine-1", 101.5) <= 5


@pytest.mark.parametrize(("predicted", "measured"), [(0.2, 0.59), (0.2, 0.65), (3.0, 8.0)])
def test_a_slightly_slow_first_token_does_not_mark_a_server_cold(
    predicted: float, measured: float
) -> None:
    tracker = warm_tracker()
    for _ in range(5):
        assert tracker.on_first_token("engine-1", predicted, measured, 101.0) == []
    assert tracker.is_warm("engine-1", 101.0)


@pytest.mark.parametrize(("start_id", "limit"), [("s1", 2), ("s0", 10), ("", 2)])
def test_a_peers_message_marks_a_server_cold_unless_it_is_about_an_earlier_start(
    start_id: str, limit: int
) -> None:
    tracker = cold_start.ColdStartTracker({"engine-1": SERVER})
    tracker.on_report("engine-1", "s0", 8, 0, 0.0, 90.0)
    tracker.on_report("engine-1", "s1", 8, 0, 0.0, 100.0)
    # A delayed report of the earlier start has no effect either.
    assert tracker.on_report("engine-1", "s0", 3, 0, 0.0, 100.5) == []
    tracker.on_peer_cold("engine-1", start_id, 101.0)
    assert tracker.concurrency_limit("engine-1", 101.0) == limit


def test_only_requests_finished_since_it_turned_cold_make_a_server_warm_again() -> None:
    tracker = warm_tracker()
    tracker.on_cache_lost("engine-1", 101.0)
    for finished, limit in [(12, 2), (16, 2), (19, 2), (20, 10)]:
        tracker.on_report("engine-1", "s1", finished, 0, 0.0, 102.0)
        assert tracker.concurrency_limit("engine-1", 102.0) == limit
        # Slow first tokens are expected in cold start and must not begin another.
        if limit < 10:
            assert tracker.on_first_token("engine-1", 0.1, 9.0, 102.0) == []


def test_a_cold_server_gets_new_work_only_after_earlier_requests_drained() -> None:
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


def test_without_a_host_list_a_cold_server_gets_no_work() -> None:
    table = share_table.ShareTable("a", 5.0, 5.0)
    assert warm_tracker().node_limits(table, 100.0) == {"engine-1": 10, "engine-2": 0}

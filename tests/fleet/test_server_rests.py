"""Servers that want no requests from a node for a time."""

from __future__ import annotations

import pytest

from dragonflycove.fleet import catalog, server_rests, work

SERVER = catalog.Instance("s1", 1)
OTHER = catalog.Instance("s2", 1)


def _key(number: int) -> work.JobKey:
    return work.JobKey("n1", 1, number)


def test_a_server_gets_no_request_until_its_rest_is_over_and_then_one_at_a_time() -> None:
    rests = server_rests.ServerRests()
    assert rests.on_asked(SERVER, 3.0, 10.0)
    assert not rests.begin(SERVER, _key(1), 12.9)
    assert rests.closed([SERVER, OTHER], 12.9) == [SERVER]
    assert rests.begin(SERVER, _key(1), 13.0)
    assert not rests.begin(SERVER, _key(2), 13.1)
    assert rests.closed([SERVER, OTHER], 13.1) == [SERVER]
    rests.on_response(SERVER, 13.2)
    assert rests.begin(SERVER, _key(2), 13.2)
    assert rests.begin(SERVER, _key(3), 13.2)
    assert len(rests) == 0


def test_a_response_during_the_rest_does_not_end_it() -> None:
    rests = server_rests.ServerRests()
    rests.on_asked(SERVER, 3.0, 10.0)
    rests.on_response(SERVER, 11.0)
    assert rests.is_resting(SERVER, 12.9)


def test_a_shorter_rest_after_a_longer_one_changes_nothing() -> None:
    rests = server_rests.ServerRests()
    assert rests.on_asked(SERVER, 3.0, 10.0)
    assert not rests.on_asked(SERVER, 0.5, 10.1)
    assert rests.on_asked(SERVER, 4.0, 10.2)
    assert rests.is_resting(SERVER, 14.1)
    assert rests.seconds_to_rest_end([SERVER], 14.1) == pytest.approx(0.1)


def test_a_trial_that_ends_without_a_response_or_takes_long_lets_another_one_through() -> None:
    rests = server_rests.ServerRests()
    rests.on_asked(SERVER, 1.0, 10.0)
    assert rests.begin(SERVER, _key(1), 11.0)
    rests.end(SERVER, _key(9))
    assert not rests.begin(SERVER, _key(2), 11.1)
    rests.end(SERVER, _key(1))
    assert rests.begin(SERVER, _key(2), 11.2)
    assert rests.begin(SERVER, _key(3), 11.2 + server_rests.TRIAL_TIMEOUT_SECONDS)


def test_a_server_that_turns_trials_away_is_avoided_for_longer_each_time() -> None:
    rests = server_rests.ServerRests()
    now, avoided_for = 10.0, []
    for _ in range(6):
        rests.on_asked(SERVER, 1.0, now)
        end = now
        while rests.avoided([SERVER], end):
            end += 0.25
        avoided_for.append(end - now)
        now += 1.5
    assert avoided_for == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert rests.begin(SERVER, _key(1), now)


@pytest.mark.parametrize("seconds", [0.0, -1.0])
def test_no_time_is_no_rest(seconds: float) -> None:
    rests = server_rests.ServerRests()
    assert not rests.on_asked(SERVER, seconds, 10.0)
    assert rests.begin(SERVER, _key(1), 10.0)


def test_a_new_start_has_no_rest_and_old_ones_are_forgotten() -> None:
    rests = server_rests.ServerRests()
    rests.on_asked(SERVER, 1e6, 10.0)
    assert not rests.is_resting(SERVER._replace(started_at_ms=2), 11.0)
    assert rests.is_resting(SERVER, 9.9 + server_rests.MAX_REST_SECONDS)
    rests.discard_expired(10.0 + server_rests.MAX_REST_SECONDS + server_rests.RETENTION_SECONDS)
    assert len(rests) == 0

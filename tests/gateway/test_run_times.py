"""Times that attempts are expected to take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dragonflycove.fleet import catalog
from dragonflycove.gateway import run_times
from dragonflycove.platform import requests

if TYPE_CHECKING:
    from dragonflycove.fleet import forwarding

LIMIT_SECONDS = 9.0
"""Time that the requests have."""


NOW = 100.0
"""Loop time of each question."""


def _route(kind: catalog.CallKind, *, is_resumable: bool = False) -> catalog.Route:
    return catalog.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        timeout_seconds=LIMIT_SECONDS,
        latency_target_seconds=1.0,
        gap_target_seconds=1.0,
        priority=1,
        weights_by_service=(("s", 1),),
        max_attempts=2,
        is_public=True,
        is_resumable=is_resumable,
    )


CALL = _route(catalog.CallKind.NON_IDEMPOTENT)
LOOKUP = _route(catalog.CallKind.IDEMPOTENT)
STREAM = _route(catalog.CallKind.STREAMING, is_resumable=True)


def _request(output_tokens: int) -> forwarding.CallerRequest:
    headers = [(b"x-token-counts", f"10,{output_tokens}".encode())]
    return requests.decode_request(b"POST", b"/x", headers, b"")


def _times(route: catalog.Route, *seconds: float, tokens: int = 1) -> run_times.RunTimes:
    """Return the times after attempts that were answered within some seconds."""
    times = run_times.RunTimes()
    for one in seconds:
        run = times.start(route, _request(tokens), NOW - one)
        times.end(run, NOW, is_answered=True)
    return times


def _expected(times: run_times.RunTimes, route: catalog.Route, tokens: int = 1) -> float:
    return times.expected_seconds(route, _request(tokens), LIMIT_SECONDS, NOW)


@pytest.mark.parametrize(("route", "seconds"), [(CALL, LIMIT_SECONDS), (LOOKUP, 0.0)])
def test_only_a_request_that_may_be_repeated_is_expected_to_end_without_answers_to_go_by(
    route: catalog.Route, seconds: float
) -> None:
    assert _expected(run_times.RunTimes(), route) == seconds


def test_a_request_that_may_not_be_repeated_goes_by_the_slow_answers() -> None:
    seconds = [1.0] * 19 + [4.0]
    assert _expected(_times(CALL, *seconds), CALL) == pytest.approx(4.0)
    assert _expected(_times(LOOKUP, *seconds), LOOKUP) == pytest.approx(1.0)


def test_a_long_stream_is_expected_to_take_longer_than_short_ones() -> None:
    times = _times(STREAM, 2.0, tokens=100)
    assert _expected(times, STREAM, tokens=200) == pytest.approx(4.0)


def test_no_request_is_expected_to_take_longer_than_the_time_that_it_has() -> None:
    assert _expected(_times(CALL, 20.0), CALL) == LIMIT_SECONDS


@pytest.mark.parametrize(("age", "seconds"), [(0.5, 1.0), (5.0, 5.0)])
def test_attempts_that_go_on_count_once_they_take_longer_than_others(
    age: float, seconds: float
) -> None:
    times = _times(LOOKUP, 1.0, 1.0)
    for _ in range(3):
        times.start(LOOKUP, _request(1), NOW - age)
    assert _expected(times, LOOKUP) == pytest.approx(seconds)


def test_answers_are_forgotten_after_a_while() -> None:
    times = _times(CALL, 1.0)
    later = NOW + run_times.MAX_AGE_SECONDS
    assert times.expected_seconds(CALL, _request(1), LIMIT_SECONDS, later) == LIMIT_SECONDS
    times.discard_expired(later)
    assert times._samples_by_route == {}  # noqa: SLF001

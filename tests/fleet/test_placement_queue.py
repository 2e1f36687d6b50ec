"""The line of waiting requests: order, refusals, and seconds with more requests than places."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

import pytest

from dragonflycove.fleet import placement_queue, placer, server_health, work
from tests.fleet import builders

PATIENCE_SECONDS = 2.0
"""Silence after which callers of short prompts give up."""


def placing(count: int) -> placer.Placer:
    """Return a placer over some engines."""
    return placer.Placer(builders.belief(*builders.engines(count)), "z1")


def granted(deciding: placer.Placer, job: work.Job, now: float = 0.0) -> work.Grant:
    """Place a request that must find room."""
    decision = deciding.place(job, now)
    assert isinstance(decision, work.Grant), decision
    return decision


def full_line() -> tuple[placer.Placer, placement_queue.PlacementQueue]:
    """Return one engine with a request in each slot, and an empty line."""
    deciding = placing(1)
    for n in range(8):
        granted(deciding, builders.job(n))
    return deciding, placement_queue.PlacementQueue(deciding)


def free_slots(deciding: placer.Placer, count: int, now: float) -> None:
    """End the first requests."""
    for n in range(count):
        deciding.on_end(work.JobKey("n1", 1, n), server_health.Outcome.ANSWERED, now)


def test_waiting_requests_are_placed_by_priority_then_arrival() -> None:
    deciding = placing(1)
    line = placement_queue.PlacementQueue(deciding)
    for n in range(8):
        granted(deciding, builders.job(n))
    for n, priority in ((20, 2), (21, 1), (22, 1)):
        assert isinstance(line.offer(builders.job(n, priority=priority), 0.1 + n / 100), work.Wait)
    placed = []
    for n in range(3):
        now = 0.5 + 0.3 * n
        deciding.on_end(work.JobKey("n1", 1, n), server_health.Outcome.ANSWERED, now)
        placed += [one.key.number for one in line.place_queued(now)]
    assert placed == [21, 22, 20]


def test_a_waiting_request_is_refused_when_it_can_no_longer_be_served() -> None:
    deciding = placing(1)
    line = placement_queue.PlacementQueue(deciding)
    for n in range(8):
        granted(deciding, builders.job(n))
    assert isinstance(line.offer(builders.job(9, deadline=1.0), 0.0), work.Wait)
    assert line.place_queued(0.5) == []
    (refused,) = line.place_queued(0.95)
    assert isinstance(refused.decision, work.Refusal)


def test_one_that_can_be_in_time_goes_before_one_that_can_not() -> None:
    deciding, line = full_line()
    assert isinstance(line.offer(builders.job(20), 0.0), work.Wait)
    assert isinstance(line.offer(builders.job(21), 0.5), work.Wait)
    free_slots(deciding, 1, 0.55)
    (placed,) = line.place_queued(0.55)
    assert placed.key.number == 21


def test_of_those_that_can_be_in_time_the_worth_most_goes_first() -> None:
    deciding, line = full_line()
    assert isinstance(line.offer(builders.job(20), 0.0), work.Wait)
    long = builders.job(21, tokens=100_000, goal=3.0, gap=1.0, deadline=15.0, patience=12.0)
    assert isinstance(line.offer(long, 0.05), work.Wait)
    free_slots(deciding, 1, 0.1)
    (placed,) = line.place_queued(0.1)
    assert placed.key.number == 21


def test_a_stream_that_stands_still_goes_before_those_that_have_not_begun() -> None:
    deciding, line = full_line()
    assert isinstance(line.offer(builders.job(20), 0.0), work.Wait)
    assert isinstance(line.offer(builders.job(21, has_started=True), 0.1), work.Wait)
    free_slots(deciding, 1, 1.0)
    (placed,) = line.place_queued(1.0)
    assert placed.key.number == 21


def test_a_quiet_time_before_a_jam_does_not_count_as_a_slow_line() -> None:
    # The line is looked at only while somebody waits, so its pace may be a minute old.
    deciding, line = full_line()
    assert isinstance(line.offer(builders.job(20, patience=PATIENCE_SECONDS), 0.0), work.Wait)
    free_slots(deciding, 1, 0.1)
    (placed,) = line.place_queued(0.1)
    assert isinstance(placed.decision, work.Grant)
    newcomer = builders.job(21, patience=PATIENCE_SECONDS)
    assert isinstance(line.offer(newcomer, 60.0), work.Wait)
    assert line.place_queued(60.05) == []


def test_nobody_waits_until_the_caller_gives_up() -> None:
    _, line = full_line()
    job = builders.job(20, patience=PATIENCE_SECONDS)
    assert isinstance(line.offer(job, 0.0), work.Wait)
    refused_at = next(
        now
        for now in (step / 50 for step in range(1, 101))
        for placed in line.place_queued(now)
        if isinstance(placed.decision, work.Refusal) and placed.decision.retry_after_seconds > 0
    )
    assert refused_at < PATIENCE_SECONDS


def test_a_long_line_at_full_engines_asks_once_for_all() -> None:
    # Hundreds may wait while a zone is out; each look at the line must stay cheap.
    deciding, line = full_line()
    for n in range(50):
        assert isinstance(line.offer(builders.job(100 + n), 0.0), work.Wait)
    asked = []
    place = deciding.place

    def counting(job: work.Job, now: float) -> work.Grant | work.Wait | work.Refusal:
        asked.append(job.key)
        return place(job, now)

    deciding.place = counting  # type: ignore[method-assign]
    line.place_queued(0.01)
    assert len(asked) == 1


class _Callers(NamedTuple):
    """What the callers of one run got."""

    asked: int
    borne: float
    in_time: int
    late: int
    refused: int
    longest_wait: float


def _overload(load: float, seed: int, *, seconds: float = 10.0) -> _Callers:
    """Play short prompts at a multiple of what six engines have places for."""
    rng, writing_rng = random.Random(seed), random.Random(seed + 100)
    deciding = placing(6)
    line = placement_queue.PlacementQueue(deciding)
    writing_seconds = 1.6
    rate = load * 6 * 8 / (writing_seconds + 0.12)
    arrived_by_key: dict[work.JobKey, float] = {}
    ends: list[tuple[float, work.JobKey]] = []
    in_time = late = refused = 0
    longest = 0.0
    now, arrives_at, number = 0.0, rng.expovariate(rate), 0

    def settle(key: work.JobKey, decision: work.Grant | work.Refusal) -> None:
        nonlocal in_time, late, refused, longest
        waited = now - arrived_by_key[key]
        longest = max(longest, waited)
        if isinstance(decision, work.Refusal):
            # Told to come back within seconds, while the callers still want an answer.
            assert 1.0 <= decision.retry_after_seconds <= 5.0
            refused += 1
            return
        on_time = waited + decision.first_event_seconds <= 0.3
        in_time += on_time
        late += not on_time
        first_at = now + decision.first_event_seconds
        heapq.heappush(ends, (first_at + writing_rng.uniform(0.5, 1.5) * writing_seconds, key))

    while now < seconds + 3.0:
        now += 0.01
        while ends and ends[0][0] <= now:
            deciding.on_end(heapq.heappop(ends)[1], server_health.Outcome.ANSWERED, now)
        while arrives_at <= min(now, seconds):
            tokens = int(rng.lognormvariate(8.1, 0.7)) + 40
            job = builders.job(number, tokens=tokens, patience=PATIENCE_SECONDS)
            arrived_by_key[job.key] = now
            number += 1
            arrives_at += rng.expovariate(rate)
            decision = line.offer(job, now)
            if not isinstance(decision, work.Wait):
                settle(job.key, decision)
        for placed in line.place_queued(now):
            settle(placed.key, placed.decision)
    assert in_time + late + refused == number
    return _Callers(number, seconds * rate / load, in_time, late, refused, longest)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("load", [1.2, 1.6, 2.5])
def test_more_shorts_than_places_leave_most_in_time(load: float, seed: int) -> None:
    # An evacuated zone beside shorts at 2.5 times: up to two and a half times as many as places.
    callers = _overload(load, seed)
    # Most of what the places bear are served in time, the others are late or come back.
    assert callers.in_time >= 0.85 * callers.borne
    assert callers.longest_wait < PATIENCE_SECONDS


@pytest.mark.parametrize("seed", range(3))
def test_below_full_load_nobody_is_refused(seed: int) -> None:
    callers = _overload(0.75, seed)
    assert callers.refused == 0
    assert callers.in_time >= 0.95 * callers.asked

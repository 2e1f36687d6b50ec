"""Stand-in model engine in virtual time: order of prefill, memory, cold start, crashes, reports."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import pytest

from dragonflycove.standins import (
    clock,
    engine_model,
    engine_parameters,
    engine_state,
    engine_streams,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

BLOCK_TOKENS = 1_024
"""Size of a prefix cache block, tokens."""


@contextlib.asynccontextmanager
async def run_engine(**parameters: Any) -> AsyncIterator[engine_model.Engine]:
    """Run a warm engine with a prefill rate of 10,000 tokens per second."""
    defaults: dict[str, Any] = {
        "models": ["herder"],
        "memory_tokens": 100_000,
        "prefill_tokens_per_second": 10_000.0,
        "step_seconds": 0.1,
        "starts_cold": False,
    }
    checked = engine_parameters.EngineParameters(**(defaults | parameters))
    engine = engine_model.Engine(checked, clock.loop_clock())
    task = asyncio.create_task(engine.run())
    try:
        yield engine
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def prompt(
    attempt: str, tokens: int = 1_000, priority: int = 0, **fields: Any
) -> engine_streams.Submission:
    """Return a prompt that shares no blocks with prompts of other attempts."""
    blocks = range(-(-tokens // BLOCK_TOKENS))
    hashes = tuple(hash((attempt, block)) for block in blocks)
    submission = engine_streams.Submission(attempt, "n1/i1", "herder", tokens, hashes, 10, priority)
    return submission._replace(**fields)


def accept(
    engine: engine_model.Engine, submission: engine_streams.Submission
) -> engine_streams.Stream:
    """Submit a prompt that the engine must accept."""
    stream = engine.submit(submission)
    assert isinstance(stream, engine_streams.Stream)
    return stream


async def first_token_seconds(stream: engine_streams.Stream) -> float:
    """Wait for the first token and return the time it took."""
    now = asyncio.get_running_loop().time
    start = now()
    async for event in stream.follow(0, 3_600):
        assert isinstance(event, engine_streams.Token)
        break
    return now() - start


async def test_prefill_is_ordered_by_priority_and_then_by_arrival() -> None:
    async with run_engine() as engine:
        long = accept(engine, prompt("long", 50_000, priority=1))
        await asyncio.sleep(1)
        short = accept(engine, prompt("short", 1_000, priority=0))
        assert await first_token_seconds(short) == pytest.approx(0.25, abs=0.15)
        behind = accept(engine, prompt("behind", 1_000, priority=1))
        assert await first_token_seconds(behind) == pytest.approx(4.0, abs=0.3)
        assert long.emitted > 0


async def test_a_cached_prefix_needs_no_prefill() -> None:
    async with run_engine() as engine:
        first = accept(engine, prompt("a", 20_000))
        await first_token_seconds(first)
        again = accept(engine, prompt("b", 20_000, prefix_hashes=first.submission.prefix_hashes))
        assert await first_token_seconds(again) <= 0.3
        assert again.prefilled <= BLOCK_TOKENS


@pytest.mark.parametrize(("in_flight", "crashes"), [(2, 0), (3, 1)])
async def test_a_cold_engine_crashes_only_above_its_stream_limit(
    in_flight: int, crashes: int
) -> None:
    async with run_engine(starts_cold=True, cold_concurrency=2) as engine:
        streams = [accept(engine, prompt(f"a{number}")) for number in range(in_flight)]
        activity = engine.activity_to_json()
        assert len(activity["crashes"]) == crashes
        assert [stream.lost for stream in streams] == [bool(crashes)] * in_flight
        assert engine.is_down == bool(crashes)


async def test_an_engine_turns_warm_after_finished_streams_and_cold_without_a_report() -> None:
    async with run_engine(starts_cold=True, warm_after_requests=1, load_lag_seconds=0) as engine:
        accept(engine, prompt("a"))
        await asyncio.sleep(5)
        assert not engine.cold_start.is_cold
        before = engine.load()[1]
        engine.turn_cold()
        assert engine.cold_start.is_cold
        assert engine.load()[1] == before


async def test_a_crash_loses_all_streams_and_memory_and_changes_the_start_id() -> None:
    async with run_engine(restart_seconds=3, load_lag_seconds=0) as engine:
        start_id = engine.start_id
        other_stream = accept(engine, prompt("bystander", priority=1))
        accept(engine, prompt("killer", crashes=True))
        await asyncio.sleep(0.5)
        assert other_stream.lost
        assert engine.is_down
        activity = engine.activity_to_json()
        assert activity["memory_held_tokens"] == 0
        assert sorted(activity["crashes"][0]["attempts"]) == ["bystander", "killer"]
        await asyncio.sleep(3)
        assert not engine.is_down
        assert engine.start_id != start_id
        assert engine.cold_start.is_cold


async def test_a_stream_waits_until_its_memory_is_free() -> None:
    async with run_engine(memory_tokens=2_000) as engine:
        first = accept(engine, prompt("a", 1_900))
        second = accept(engine, prompt("b", 1_900))
        await asyncio.sleep(0.15)
        assert (first.state, second.state) == (
            engine_streams.StreamState.PREFILL,
            engine_streams.StreamState.WAITING,
        )
        engine.cancel("a")
        await asyncio.sleep(0.15)
        assert second.state is engine_streams.StreamState.PREFILL


async def test_an_undelivered_stream_is_dropped_after_keep_seconds() -> None:
    async with run_engine(keep_seconds=15) as engine:
        stream = accept(engine, prompt("a"))
        await asyncio.sleep(5)
        assert stream.is_finished
        assert engine.activity_to_json()["memory_held_tokens"] == 1_010
        assert engine.find("a", None) is stream
        await asyncio.sleep(15)
        assert engine.find("a", None) is None
        assert engine.activity_to_json()["memory_held_tokens"] == 0


async def test_a_reservation_expires_unless_a_stream_uses_it() -> None:
    async with run_engine() as engine:
        assert engine.reserve("used", "n1/i1", 40_000, 1.0) == 200
        assert engine.reserve("idle", "n1/i1", 40_000, 1.0) == 200
        stream = accept(engine, prompt("a", 250_000, group=("used",)))
        await asyncio.sleep(2)
        assert engine.activity_to_json()["reservations"] == ["used"]
        engine.unreserve("used")
        assert stream.lost
        assert engine.activity_to_json()["memory_held_tokens"] == 0
        refused = engine.submit(prompt("b", 250_000, group=("used",)))
        assert isinstance(refused, engine_streams.Rejection)
        assert (refused.status, refused.ran) == (409, "not_run")


async def test_an_export_keeps_its_memory_until_it_expires() -> None:
    async with run_engine(export_keep_seconds=60) as engine:
        stream = accept(engine, prompt("a", 50_000))
        await asyncio.sleep(1)
        assert engine.export("a") is not None
        assert stream.lost
        assert engine.activity_to_json()["memory_held_tokens"] == 50_010
        await asyncio.sleep(60)
        assert engine.activity_to_json()["memory_held_tokens"] == 0


async def test_an_import_beyond_free_memory_is_rejected_and_creates_no_stream() -> None:
    async with run_engine() as source, run_engine(memory_tokens=60_000) as target:
        accept(source, prompt("a", 50_000))
        await asyncio.sleep(1)
        item = source.export("a")
        assert item is not None
        accept(target, prompt("b", 20_000))
        await asyncio.sleep(0.5)
        refused = target.import_stream(item, "a", "n1/i1")
        assert isinstance(refused, engine_streams.Rejection)
        assert (refused.status, refused.ran) == (429, "not_run")
        assert target.find("a", None) is None


async def test_the_load_is_reported_with_its_lag() -> None:
    async with run_engine(load_lag_seconds=2) as engine:
        accept(engine, prompt("a", 100))
        await asyncio.sleep(1.95)
        measured_at, load = engine.load()
        assert measured_at == pytest.approx(-0.05)
        assert (load.waiting, load.running) == (0, 0)
        await asyncio.sleep(0.1)
        assert engine.load()[1].waiting == 1


async def test_cache_events_are_delayed_and_some_are_lost() -> None:
    async with run_engine(cache_event_lag_seconds=5, cache_event_loss=0.5, seed=3) as engine:
        for number in range(20):
            accept(engine, prompt(f"a{number}", 100))
        await asyncio.sleep(3)
        assert engine.cache.events_from(0).events == ()
        await asyncio.sleep(5)
        page = engine.cache.events_from(0)
        seqs = [event.seq for event in page.events]
        assert seqs == sorted(set(seqs))
        assert 0 < len(seqs) < 20
        assert page.next_seq == seqs[-1] + 1


async def test_a_state_change_waits_for_the_weight_store_and_an_older_one_is_rejected() -> None:
    responses: list[engine_state.FetchedWeights | engine_state.FetchFailed] = [
        engine_state.FetchFailed(4.0)
    ]
    fetched: list[str] = []

    async def fetch(name: str) -> engine_state.FetchedWeights | engine_state.FetchFailed:
        fetched.append(name)
        return responses.pop() if responses else engine_state.FetchedWeights(2)

    async with run_engine(load_seconds_per_unit=0.5) as engine:
        reconciler = engine_state.StateReconciler(engine, fetch)
        task = asyncio.create_task(reconciler.run())
        stream = accept(engine, prompt("a"))
        reconciler.put(engine_state.EngineState(3, ("ledger",), (), {"ledger": "2"}, "serve"))
        assert stream.lost
        await asyncio.sleep(4.9)
        assert reconciler.current.models == ()
        await asyncio.sleep(0.2)
        assert reconciler.current == engine_state.EngineState(
            3, ("ledger",), (), {"ledger": "2"}, "serve"
        )
        assert engine.models == {"ledger"}
        assert fetched == ["ledger@2", "ledger@2"]
        assert not reconciler.put(engine_state.EngineState(2, (), (), {}, ""))
        assert engine.models == {"ledger"}
        task.cancel()

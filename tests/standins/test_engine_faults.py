"""Fault table of the model engine: what the client says, and what the engine has done."""

from __future__ import annotations

from typing import Any

import engine_bench
import pytest

from dragonflycove.backends import engine_stream

KIND = engine_stream.StreamFailureKind
"""How a stream broke off."""

FAULTS = [
    ({"outage": True}, engine_stream.Refused(503, True, 1.0), 0),
    ({"refuse": 1}, engine_stream.Refused(503, True, 1.0), 0),
    ({"cut_before": 1}, KIND.CRASHED, 0),
    ({"cut_after": 1}, KIND.CRASHED, 1),
    ({"silent_before": 1}, KIND.TIMEOUT, 0),
    ({"silent_after": 1}, KIND.TIMEOUT, 1),
]
"""Switches, the only event or the kind of break, and how many attempts the engine took."""


async def run(
    bench: engine_bench.Bench,
    attempt: str,
    prompt: str = engine_bench.PROMPT,
    timeouts: engine_stream.StreamTimeouts = engine_bench.TIMEOUTS,
) -> list[engine_stream.StreamEvent]:
    """Run a prompt."""
    stream = bench.client.generate(bench.address, bench.order(attempt, prompt), timeouts)
    return [event async for event in stream]


@pytest.mark.asyncio
@pytest.mark.parametrize(("switches", "expected", "taken"), FAULTS)
async def test_fault_table(switches: dict[str, Any], expected: object, taken: int) -> None:
    async with engine_bench.engine() as bench:
        await bench.set_faults(match="POST /v1/completions", **switches)
        quick = expected is KIND.TIMEOUT
        timeouts = engine_bench.QUICK_TIMEOUTS if quick else engine_bench.TIMEOUTS
        events = await run(bench, "a1", timeouts=timeouts)
        assert len(events) == 1
        if isinstance(events[0], engine_stream.StreamFailed):
            assert (events[0].kind, events[0].sent) == (expected, True)
        else:
            assert events[0] == expected
        assert len((await bench.books())["attempts"]) == taken


@pytest.mark.asyncio
async def test_an_engine_that_is_gone_is_unreachable_and_nothing_was_sent() -> None:
    async with engine_bench.engine() as bench:
        async with engine_bench.engine() as gone:
            bench.address = gone.address
        events = await run(bench, "a1")
    assert len(events) == 1
    assert isinstance(events[0], engine_stream.StreamFailed)
    assert (events[0].kind, events[0].sent) == (KIND.UNREACHABLE, False)


@pytest.mark.asyncio
async def test_a_crashed_engine_refuses_connections_until_its_restart() -> None:
    async with engine_bench.engine(restart_seconds=0.5) as bench:
        before = (await bench.client.load(bench.address, 5.0)).unwrap()
        await run(bench, "killer", "please CRASH-ENGINE now")
        events = await run(bench, "a1")
        assert isinstance(events[0], engine_stream.StreamFailed)
        assert (events[0].kind, events[0].sent) == (KIND.UNREACHABLE, False)
        assert list((await bench.books())["attempts"]) == ["killer"]
        after = (await bench.client.load(bench.address, 5.0)).unwrap()
        assert after.start_id != before.start_id
        assert (await run(bench, "a2"))[-1] == engine_stream.Ended()


@pytest.mark.asyncio
async def test_a_marked_prompt_crashes_the_engine_and_its_bystanders() -> None:
    async with engine_bench.engine() as bench:
        order = bench.order("bystander", tokens=100_000)
        stream = bench.client.generate(bench.address, order, engine_bench.TIMEOUTS)
        events = [await anext(stream)]
        killer = await run(bench, "killer", "please CRASH-ENGINE now")
        events += [event async for event in stream]
        for broken in (killer[-1], events[-1]):
            assert isinstance(broken, engine_stream.StreamFailed)
            assert (broken.kind, broken.sent) == (KIND.CRASHED, True)
        books = await bench.books()
        assert sorted(books["crashes"][0]["attempts"]) == ["bystander", "killer"]
        assert books["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_a_cold_engine_over_its_bound_falls_over() -> None:
    async with engine_bench.engine(starts_cold=True, cold_concurrency=1) as bench:
        await bench.begin(bench.order("a1", tokens=100_000))
        events = await run(bench, "a2")
        assert isinstance(events[-1], engine_stream.StreamFailed)
        assert events[-1].kind is KIND.CRASHED
        books = await bench.books()
        assert len(books["crashes"]) == 1
        assert books["peak_cold_in_flight"] == 2


@pytest.mark.asyncio
async def test_a_silent_connection_is_noticed_and_the_stream_goes_on_over_a_fresh_one() -> None:
    async with engine_bench.engine(step_seconds=0.01) as bench:
        order = bench.order("a1", tokens=engine_bench.ENDLESS_TOKENS)
        stream = bench.client.generate(bench.address, order, engine_bench.QUICK_TIMEOUTS)
        events = [await anext(stream)]
        await bench.set_faults(silence_open_connections=True)
        events += [event async for event in stream]
        last = events.pop()
        assert isinstance(last, engine_stream.StreamFailed)
        assert (last.kind, last.sent) == (KIND.TIMEOUT, True)
        frames = engine_bench.without_heartbeats(events)
        rest = await bench.resume("a1", len(frames), most=10)
        whole = engine_bench.answer("a1", engine_bench.ENDLESS_TOKENS)
        assert frames + rest == whole[: len(frames) + 10]


@pytest.mark.asyncio
@pytest.mark.parametrize("fault", ["duplicate_every", "swap_every", "cross_every"])
async def test_frames_come_twice_late_or_crossed_with_their_own_attempt(fault: str) -> None:
    async with engine_bench.engine() as bench:
        await bench.set_faults(**{fault: 2})
        frames = [
            event
            for event in await bench.generate("a1", tokens=9)
            if isinstance(event, engine_stream.Frame)
        ]
        assert frames != engine_bench.answer("a1", 9)
        own = {frame for frame in frames if frame.attempt == "a1"}
        assert sorted(own, key=lambda frame: frame.index) == engine_bench.answer("a1", 9)


@pytest.mark.asyncio
async def test_a_dropped_frame_can_be_fetched_again() -> None:
    async with engine_bench.engine() as bench:
        await bench.set_faults(drop_every=3)
        events = engine_bench.without_heartbeats(await bench.generate("a1"))
        whole = engine_bench.answer("a1")
        assert events == [*whole[:2], *whole[3:], engine_stream.Ended()]
        await bench.set_faults()
        rest = engine_bench.without_heartbeats(await bench.resume("a1", 2))
        assert rest == [*whole[2:], engine_stream.Ended()]

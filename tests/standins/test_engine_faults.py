"""Fault table of the model engine: what the client says, and what the engine has done."""

from __future__ import annotations

from typing import Any

import engine_fixture
import pytest

from dragonflycove.backends import engine_stream

BROKEN_KIND = engine_stream.BrokenKind
"""How a stream broke off."""

FAULTS = [
    ({"outage": True}, engine_stream.Refused(503, True, 1.0), 0),
    ({"refuse": 1}, engine_stream.Refused(503, True, 1.0), 0),
    ({"cut_before": 1}, BROKEN_KIND.CRASHED, 0),
    ({"cut_after": 1}, BROKEN_KIND.CRASHED, 1),
    ({"silent_before": 1}, BROKEN_KIND.TIMEOUT, 0),
    ({"silent_after": 1}, BROKEN_KIND.TIMEOUT, 1),
]
"""Switches, the only event or the kind of break, and how many attempts the engine took."""


async def run(
    fixture: engine_fixture.EngineFixture,
    attempt: str,
    prompt: str = engine_fixture.PROMPT,
    timeouts: engine_stream.StreamTimeouts = engine_fixture.TIMEOUTS,
) -> list[engine_stream.StreamEvent]:
    """Run a prompt."""
    stream = fixture.client.generate(
        fixture.address, fixture.make_request(attempt, prompt), timeouts
    )
    return [event async for event in stream]


@pytest.mark.asyncio
@pytest.mark.parametrize(("switches", "expected", "taken"), FAULTS)
async def test_fault_table(switches: dict[str, Any], expected: object, taken: int) -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.set_faults(match="POST /v1/completions", **switches)
        quick = expected is BROKEN_KIND.TIMEOUT
        timeouts = engine_fixture.SHORT_TIMEOUTS if quick else engine_fixture.TIMEOUTS
        events = await run(fixture, "a1", timeouts=timeouts)
        assert len(events) == 1
        if isinstance(events[0], engine_stream.Broken):
            assert (events[0].kind, events[0].sent) == (expected, True)
        else:
            assert events[0] == expected
        assert len((await fixture.activity())["attempts"]) == taken


@pytest.mark.asyncio
async def test_an_engine_that_is_gone_is_unreachable_and_nothing_was_sent() -> None:
    async with engine_fixture.engine() as fixture:
        async with engine_fixture.engine() as gone:
            fixture.address = gone.address
        events = await run(fixture, "a1")
    assert len(events) == 1
    assert isinstance(events[0], engine_stream.Broken)
    assert (events[0].kind, events[0].sent) == (BROKEN_KIND.UNREACHABLE, False)


@pytest.mark.asyncio
async def test_a_crashed_engine_refuses_connections_until_its_restart() -> None:
    async with engine_fixture.engine(restart_seconds=0.5) as fixture:
        before = (await fixture.client.load(fixture.address, 5.0)).unwrap()
        await run(fixture, "killer", "please CRASH-ENGINE now")
        events = await run(fixture, "a1")
        assert isinstance(events[0], engine_stream.Broken)
        assert (events[0].kind, events[0].sent) == (BROKEN_KIND.UNREACHABLE, False)
        assert list((await fixture.activity())["attempts"]) == ["killer"]
        after = (await fixture.client.load(fixture.address, 5.0)).unwrap()
        assert after.start_id != before.start_id
        assert (await run(fixture, "a2"))[-1] == engine_stream.Ended()


@pytest.mark.asyncio
async def test_a_marked_prompt_crashes_the_engine_and_its_bystanders() -> None:
    async with engine_fixture.engine() as fixture:
        request = fixture.make_request("bystander", tokens=100_000)
        stream = fixture.client.generate(fixture.address, request, engine_fixture.TIMEOUTS)
        events = [await anext(stream)]
        killer = await run(fixture, "killer", "please CRASH-ENGINE now")
        events += [event async for event in stream]
        for broken in (killer[-1], events[-1]):
            assert isinstance(broken, engine_stream.Broken)
            assert (broken.kind, broken.sent) == (BROKEN_KIND.CRASHED, True)
        activity = await fixture.activity()
        assert sorted(activity["crashes"][0]["attempts"]) == ["bystander", "killer"]
        assert activity["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_a_cold_engine_over_its_bound_falls_over() -> None:
    async with engine_fixture.engine(starts_cold=True, cold_concurrency=1) as fixture:
        await fixture.start_and_disconnect(fixture.make_request("a1", tokens=100_000))
        events = await run(fixture, "a2")
        assert isinstance(events[-1], engine_stream.Broken)
        assert events[-1].kind is BROKEN_KIND.CRASHED
        activity = await fixture.activity()
        assert len(activity["crashes"]) == 1
        assert activity["peak_cold_in_flight"] == 2


@pytest.mark.asyncio
async def test_a_silent_connection_is_noticed_and_the_stream_goes_on_over_a_fresh_one() -> None:
    async with engine_fixture.engine(step_seconds=0.01) as fixture:
        request = fixture.make_request("a1", tokens=engine_fixture.ENDLESS_TOKENS)
        stream = fixture.client.generate(fixture.address, request, engine_fixture.SHORT_TIMEOUTS)
        events = [await anext(stream)]
        await fixture.set_faults(silence_open_connections=True)
        events += [event async for event in stream]
        last = events.pop()
        assert isinstance(last, engine_stream.Broken)
        assert (last.kind, last.sent) == (BROKEN_KIND.TIMEOUT, True)
        frames = engine_fixture.without_heartbeats(events)
        rest = await fixture.resume("a1", len(frames), max_events=10)
        whole = engine_fixture.expected_frames("a1", engine_fixture.ENDLESS_TOKENS)
        assert frames + rest == whole[: len(frames) + 10]


@pytest.mark.asyncio
@pytest.mark.parametrize("fault", ["duplicate_every", "swap_every", "cross_every"])
async def test_frames_come_twice_late_or_crossed_with_their_own_attempt(fault: str) -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.set_faults(**{fault: 2})
        frames = [
            event
            for event in await fixture.generate("a1", tokens=9)
            if isinstance(event, engine_stream.Frame)
        ]
        assert frames != engine_fixture.expected_frames("a1", 9)
        own = {frame for frame in frames if frame.attempt == "a1"}
        assert sorted(own, key=lambda frame: frame.index) == engine_fixture.expected_frames("a1", 9)


@pytest.mark.asyncio
async def test_a_dropped_frame_can_be_fetched_again() -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.set_faults(drop_every=3)
        events = engine_fixture.without_heartbeats(await fixture.generate("a1"))
        whole = engine_fixture.expected_frames("a1")
        assert events == [*whole[:2], *whole[3:], engine_stream.Ended()]
        await fixture.set_faults()
        rest = engine_fixture.without_heartbeats(await fixture.resume("a1", 2))
        assert rest == [*whole[2:], engine_stream.Ended()]

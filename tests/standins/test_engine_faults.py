"""Faults of the stand-in model engine: the client's outcome, and what the engine executed."""

from __future__ import annotations

from typing import Any

import engine_fixture
import pytest

from dragonflycove.backends import engine_stream

STREAM_FAILURE_KIND = engine_stream.StreamFailureKind
"""Reasons with which a stream can be interrupted."""

FAULTS = [
    ({"outage": True}, engine_stream.Refused(503, True, 1.0), 0),
    ({"refuse": 1}, engine_stream.Refused(503, True, 1.0), 0),
    ({"cut_before": 1}, STREAM_FAILURE_KIND.CRASHED, 0),
    ({"cut_after": 1}, STREAM_FAILURE_KIND.CRASHED, 1),
    ({"silent_before": 1}, STREAM_FAILURE_KIND.TIMEOUT, 0),
    ({"silent_after": 1}, STREAM_FAILURE_KIND.TIMEOUT, 1),
]
"""Switches, the only event or the kind of interruption, and the number of accepted attempts."""


async def run_prompt(
    fixture: engine_fixture.EngineFixture,
    attempt: str,
    prompt: str = engine_fixture.PROMPT,
    timeouts: engine_stream.StreamTimeouts = engine_fixture.TIMEOUTS,
) -> list[engine_stream.StreamEvent]:
    """Run a prompt and return all its events."""
    stream = fixture.client.generate(
        fixture.address, fixture.make_request(attempt, prompt), timeouts
    )
    return [event async for event in stream]


@pytest.mark.asyncio
@pytest.mark.parametrize(("switches", "expected", "taken"), FAULTS)
async def test_each_fault_has_its_outcome_at_the_client_and_at_the_engine(
    switches: dict[str, Any], expected: object, taken: int
) -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.set_faults(match="POST /v1/completions", **switches)
        quick = expected is STREAM_FAILURE_KIND.TIMEOUT
        timeouts = engine_fixture.SHORT_TIMEOUTS if quick else engine_fixture.TIMEOUTS
        events = await run_prompt(fixture, "a1", timeouts=timeouts)
        assert len(events) == 1
        if isinstance(events[0], engine_stream.StreamFailed):
            assert (events[0].kind, events[0].sent) == (expected, True)
        else:
            assert events[0] == expected
        assert len((await fixture.activity())["attempts"]) == taken


@pytest.mark.asyncio
async def test_a_stopped_engine_is_unreachable_and_nothing_was_sent() -> None:
    async with engine_fixture.engine() as fixture:
        async with engine_fixture.engine() as stopped:
            fixture.address = stopped.address
        events = await run_prompt(fixture, "a1")
    assert len(events) == 1
    assert isinstance(events[0], engine_stream.StreamFailed)
    assert (events[0].kind, events[0].sent) == (STREAM_FAILURE_KIND.UNREACHABLE, False)


@pytest.mark.asyncio
async def test_a_crashed_engine_refuses_connections_until_its_restart() -> None:
    async with engine_fixture.engine(restart_seconds=0.5) as fixture:
        before = (await fixture.client.load(fixture.address, 5.0)).unwrap()
        await run_prompt(fixture, "killer", "please CRASH-ENGINE now")
        events = await run_prompt(fixture, "a1")
        assert isinstance(events[0], engine_stream.StreamFailed)
        assert (events[0].kind, events[0].sent) == (STREAM_FAILURE_KIND.UNREACHABLE, False)
        assert list((await fixture.activity())["attempts"]) == ["killer"]
        after = (await fixture.client.load(fixture.address, 5.0)).unwrap()
        assert after.start_id != before.start_id
        assert (await run_prompt(fixture, "a2"))[-1] == engine_stream.Ended()


@pytest.mark.asyncio
async def test_a_prompt_with_the_crash_marker_interrupts_all_streams_of_the_engine() -> None:
    async with engine_fixture.engine() as fixture:
        request = fixture.make_request("bystander", tokens=100_000)
        stream = fixture.client.generate(fixture.address, request, engine_fixture.TIMEOUTS)
        events = [await anext(stream)]
        crashing_events = await run_prompt(fixture, "killer", "please CRASH-ENGINE now")
        events += [event async for event in stream]
        for broken in (crashing_events[-1], events[-1]):
            assert isinstance(broken, engine_stream.StreamFailed)
            assert (broken.kind, broken.sent) == (STREAM_FAILURE_KIND.CRASHED, True)
        activity = await fixture.activity()
        assert sorted(activity["crashes"][0]["attempts"]) == ["bystander", "killer"]
        assert activity["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_a_cold_engine_crashes_above_its_stream_limit() -> None:
    async with engine_fixture.engine(starts_cold=True, cold_concurrency=1) as fixture:
        await fixture.start_and_disconnect(fixture.make_request("a1", tokens=100_000))
        events = await run_prompt(fixture, "a2")
        assert isinstance(events[-1], engine_stream.StreamFailed)
        assert events[-1].kind is STREAM_FAILURE_KIND.CRASHED
        activity = await fixture.activity()
        assert len(activity["crashes"]) == 1
        assert activity["peak_cold_in_flight"] == 2


@pytest.mark.asyncio
async def test_a_silent_connection_times_out_and_the_stream_resumes_over_a_new_one() -> None:
    async with engine_fixture.engine(step_seconds=0.01) as fixture:
        request = fixture.make_request("a1", tokens=engine_fixture.ENDLESS_TOKENS)
        stream = fixture.client.generate(fixture.address, request, engine_fixture.SHORT_TIMEOUTS)
        events = [await anext(stream)]
        await fixture.set_faults(silence_open_connections=True)
        events += [event async for event in stream]
        last = events.pop()
        assert isinstance(last, engine_stream.StreamFailed)
        assert (last.kind, last.sent) == (STREAM_FAILURE_KIND.TIMEOUT, True)
        frames = engine_fixture.without_heartbeats(events)
        rest = await fixture.resume("a1", len(frames), max_events=10)
        whole = engine_fixture.expected_frames("a1", engine_fixture.ENDLESS_TOKENS)
        assert frames + rest == whole[: len(frames) + 10]


@pytest.mark.asyncio
@pytest.mark.parametrize("fault", ["duplicate_every", "swap_every", "cross_every"])
async def test_duplicated_reordered_and_foreign_frames_are_told_apart_by_attempt_and_index(
    fault: str,
) -> None:
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
async def test_a_stream_can_be_resumed_at_a_dropped_frame() -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.set_faults(drop_every=3)
        events = engine_fixture.without_heartbeats(await fixture.generate("a1"))
        whole = engine_fixture.expected_frames("a1")
        assert events == [*whole[:2], *whole[3:], engine_stream.Ended()]
        await fixture.set_faults()
        rest = engine_fixture.without_heartbeats(await fixture.resume("a1", 2))
        assert rest == [*whole[2:], engine_stream.Ended()]

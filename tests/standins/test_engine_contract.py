"""Contract tests of the model engine's HTTP interface: client and stand-in on a real socket."""

from __future__ import annotations

from typing import Any

import engine_fixture
import pytest
import result

from dragonflycove.backends import engine_stream, engine_values
from dragonflycove.transport import exchange
from dragonflycove.values import requests


@pytest.mark.asyncio
async def test_a_prompt_gets_its_complete_output() -> None:
    async with engine_fixture.engine() as fixture:
        events = engine_fixture.without_heartbeats(await fixture.generate("a1"))
        assert events == [*engine_fixture.expected_frames("a1"), engine_stream.Ended()]
        activity = await fixture.activity()
        assert activity["memory_held_tokens"] == 0
        assert activity["attempts"]["a1"]["end"] == "finished"


@pytest.mark.asyncio
async def test_a_disconnected_stream_continues_and_another_owner_can_resume_it() -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.start_and_disconnect(fixture.make_request("a1", tokens=40))
        events = engine_fixture.without_heartbeats(await fixture.resume("a1", 1))
        assert events == [*engine_fixture.expected_frames("a1", 40, start=1), engine_stream.Ended()]
        activity = await fixture.activity()
        assert activity["attempts"]["a1"]["owner"] == "entry-2/inc-1"


@pytest.mark.asyncio
async def test_cancel_frees_memory_and_removes_the_attempt() -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.start_and_disconnect(fixture.make_request("a1", tokens=100_000))
        streams = (
            await fixture.client.streams(fixture.address, engine_fixture.TIMEOUT_SECONDS)
        ).unwrap()
        assert [(entry.attempt, entry.owner) for entry in streams.streams] == [
            ("a1", "entry-1/inc-1")
        ]
        for _ in range(2):
            cancelled = await fixture.client.cancel(
                fixture.address, "a1", engine_fixture.TIMEOUT_SECONDS
            )
            assert cancelled == result.Ok(None)
        assert await fixture.resume("a1", 0) == [engine_stream.Refused(404, False, None)]
        assert (await fixture.activity())["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_load_and_cache_events_report_a_finished_prompt() -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.generate("a1")
        load = (await fixture.client.load(fixture.address, engine_fixture.TIMEOUT_SECONDS)).unwrap()
        assert (load.running, load.waiting, load.finished_since_start) == (0, 0, 1)
        assert load.models == ("herder",)
        page = (
            await fixture.client.cache_events(fixture.address, 0, engine_fixture.TIMEOUT_SECONDS)
        ).unwrap()
        expected = engine_values.CacheEvent(0, True, requests.hash_prefix(engine_fixture.PROMPT))
        assert page == engine_values.CacheEvents(0, 1, (expected,))


REFUSALS = [
    ({"models": []}, 503, True),
    ({"memory_tokens": 100}, 413, True),
    ({"max_waiting": 0}, 429, True),
]
"""Parameters, status, and whether the response states that the prompt did not run."""


@pytest.mark.asyncio
@pytest.mark.parametrize(("parameters", "status", "not_run"), REFUSALS)
async def test_a_prompt_that_cannot_run_is_refused_as_not_executed(
    parameters: dict[str, Any], status: int, not_run: bool
) -> None:
    async with engine_fixture.engine(**parameters) as fixture:
        event = (await fixture.generate("a1"))[0]
        assert isinstance(event, engine_stream.Refused)
        assert (event.status, event.not_executed) == (status, not_run)
        assert (await fixture.activity())["attempts"] == {}


@pytest.mark.asyncio
async def test_a_duplicate_attempt_is_not_refused_as_not_executed() -> None:
    async with engine_fixture.engine() as fixture:
        await fixture.generate("a1")
        assert await fixture.generate("a1") == [engine_stream.Refused(409, False, None)]


@pytest.mark.asyncio
async def test_a_reservation_has_one_owner_and_is_limited_by_memory() -> None:
    async with engine_fixture.engine(memory_tokens=1_000) as fixture:

        async def reserve(group: str, owner: str, tokens: int) -> int:
            response = await fixture.client.put_reservation(
                fixture.address, group, owner, tokens, 60.0, engine_fixture.TIMEOUT_SECONDS
            )
            error = response.err()
            return error.status if isinstance(error, exchange.NotExecuted) else 200

        assert await reserve("a/g 1", "n1/i1", 700) == 200
        assert await reserve("a/g 1", "n1/i1", 800) == 200
        assert await reserve("a/g 1", "n2/i1", 1) == 409
        assert await reserve("g2", "n2/i1", 300) == 429
        listed = (
            await fixture.client.streams(fixture.address, engine_fixture.TIMEOUT_SECONDS)
        ).unwrap()
        assert [(item.group, item.tokens) for item in listed.reservations] == [("a/g 1", 800)]
        for _ in range(2):
            dropped = await fixture.client.delete_reservation(
                fixture.address, "a/g 1", engine_fixture.TIMEOUT_SECONDS
            )
            assert dropped == result.Ok(None)
        assert (await fixture.activity())["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_an_exported_stream_continues_at_another_engine_without_prefill() -> None:
    async with (
        engine_fixture.engine(step_seconds=0.05) as source,
        engine_fixture.engine() as target,
    ):
        await source.start_and_disconnect(source.make_request("a1", tokens=200))
        client = target.client
        export = (
            await client.export_stream(source.address, "a1", engine_fixture.TIMEOUT_SECONDS)
        ).unwrap()
        imported = await client.import_stream(
            target.address,
            source.address,
            export.export_id,
            "a1",
            "n2/i1",
            engine_fixture.TIMEOUT_SECONDS,
        )
        assert imported == result.Ok(None)
        events = engine_fixture.without_heartbeats(await target.resume("a1", 0))
        assert events == [*engine_fixture.expected_frames("a1", 200), engine_stream.Ended()]
        assert (await source.activity())["memory_held_tokens"] == export.tokens
        assert (await target.activity())["attempts"]["a1"]["prefilled_tokens"] == 0
        for _ in range(2):
            await client.delete_export(
                source.address, export.export_id, engine_fixture.TIMEOUT_SECONDS
            )
        assert (await source.activity())["memory_held_tokens"] == 0


@pytest.mark.asyncio
@pytest.mark.parametrize("checks", [True, False])
async def test_an_outdated_fencing_token_is_rejected_if_the_engine_checks_it(checks: bool) -> None:
    async with engine_fixture.engine(checks_fencing=checks) as fixture:
        new = engine_values.EngineState(7, ("herder",), (), {}, "serve")
        old = engine_values.EngineState(5, ("herder",), (), {}, "drain")
        put = await fixture.client.put_state(fixture.address, new, engine_fixture.TIMEOUT_SECONDS)
        assert put == result.Ok(None)
        outdated = await fixture.client.put_state(
            fixture.address, old, engine_fixture.TIMEOUT_SECONDS
        )
        in_force = (
            await fixture.client.get_state(fixture.address, engine_fixture.TIMEOUT_SECONDS)
        ).unwrap()
        assert in_force == (new if checks else old)
        error = outdated.err()
        assert (isinstance(error, exchange.NotExecuted) and error.status == 412) == checks

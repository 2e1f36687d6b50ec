"""Contract of the model engine's interface: the client against the stand-in on a real socket."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
import result

from dragonflycove.backends import engine_client, engine_stream, engine_values
from dragonflycove.standins import clock, engine_streams, kinds, serving
from dragonflycove.transport import exchange, sessions
from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_SECONDS = 5.0
"""Bound on each call; no test waits for it."""

TIMEOUTS = engine_stream.StreamTimeouts(2.0, 2.0, 10.0)
"""Bounds on each stream; no test but those of silence waits for them."""

QUICK = {
    "models": ["herder"],
    "step_seconds": 0.002,
    "prefill_tokens_per_second": 5_000_000.0,
    "starts_cold": False,
    "load_lag_seconds": 0.0,
    "cache_event_lag_seconds": 0.0,
    "cache_event_loss": 0.0,
    "restart_seconds": 0.05,
    "heartbeat_seconds": 0.05,
}
"""Parameters of an engine that answers at once."""

PROMPT = "What does the cheese cost in Cuenca? " * 300
"""A prompt of about 2,800 tokens, three blocks."""


class Bench:
    """One engine on a socket with a client of it."""

    def __init__(self, address: str, client: engine_client.EngineClient) -> None:
        """Create the bench."""
        self.address = address
        self.client = client

    def order(self, attempt: str, prompt: str = PROMPT, tokens: int = 5) -> engine_client.Generate:
        """Return a prompt to run."""
        return engine_client.Generate(attempt, "entry-1/inc-1", "herder", prompt, tokens, 0)

    async def generate(
        self, attempt: str, prompt: str = PROMPT, tokens: int = 5
    ) -> list[engine_stream.StreamEvent]:
        """Run a prompt to its end."""
        order = self.order(attempt, prompt, tokens)
        return [event async for event in self.client.generate(self.address, order, TIMEOUTS)]

    async def begin(self, order: engine_client.Generate) -> None:
        """Run a prompt up to its first frame and drop the connection."""
        stream = self.client.generate(self.address, order, TIMEOUTS)
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            async for event in stream:
                if isinstance(event, engine_stream.Frame):
                    return

    async def resume(self, attempt: str, from_index: int) -> list[engine_stream.StreamEvent]:
        """Read the rest of a stream as another owner."""
        stream = self.client.resume(self.address, attempt, "entry-2/inc-1", from_index, TIMEOUTS)
        return [event async for event in stream]

    async def set_faults(self, **switches: Any) -> None:
        """Set the fault switches."""
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"http://{self.address}/_standin/faults", json=switches) as response,
        ):
            assert response.status == 200

    async def books(self) -> dict[str, Any]:
        """Return the engine's books."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.address}/_standin/books") as response,
        ):
            books: dict[str, Any] = await response.json()
            return books


@contextlib.asynccontextmanager
async def engine(**parameters: Any) -> AsyncIterator[Bench]:
    """Serve an engine as long as the context lasts."""
    standin = kinds.build_engine(QUICK | parameters, clock.unix_clock())
    async with serving.serving(standin) as address, sessions.open_pooled() as session:
        client = engine_client.EngineClient(session)
        try:
            yield Bench(address, client)
        finally:
            await client.close()


def answer(attempt: str, tokens: int = 5, start: int = 0) -> list[engine_stream.Frame]:
    """Return the frames of the whole answer to the prompt."""
    prompt_hash = requests.hash_prefix(PROMPT)[-1]
    return [
        engine_stream.Frame(
            attempt,
            index,
            engine_streams.answer_token(prompt_hash, index),
            "stop" if index == tokens - 1 else None,
        )
        for index in range(start, tokens)
    ]


def without_heartbeats(
    events: list[engine_stream.StreamEvent],
) -> list[engine_stream.StreamEvent]:
    """Return the events but the heartbeats."""
    return [event for event in events if not isinstance(event, engine_stream.Heartbeat)]


@pytest.mark.asyncio
async def test_a_prompt_gets_its_whole_answer() -> None:
    async with engine() as bench:
        events = without_heartbeats(await bench.generate("a1"))
        assert events == [*answer("a1"), engine_stream.Ended()]
        books = await bench.books()
        assert books["memory_held_tokens"] == 0
        assert books["attempts"]["a1"]["end"] == "finished"


@pytest.mark.asyncio
async def test_a_dropped_stream_goes_on_and_is_resumed_by_another_owner() -> None:
    async with engine() as bench:
        await bench.begin(bench.order("a1", tokens=40))
        events = without_heartbeats(await bench.resume("a1", 1))
        assert events == [*answer("a1", 40, start=1), engine_stream.Ended()]
        books = await bench.books()
        assert books["attempts"]["a1"]["owner"] == "entry-2/inc-1"


@pytest.mark.asyncio
async def test_cancel_frees_memory_and_forgets_the_attempt() -> None:
    async with engine() as bench:
        await bench.begin(bench.order("a1", tokens=100_000))
        streams = (await bench.client.streams(bench.address, TIMEOUT_SECONDS)).unwrap()
        assert [(entry.attempt, entry.owner) for entry in streams.streams] == [
            ("a1", "entry-1/inc-1")
        ]
        for _ in range(2):
            cancelled = await bench.client.cancel(bench.address, "a1", TIMEOUT_SECONDS)
            assert cancelled == result.Ok(None)
        assert await bench.resume("a1", 0) == [engine_stream.Refused(404, False, None)]
        assert (await bench.books())["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_load_and_cache_events_report_what_ran() -> None:
    async with engine() as bench:
        await bench.generate("a1")
        load = (await bench.client.load(bench.address, TIMEOUT_SECONDS)).unwrap()
        assert (load.running, load.waiting, load.finished_since_start) == (0, 0, 1)
        assert load.models == ("herder",)
        page = (await bench.client.cache_events(bench.address, 0, TIMEOUT_SECONDS)).unwrap()
        expected = engine_values.CacheEvent(0, True, requests.hash_prefix(PROMPT))
        assert page == engine_values.CacheEvents(0, 1, (expected,))


REFUSALS = [
    ({"models": []}, 503, True),
    ({"memory_tokens": 100}, 413, True),
    ({"max_waiting": 0}, 429, True),
]
"""Parameters, status, and whether the engine says that the prompt did not run."""


@pytest.mark.asyncio
@pytest.mark.parametrize(("parameters", "status", "not_run"), REFUSALS)
async def test_refusals(parameters: dict[str, Any], status: int, not_run: bool) -> None:
    async with engine(**parameters) as bench:
        event = (await bench.generate("a1"))[0]
        assert isinstance(event, engine_stream.Refused)
        assert (event.status, event.ran_not_run) == (status, not_run)
        assert (await bench.books())["attempts"] == {}


@pytest.mark.asyncio
async def test_a_known_attempt_is_refused_without_a_claim_that_it_did_not_run() -> None:
    async with engine() as bench:
        await bench.generate("a1")
        assert await bench.generate("a1") == [engine_stream.Refused(409, False, None)]


@pytest.mark.asyncio
async def test_reservations_are_held_by_one_owner_and_bounded_by_memory() -> None:
    async with engine(memory_tokens=1_000) as bench:

        async def reserve(group: str, owner: str, tokens: int) -> int:
            answer = await bench.client.put_reservation(
                bench.address, group, owner, tokens, 60.0, TIMEOUT_SECONDS
            )
            error = answer.err()
            return error.status if isinstance(error, exchange.NotDone) else 200

        assert await reserve("g1", "n1/i1", 700) == 200
        assert await reserve("g1", "n1/i1", 800) == 200
        assert await reserve("g1", "n2/i1", 1) == 409
        assert await reserve("g2", "n2/i1", 300) == 429
        listed = (await bench.client.streams(bench.address, TIMEOUT_SECONDS)).unwrap()
        assert [(item.group, item.tokens) for item in listed.reservations] == [("g1", 800)]
        for _ in range(2):
            dropped = await bench.client.delete_reservation(bench.address, "g1", TIMEOUT_SECONDS)
            assert dropped == result.Ok(None)
        assert (await bench.books())["memory_held_tokens"] == 0


@pytest.mark.asyncio
async def test_an_exported_stream_goes_on_at_another_engine() -> None:
    async with engine(step_seconds=0.05) as source, engine() as target:
        await source.begin(source.order("a1", tokens=200))
        client = target.client
        export = (await client.export_stream(source.address, "a1", TIMEOUT_SECONDS)).unwrap()
        imported = await client.import_stream(
            target.address, source.address, export.export_id, "a1", "n2/i1", TIMEOUT_SECONDS
        )
        assert imported == result.Ok(None)
        events = without_heartbeats(await target.resume("a1", 0))
        assert events == [*answer("a1", 200), engine_stream.Ended()]
        assert (await source.books())["memory_held_tokens"] == export.tokens
        assert (await target.books())["attempts"]["a1"]["prefilled_tokens"] == 0
        for _ in range(2):
            await client.delete_export(source.address, export.export_id, TIMEOUT_SECONDS)
        assert (await source.books())["memory_held_tokens"] == 0


@pytest.mark.asyncio
@pytest.mark.parametrize("checks", [True, False])
async def test_an_old_fencing_number_is_refused_where_checked(checks: bool) -> None:
    async with engine(checks_fencing=checks) as bench:
        new = engine_values.EngineState(7, ("herder",), (), {}, "serve")
        old = engine_values.EngineState(5, ("herder",), (), {}, "drain")
        put = await bench.client.put_state(bench.address, new, TIMEOUT_SECONDS)
        assert put == result.Ok(None)
        late = await bench.client.put_state(bench.address, old, TIMEOUT_SECONDS)
        in_force = (await bench.client.get_state(bench.address, TIMEOUT_SECONDS)).unwrap()
        assert in_force == (new if checks else old)
        error = late.err()
        assert (isinstance(error, exchange.NotDone) and error.status == 412) == checks

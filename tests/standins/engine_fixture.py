"""Test fixture: a stand-in model engine on a real socket, and a client for it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import aiohttp

from dragonflycove.backends import engine_client, engine_stream
from dragonflycove.standins import builders, clock, engine_streams, serving
from dragonflycove.transport import sessions
from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_SECONDS = 5.0
"""Timeout of each call; no test reaches it."""

TIMEOUTS = engine_stream.StreamTimeouts(5.0, 5.0, 20.0)
"""Timeouts of each stream; no test reaches them."""

SHORT_TIMEOUTS = engine_stream.StreamTimeouts(5.0, 0.5, 20.0)
"""Timeouts of a stream whose frames stop."""

ENDLESS_TOKENS = 10_000
"""Output length that no test generates to the end."""

FAST_ENGINE = {
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
"""Parameters of a warm engine with short steps and no report lag."""

PROMPT = "What does the cheese cost in Cuenca? " * 300
"""A prompt of about 2,800 tokens, three blocks."""


class EngineFixture:
    """A running engine and a client for it."""

    def __init__(self, address: str, client: engine_client.EngineClient) -> None:
        """Create the fixture of an engine that listens on an address."""
        self.address = address
        self.client = client

    def make_request(
        self, attempt: str, prompt: str = PROMPT, tokens: int = 5
    ) -> engine_client.GenerateRequest:
        """Return a request to generate tokens."""
        return engine_client.GenerateRequest(attempt, "entry-1/inc-1", "herder", prompt, tokens, 0)

    async def generate(
        self, attempt: str, prompt: str = PROMPT, tokens: int = 5
    ) -> list[engine_stream.StreamEvent]:
        """Run a prompt to its end and return all its events."""
        request = self.make_request(attempt, prompt, tokens)
        return [event async for event in self.client.generate(self.address, request, TIMEOUTS)]

    async def start_and_disconnect(self, request: engine_client.GenerateRequest) -> None:
        """Start a prompt, wait for its first frame and close the connection."""
        stream = self.client.generate(self.address, request, TIMEOUTS)
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            async for event in stream:
                if isinstance(event, engine_stream.Frame):
                    return

    async def resume(
        self, attempt: str, from_index: int, max_events: int | None = None
    ) -> list[engine_stream.StreamEvent]:
        """Resume a stream as another owner and return its events, without heartbeats."""
        events: list[engine_stream.StreamEvent] = []
        stream = self.client.resume(self.address, attempt, "entry-2/inc-1", from_index, TIMEOUTS)
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            async for event in stream:
                if not isinstance(event, engine_stream.Heartbeat):
                    events.append(event)
                if len(events) == max_events:
                    break
        return events

    async def set_faults(self, **switches: Any) -> None:
        """Replace the fault switches."""
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"http://{self.address}/_standin/faults", json=switches) as response,
        ):
            assert response.status == 200

    async def activity(self) -> dict[str, Any]:
        """Return the engine's recorded activity; retries until it is up again."""
        while True:
            try:
                return await self._read_activity()
            except aiohttp.ClientConnectionError:
                await asyncio.sleep(0.01)

    async def _read_activity(self) -> dict[str, Any]:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.address}/_standin/books") as response,
        ):
            activity: dict[str, Any] = await response.json()
            return activity


@contextlib.asynccontextmanager
async def engine(**parameters: Any) -> AsyncIterator[EngineFixture]:
    """Serve an engine while the context is open."""
    standin = builders.build_engine(FAST_ENGINE | parameters, clock.unix_clock())
    async with serving.serve(standin) as address, sessions.open_pooled() as session:
        client = engine_client.EngineClient(session)
        try:
            yield EngineFixture(address, client)
        finally:
            await client.close()


def expected_frames(attempt: str, tokens: int = 5, start: int = 0) -> list[engine_stream.Frame]:
    """Return the frames that an engine generates for `PROMPT`."""
    prompt_hash = requests.hash_prefix(PROMPT)[-1]
    return [
        engine_stream.Frame(
            attempt,
            index,
            engine_streams.output_token(prompt_hash, index),
            "stop" if index == tokens - 1 else None,
        )
        for index in range(start, tokens)
    ]


def without_heartbeats(
    events: list[engine_stream.StreamEvent],
) -> list[engine_stream.StreamEvent]:
    """Return the events except heartbeats."""
    return [event for event in events if not isinstance(event, engine_stream.Heartbeat)]

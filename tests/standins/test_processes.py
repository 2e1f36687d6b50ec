"""Clients against stand-ins in processes of their own that are killed, frozen and cut."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
import engine_bench
import pytest

from dragonflycove.backends import engine_client, engine_stream, plain_client
from dragonflycove.infrastructure import log_client
from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator

pytestmark = [pytest.mark.asyncio, pytest.mark.processes]

PROGRAM = """
import sys
from dragonflycove.standins import main
sys.exit(main.run(["standin", *sys.argv[1:]]))
"""
"""Runs one stand-in."""

SILENCE_SECONDS = 1.0
"""Bound on a call that gets no answer."""

TIMEOUT_SECONDS = 5.0
"""Bound on a call that gets one; no test waits for it."""

TIMEOUTS = engine_stream.StreamTimeouts(5.0, SILENCE_SECONDS, 20.0)
"""Bounds on a stream that goes silent; the engine's heartbeats come more often."""

KIND = engine_stream.StreamFailureKind
"""How a stream broke off."""


class Process:
    """One stand-in in a process that the test has started."""

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        """Create the handle of a running stand-in."""
        self._process = process
        self.address = address

    async def kill(self) -> None:
        """Kill it, and wait until it is gone."""
        self._process.kill()
        await self._process.wait()

    async def stop(self) -> int:
        """Tell it to stop, and return its exit status."""
        self._process.terminate()
        return await self._process.wait()

    def freeze(self) -> None:
        """Freeze it, and wait until it is frozen."""
        self._process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self._process.pid, os.WSTOPPED)

    def thaw(self) -> None:
        """Let it go on."""
        self._process.send_signal(signal.SIGCONT)

    async def set_faults(self, **switches: Any) -> None:
        """Set the fault switches."""
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"http://{self.address}/_standin/faults", json=switches) as response,
        ):
            assert response.status == 200


@contextlib.asynccontextmanager
async def started(
    kind: str, folder: pathlib.Path, parameters: dict[str, Any]
) -> AsyncIterator[Process]:
    """Run a stand-in in a process of its own as long as the context lasts."""
    settings = folder / f"{kind}.json"
    settings.write_text("// settings\n" + json.dumps({"parameters": parameters}))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM,
        f"--kind={kind}",
        f"--settings={settings}",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        ready = (await process.stdout.readline()).decode()
        yield Process(process, ready.split("address=")[1].strip())
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def engine_client_of() -> AsyncIterator[engine_client.EngineClient]:
    """Open an engine client as long as the context lasts."""
    async with sessions.open_pooled() as session:
        client = engine_client.EngineClient(session)
        try:
            yield client
        finally:
            await client.close()


ENGINE = engine_bench.QUICK | {"step_seconds": 0.02}
"""Parameters of an engine that generates 50 tokens a second."""

ORDER = engine_client.GenerateRequest(
    "a1", "n1/i1", "herder", engine_bench.PROMPT, engine_bench.ENDLESS_TOKENS, 0
)
"""A prompt whose answer no test waits for."""


async def test_sigterm_ends_a_stand_in_with_an_open_stream(tmp_path: pathlib.Path) -> None:
    async with started("engine", tmp_path, ENGINE) as engine, engine_client_of() as client:
        order = ORDER._replace(max_tokens=100_000)
        async with contextlib.aclosing(client.generate(engine.address, order, TIMEOUTS)) as stream:
            assert isinstance(await anext(stream), engine_stream.Frame)
            assert await engine.stop() == 0


async def test_a_killed_engine_breaks_its_streams_and_is_unreachable(
    tmp_path: pathlib.Path,
) -> None:
    async with started("engine", tmp_path, ENGINE) as engine, engine_client_of() as client:
        stream = client.generate(engine.address, ORDER, TIMEOUTS)
        assert isinstance(await anext(stream), engine_stream.Frame)
        await engine.kill()
        last = [event async for event in stream][-1]
        assert isinstance(last, engine_stream.StreamFailed)
        assert (last.kind, last.sent) == (KIND.CRASHED, True)
        again = [event async for event in client.generate(engine.address, ORDER, TIMEOUTS)]
        assert isinstance(again[0], engine_stream.StreamFailed)
        assert (again[0].kind, again[0].sent) == (KIND.UNREACHABLE, False)


@pytest.mark.parametrize("way", ["freeze", "silence"])
async def test_a_stream_that_goes_silent_is_resumed_over_a_fresh_connection(
    tmp_path: pathlib.Path, way: str
) -> None:
    async with started("engine", tmp_path, ENGINE) as engine, engine_client_of() as client:
        stream = client.generate(engine.address, ORDER, TIMEOUTS)
        events = [await anext(stream)]
        if way == "freeze":
            engine.freeze()
        else:
            await engine.set_faults(silence_open_connections=True)
        events += [event async for event in stream]
        last = events.pop()
        assert isinstance(last, engine_stream.StreamFailed)
        assert (last.kind, last.sent) == (KIND.TIMEOUT, True)
        engine.thaw()
        frames = engine_bench.without_heartbeats(events)
        bench = engine_bench.Bench(engine.address, client)
        rest = await bench.resume("a1", len(frames), most=10)
        whole = engine_bench.answer("a1", engine_bench.ENDLESS_TOKENS)
        assert frames + rest == whole[: len(frames) + 10]


async def test_a_prompt_to_a_frozen_engine_may_have_run(tmp_path: pathlib.Path) -> None:
    async with started("engine", tmp_path, ENGINE) as engine, engine_client_of() as client:
        engine.freeze()
        events = [event async for event in client.generate(engine.address, ORDER, TIMEOUTS)]
        assert isinstance(events[0], engine_stream.StreamFailed)
        assert (events[0].kind, events[0].sent) == (KIND.TIMEOUT, True)
        engine.thaw()
        assert (await client.load(engine.address, TIMEOUT_SECONDS)).is_ok()


@pytest.mark.parametrize("fresh", [True, False])
async def test_a_posting_to_a_service_that_is_frozen_or_killed(
    tmp_path: pathlib.Path, fresh: bool
) -> None:
    async with (
        started("plain", tmp_path, {"service_seconds": 60.0}) as plain,
        sessions.open_pooled() as session,
        contextlib.aclosing(_PlainCaller(session, plain.address, fresh)) as caller,
    ):
        running = asyncio.create_task(caller.post(TIMEOUT_SECONDS))
        await caller.until_running()
        await plain.kill()
        broken = await running
        assert isinstance(broken, plain_client.MayHaveRun)
        assert not broken.timed_out
        assert isinstance(await caller.post(TIMEOUT_SECONDS), plain_client.NotSent)
    async with (
        started("plain", tmp_path, {}) as plain,
        sessions.open_pooled() as session,
        contextlib.aclosing(_PlainCaller(session, plain.address, fresh)) as caller,
    ):
        plain.freeze()
        silent = await caller.post(SILENCE_SECONDS)
        assert isinstance(silent, plain_client.MayHaveRun)
        assert silent.timed_out


class _PlainCaller:
    """Posts to one plain service."""

    def __init__(self, session: aiohttp.ClientSession, address: str, fresh: bool) -> None:
        self._session = session
        self._client = plain_client.PlainClient(session)
        self._address = address
        self._fresh = fresh

    async def aclose(self) -> None:
        """Close the client."""
        await self._client.close()

    async def post(
        self, timeout_seconds: float
    ) -> plain_client.PlainResponse | plain_client.PlainError:
        """Post once and return the outcome."""
        answer = await self._client.call(
            self._address, "POST", "/postings", (), b"{}", timeout_seconds, self._fresh
        )
        outcome = answer.ok() or answer.err()
        assert outcome is not None
        return outcome

    async def until_running(self) -> None:
        """Wait until the service runs a call."""
        running = 0
        while running == 0:
            async with self._session.get(f"http://{self._address}/_standin/books") as response:
                running = (await response.json())["running"]


async def test_an_append_whose_answer_is_lost_has_taken_effect(tmp_path: pathlib.Path) -> None:
    async with started("log", tmp_path, {}) as log, sessions.open_pooled() as session:
        client = log_client.LogClient(session, log.address)
        await log.set_faults(match="POST", cut_after=1)
        error = (await client.append("s", [{"n": 1}], TIMEOUT_SECONDS)).err()
        assert isinstance(error, exchange.OutcomeUnknown)
        page = (await client.read("s", 0, 10, 0, TIMEOUT_SECONDS)).unwrap()
        assert [record.value for record in page.records] == [{"n": 1}]


async def test_an_append_to_a_log_that_is_frozen_or_killed(tmp_path: pathlib.Path) -> None:
    async with started("log", tmp_path, {}) as log, sessions.open_pooled() as session:
        client = log_client.LogClient(session, log.address)
        log.freeze()
        frozen = (await client.append("s", [{}], SILENCE_SECONDS)).err()
        assert isinstance(frozen, exchange.OutcomeUnknown)
        assert frozen.cause is exchange.Cause.TIMEOUT
        await log.kill()
        dead = (await client.append("s", [{}], TIMEOUT_SECONDS)).err()
        assert isinstance(dead, exchange.NotExecuted)
        assert dead.cause is exchange.Cause.UNREACHABLE

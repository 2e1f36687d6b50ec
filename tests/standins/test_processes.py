"""Clients against stand-ins in separate processes that are killed, paused or disconnected."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
import engine_fixture
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
"""Program of the process: runs one stand-in."""

NO_RESPONSE_TIMEOUT_SECONDS = 1.0
"""Timeout of a call that gets no response."""

TIMEOUT_SECONDS = 5.0
"""Timeout of a call that gets a response; no test reaches it."""

TIMEOUTS = engine_stream.StreamTimeouts(5.0, NO_RESPONSE_TIMEOUT_SECONDS, 20.0)
"""Timeouts of a stream whose frames stop; the engine's heartbeat interval is shorter."""

STREAM_FAILURE_KIND = engine_stream.StreamFailureKind
"""Reasons with which a stream can be interrupted."""


class StandinProcess:
    """A stand-in in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        """Create the handle of a stand-in that listens on an address."""
        self._process = process
        self.address = address

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self._process.kill()
        await self._process.wait()

    async def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
        self._process.terminate()
        return await self._process.wait()

    def pause(self) -> None:
        """Send SIGSTOP and wait until the process is stopped."""
        self._process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self._process.pid, os.WSTOPPED)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    async def set_faults(self, **switches: Any) -> None:
        """Replace the fault switches."""
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"http://{self.address}/_standin/faults", json=switches) as response,
        ):
            assert response.status == 200


@contextlib.asynccontextmanager
async def run_standin(
    kind: str, folder: pathlib.Path, parameters: dict[str, Any]
) -> AsyncIterator[StandinProcess]:
    """Run a stand-in in a process of its own while the context is open."""
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
        yield StandinProcess(process, ready.split("address=")[1].strip())
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def open_engine_client() -> AsyncIterator[engine_client.EngineClient]:
    """Open an engine client while the context is open."""
    async with sessions.open_pooled() as session:
        client = engine_client.EngineClient(session)
        try:
            yield client
        finally:
            await client.close()


ENGINE = engine_fixture.FAST_ENGINE | {"step_seconds": 0.02}
"""Parameters of an engine whose streams generate 50 tokens per second each."""

ENDLESS_REQUEST = engine_client.GenerateRequest(
    "a1", "n1/i1", "herder", engine_fixture.PROMPT, engine_fixture.ENDLESS_TOKENS, 0
)
"""A request whose output no test generates to the end."""


async def test_sigterm_ends_a_stand_in_with_an_open_stream(tmp_path: pathlib.Path) -> None:
    async with run_standin("engine", tmp_path, ENGINE) as engine, open_engine_client() as client:
        request = ENDLESS_REQUEST._replace(max_tokens=100_000)
        async with contextlib.aclosing(
            client.generate(engine.address, request, TIMEOUTS)
        ) as stream:
            assert isinstance(await anext(stream), engine_stream.Frame)
            assert await engine.stop() == 0


async def test_a_killed_engine_interrupts_its_stream_and_is_then_unreachable(
    tmp_path: pathlib.Path,
) -> None:
    async with run_standin("engine", tmp_path, ENGINE) as engine, open_engine_client() as client:
        stream = client.generate(engine.address, ENDLESS_REQUEST, TIMEOUTS)
        assert isinstance(await anext(stream), engine_stream.Frame)
        await engine.kill()
        last = [event async for event in stream][-1]
        assert isinstance(last, engine_stream.StreamFailed)
        assert (last.kind, last.sent) == (STREAM_FAILURE_KIND.CRASHED, True)
        again = [
            event async for event in client.generate(engine.address, ENDLESS_REQUEST, TIMEOUTS)
        ]
        assert isinstance(again[0], engine_stream.StreamFailed)
        assert (again[0].kind, again[0].sent) == (STREAM_FAILURE_KIND.UNREACHABLE, False)


@pytest.mark.parametrize("stall", ["pause", "silence"])
async def test_a_stream_that_times_out_is_resumed_over_a_new_connection(
    tmp_path: pathlib.Path, stall: str
) -> None:
    async with run_standin("engine", tmp_path, ENGINE) as engine, open_engine_client() as client:
        stream = client.generate(engine.address, ENDLESS_REQUEST, TIMEOUTS)
        events = [await anext(stream)]
        if stall == "pause":
            engine.pause()
        else:
            await engine.set_faults(silence_open_connections=True)
        events += [event async for event in stream]
        last = events.pop()
        assert isinstance(last, engine_stream.StreamFailed)
        assert (last.kind, last.sent) == (STREAM_FAILURE_KIND.TIMEOUT, True)
        engine.resume()
        frames = engine_fixture.without_heartbeats(events)
        fixture = engine_fixture.EngineFixture(engine.address, client)
        rest = await fixture.resume("a1", len(frames), max_events=10)
        expected = engine_fixture.expected_frames("a1", engine_fixture.ENDLESS_TOKENS)
        assert frames + rest == expected[: len(frames) + 10]


async def test_a_prompt_to_a_paused_process_times_out_as_sent(tmp_path: pathlib.Path) -> None:
    async with run_standin("engine", tmp_path, ENGINE) as engine, open_engine_client() as client:
        engine.pause()
        events = [
            event async for event in client.generate(engine.address, ENDLESS_REQUEST, TIMEOUTS)
        ]
        assert isinstance(events[0], engine_stream.StreamFailed)
        assert (events[0].kind, events[0].sent) == (STREAM_FAILURE_KIND.TIMEOUT, True)
        engine.resume()
        assert (await client.load(engine.address, TIMEOUT_SECONDS)).is_ok()


@pytest.mark.parametrize("fresh", [True, False])
async def test_a_post_to_a_killed_or_paused_service_may_have_run_unless_it_was_not_sent(
    tmp_path: pathlib.Path, fresh: bool
) -> None:
    async with (
        run_standin("plain", tmp_path, {"service_seconds": 60.0}) as plain,
        sessions.open_pooled() as session,
        contextlib.aclosing(_PlainCaller(session, plain.address, fresh)) as caller,
    ):
        running = asyncio.create_task(caller.post(TIMEOUT_SECONDS))
        await caller.wait_until_running()
        await plain.kill()
        broken = await running
        assert isinstance(broken, plain_client.MayHaveRun)
        assert not broken.timed_out
        assert isinstance(await caller.post(TIMEOUT_SECONDS), plain_client.NotSent)
    async with (
        run_standin("plain", tmp_path, {}) as plain,
        sessions.open_pooled() as session,
        contextlib.aclosing(_PlainCaller(session, plain.address, fresh)) as caller,
    ):
        plain.pause()
        silent = await caller.post(NO_RESPONSE_TIMEOUT_SECONDS)
        assert isinstance(silent, plain_client.MayHaveRun)
        assert silent.timed_out


class _PlainCaller:
    """Sends POST requests to one plain service."""

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
        """Send one POST and return the response or error."""
        response = await self._client.call(
            self._address, "POST", "/postings", (), b"{}", timeout_seconds, self._fresh
        )
        outcome = response.ok() or response.err()
        assert outcome is not None
        return outcome

    async def wait_until_running(self) -> None:
        """Wait until the service executes a call."""
        running = 0
        while running == 0:
            async with self._session.get(f"http://{self._address}/_standin/books") as response:
                running = (await response.json())["running"]


async def test_an_append_without_a_response_takes_effect_with_unknown_outcome(
    tmp_path: pathlib.Path,
) -> None:
    async with run_standin("log", tmp_path, {}) as log, sessions.open_pooled() as session:
        client = log_client.LogClient(session, log.address)
        await log.set_faults(match="POST", cut_after=1)
        error = (await client.append("s", [{"n": 1}], TIMEOUT_SECONDS)).err()
        assert isinstance(error, exchange.OutcomeUnknown)
        page = (await client.read("s", 0, 10, 0, TIMEOUT_SECONDS)).unwrap()
        assert [record.value for record in page.records] == [{"n": 1}]


async def test_an_append_is_unknown_at_a_paused_log_and_not_executed_at_a_killed_one(
    tmp_path: pathlib.Path,
) -> None:
    async with run_standin("log", tmp_path, {}) as log, sessions.open_pooled() as session:
        client = log_client.LogClient(session, log.address)
        log.pause()
        paused = (await client.append("s", [{}], NO_RESPONSE_TIMEOUT_SECONDS)).err()
        assert isinstance(paused, exchange.OutcomeUnknown)
        assert paused.cause is exchange.Cause.TIMEOUT
        await log.kill()
        dead = (await client.append("s", [{}], TIMEOUT_SECONDS)).err()
        assert isinstance(dead, exchange.NotExecuted)
        assert dead.cause is exchange.Cause.UNREACHABLE

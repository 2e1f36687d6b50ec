"""Tests of the claim task with simulated time, an in-memory log and an in-memory service."""

from __future__ import annotations

import asyncio
import random

import pytest
import result

from dragonflycove.backends import plain_client
from dragonflycove.configuration import schema
from dragonflycove.infrastructure import log_client
from dragonflycove.node import claim_task
from dragonflycove.transport import exchange
from dragonflycove.values import identifiers, outcomes, requests

WALL = 1_000_000.0
SERVER = schema.Server(
    "orders-1", "orders", "cayambe", "127.0.0.1:1", (), 0, 0.0, 8, 1, 0, False, False
)


class MemoryLog:
    """In-memory log that can lose responses to appends or be unreachable."""

    def __init__(self):
        self.records = []
        self.is_down = False
        self.responses_to_lose = 0

    async def append(self, stream, records, timeout_seconds):
        await asyncio.sleep(0.01)
        if self.is_down:
            return result.Err(exchange.NotExecuted(exchange.Cause.UNREACHABLE, "down"))
        first = len(self.records)
        self.records += records
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            await asyncio.sleep(timeout_seconds)
            return result.Err(exchange.OutcomeUnknown(exchange.Cause.TIMEOUT, "lost"))
        return result.Ok(log_client.Appended(first, len(records)))

    async def read(self, stream, from_offset, limit, wait_seconds, timeout_seconds):
        await asyncio.sleep(0.01)
        if self.is_down:
            return result.Err(exchange.NotExecuted(exchange.Cause.UNREACHABLE, "down"))
        page = self.records[from_offset : from_offset + limit]
        found = [log_client.LogRecord(from_offset + i, WALL, value) for i, value in enumerate(page)]
        return result.Ok(log_client.ReadPage(0, from_offset + len(page), tuple(found)))


class MemoryService:
    """In-memory plain service that records its calls and returns prepared responses."""

    def __init__(self, responses):
        self.responses = list(responses)
        self.calls = []

    async def call(self, address, method, path, headers, body, timeout_seconds, fresh_connection):
        self.calls.append((path, fresh_connection))
        await asyncio.sleep(0.1)
        return self.responses.pop(0)


def make_call(request_id="r-1"):
    """Return a call whose deadline is in 10 s."""
    deadline = asyncio.get_running_loop().time() + 10.0
    key = f"{WALL:.0f}-abcdefgh"
    return requests.ServiceCall(
        request_id, "andrade", "orders", "POST", "/orders", "b", False, key, deadline
    )


def make_task(name, log, service):
    """Return a claim task and the asyncio task that runs it."""
    identity = identifiers.NodeIdentity(name, "start-1")
    task = claim_task.ClaimTask(
        log, service, identity, random.Random(name), wall_clock=lambda: WALL
    )
    return task, asyncio.create_task(task.run())


DONE = result.Ok(plain_client.PlainResponse(201, (("Content-Type", "text/plain"),), b"booked"))


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_two_nodes_send_a_key_once_if_responses_to_appends_are_lost():
    log, service = MemoryLog(), MemoryService([DONE])
    log.responses_to_lose = 2
    tasks = [make_task(name, log, service) for name in ("quito-1", "quito-2")]
    await asyncio.sleep(0.1)
    calls = [tasks[i][0].call(make_call(f"r-{i}"), (), b"b", [SERVER]) for i in (0, 1)]
    got = await asyncio.gather(*calls)
    assert [call_result.response.body for call_result in got] == [b"booked", b"booked"]
    assert service.calls == [("/orders", True)]
    for _, running in tasks:
        running.cancel()


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_call_is_refused_and_never_sent_if_the_log_is_unreachable():
    log, service = MemoryLog(), MemoryService([DONE])
    task, running = make_task("quito-1", log, service)
    await asyncio.sleep(0.1)
    log.is_down = True
    got = await task.call(make_call(), (), b"b", [SERVER])
    assert got.outcome.reason is outcomes.Reason.LOG_UNAVAILABLE
    assert isinstance(got.outcome, outcomes.Refused)
    log.is_down = False
    await asyncio.sleep(10.0)
    assert service.calls == []
    running.cancel()


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_next_server_is_tried_only_if_nothing_was_sent_to_the_previous_one():
    not_sent = result.Err(plain_client.NotSent("refused"))
    may_have_run = result.Err(plain_client.MayHaveRun("cut", False))
    log, service = MemoryLog(), MemoryService([not_sent, may_have_run, DONE])
    task, running = make_task("quito-1", log, service)
    await asyncio.sleep(0.1)
    got = await task.call(make_call(), (), b"b", [SERVER, SERVER, SERVER])
    assert got.outcome.ran is outcomes.Execution.MAY_HAVE_RUN
    assert len(service.calls) == 2
    again = await task.call(make_call("r-2"), (), b"b", [SERVER])
    assert again.outcome.ran is outcomes.Execution.MAY_HAVE_RUN
    assert len(service.calls) == 2
    running.cancel()

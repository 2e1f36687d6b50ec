"""Servers that send bytes without end where a head, a body or an event is due."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from dragonflycove.standins.platform.server_faults import Fault
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

CALLERS = 30
"""Requests that run into the fault at the same time."""

MAX_NODE_BYTES = 100_000_000
"""Memory that the responses may take together; a host has 200 MB, of which a node takes 51."""

DEADLINE_SECONDS = 2.0
"""Deadline of the requests."""

MOVE_SECONDS = 1.6
"""Time within which a stream without a complete event is moved; its callers leave after 2 s."""

RESPONSE_SECONDS = 0.5
"""Time after the deadline within which the final response comes."""


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("/look/x", Fault.ENDLESS_HEAD),
        ("/look/x", Fault.ENDLESS_INFORMATIONAL),
        ("/look/x", Fault.ENDLESS_BODY),
        ("/ask/x", Fault.ENDLESS_HEAD),
        ("/ask/x", Fault.ENDLESS_INFORMATIONAL),
        ("/ask/x", Fault.ENDLESS_EVENT),
    ],
)
async def test_endless_responses_take_bounded_memory_and_time(path: str, fault: Fault) -> None:
    async with deployment.deployed() as system:
        for server in system.server_by_id.values():
            server.faults.extend([fault] * 2 * CALLERS)
        loop = asyncio.get_running_loop()
        tracemalloc.start()
        started_at = loop.time()
        method = b"GET" if path.startswith("/look/") else b"POST"
        responses = await asyncio.gather(
            *(
                system.call(
                    path,
                    attempt=f"f{number}",
                    body=b"%d" % number,
                    method=method,
                    deadline_ms=int(DEADLINE_SECONDS * 1000),
                )
                for number in range(CALLERS)
            )
        )
        seconds = loop.time() - started_at
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        for server in system.server_by_id.values():
            server.faults.clear()
        await asyncio.sleep(1.0)
        after = await system.call(path, attempt="after", method=method)
    assert seconds <= DEADLINE_SECONDS + RESPONSE_SECONDS
    assert not any(one.status == 200 and one.is_complete for one in responses)
    assert peak <= MAX_NODE_BYTES
    assert after.status == 200


@pytest.mark.parametrize("fault", [Fault.ENDLESS_EVENT, Fault.TRICKLING_EVENT])
async def test_a_stream_without_a_complete_event_is_moved_to_another_server(fault: Fault) -> None:
    async with deployment.deployed() as system:
        system.fail_first(fault)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await system.call("/ask/x")
        seconds = loop.time() - started_at
    assert response.status == 200
    assert response.is_complete
    assert seconds <= MOVE_SECONDS


async def test_a_stream_without_length_that_ends_inside_an_event_is_resumed() -> None:
    async with deployment.deployed() as system:
        system.fail_first(Fault.UNFRAMED_PARTIAL)
        response = await system.call("/ask/x")
    assert response.status == 200
    assert response.is_complete
    assert response.body.count(b"data: piece") == 5


async def test_a_stream_without_length_that_ends_with_its_connection_is_complete() -> None:
    async with deployment.deployed() as system:
        system.fail_first(Fault.UNFRAMED)
        response = await system.call("/ask/x")
        runs = system.runs()
    assert response.status == 200
    assert response.is_complete
    assert response.body.count(b"data: piece") == 5
    assert len(runs) == 1

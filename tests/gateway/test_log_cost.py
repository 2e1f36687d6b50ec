"""What logs cost: processor time and bytes of a request, with and without them, in one run."""

from __future__ import annotations

import os
import statistics
import time

import loguru
import pytest

from dragonflycove.telemetry import logs
from tests.gateway import deployment

pytestmark = pytest.mark.asyncio

ROUNDS = 5
"""Rounds with and without logs, in turn, so that a busy machine slows both alike."""

CALLS = 60
"""Calls of a round."""

MOST_RATIO = 1.5
"""Logs may cost half of what the rest of a request costs, its caller and server included."""

MOST_BYTES = 1_500
"""Bytes of log that a call may leave; five lines of 300."""


async def _round(system: deployment.Deployment, name: str) -> float:
    """Return the processor time of a call, milliseconds."""
    began = time.process_time()
    for number in range(CALLS):
        answer = await system.call("/look/x", method=b"GET", attempt=f"{name}-{number}")
        assert answer.status == 200
    return (time.process_time() - began) / CALLS * 1000


async def test_logs_cost_less_than_half_of_a_request(
    tmp_path: os.PathLike[str], record_property: pytest.RecordProperty
) -> None:
    path = os.path.join(tmp_path, "log")
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    quiet, logged = [], []
    try:
        async with deployment.deployed() as system:
            await _round(system, "warm")
            for number in range(ROUNDS):
                loguru.logger.remove()
                quiet.append(await _round(system, f"q{number}"))
                logs.configure_bounded(descriptor)
                logged.append(await _round(system, f"l{number}"))
    finally:
        logs.configure()
        size = os.fstat(descriptor).st_size / (ROUNDS * CALLS)
        os.close(descriptor)
    ratio = statistics.median(logged) / statistics.median(quiet)
    record_property("ratio", ratio)
    record_property("bytes", size)
    print(f"with logs {ratio:.2f} times the processor time, {size:.0f} bytes a call")
    assert ratio < MOST_RATIO
    assert 100 < size < MOST_BYTES

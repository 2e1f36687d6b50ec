"""Logging must stay cheap: processor time with and without logs, and log bytes, per request."""

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
"""Rounds with and without logs, alternating, so that a busy machine slows both alike."""

CALLS_PER_ROUND = 60
"""Calls in one round."""

MAX_TIME_RATIO = 1.5
"""Logs may add half of the time that a request costs without them, caller and server included."""

MAX_LOG_BYTES_PER_CALL = 1_500
"""Log bytes that a call may write; five lines of 300."""


async def _round(system: deployment.Deployment, name: str) -> float:
    """Return the processor time per call of one round, milliseconds."""
    started_at = time.process_time()
    for number in range(CALLS_PER_ROUND):
        response = await system.call("/look/x", method=b"GET", attempt=f"{name}-{number}")
        assert response.status == 200
    return (time.process_time() - started_at) / CALLS_PER_ROUND * 1000


async def test_logs_cost_less_than_half_of_a_request(
    tmp_path: os.PathLike[str], record_property: pytest.RecordProperty
) -> None:
    path = os.path.join(tmp_path, "log")
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    ms_without_logs, ms_with_logs = [], []
    try:
        async with deployment.deployed() as system:
            await _round(system, "warm")
            for number in range(ROUNDS):
                loguru.logger.remove()
                ms_without_logs.append(await _round(system, f"q{number}"))
                logs.configure_bounded(descriptor)
                ms_with_logs.append(await _round(system, f"l{number}"))
    finally:
        logs.configure()
        size = os.fstat(descriptor).st_size / (ROUNDS * CALLS_PER_ROUND)
        os.close(descriptor)
    ratio = statistics.median(ms_with_logs) / statistics.median(ms_without_logs)
    record_property("ratio", ratio)
    record_property("bytes", size)
    print(f"with logs {ratio:.2f} times the processor time, {size:.0f} bytes a call")
    assert ratio < MAX_TIME_RATIO
    assert 100 < size < MAX_LOG_BYTES_PER_CALL

"""Waits for a condition in tests that use real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL_SECONDS = 0.02
"""Time between two evaluations of the condition."""

MAX_CHECKS = 1000
"""Evaluations after which the test fails."""


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the bound only ends a test that would otherwise hang."""
    for _ in range(MAX_CHECKS):
        if condition():
            return
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    raise AssertionError("the condition did not hold within the maximum number of checks")

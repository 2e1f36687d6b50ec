"""Waiting for a condition in tests on real sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_SECONDS = 0.02
"""Time between two looks, seconds."""

MAX_CHECKS = 1000
"""Looks after which a test fails."""


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the bound only ends a test that fails."""
    for _ in range(MAX_CHECKS):
        if condition():
            return
        await asyncio.sleep(CHECK_SECONDS)
    raise AssertionError("the condition never held")

"""Clocks of the stand-ins: the event loop's clock, or that clock offset to Unix time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns loop time or Unix time, seconds."""


def loop_clock() -> Clock:
    """Return the clock of the running event loop, which tests can pause and advance.

    Returns:
        The clock.
    """
    return asyncio.get_running_loop().time


def unix_clock() -> Clock:
    """Return the clock of the running event loop, offset to Unix time.

    Returns:
        The clock; a later change of the system time does not affect it.
    """
    loop_time = asyncio.get_running_loop().time
    offset_seconds = time.time() - loop_time()
    return lambda: loop_time() + offset_seconds

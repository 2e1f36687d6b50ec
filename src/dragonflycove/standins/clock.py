"""Clocks for stand-ins: the loop's clock, shifted to Unix time for real processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Gives the time, seconds."""


def loop_clock() -> Clock:
    """Return the clock of the running loop, which tests pause and advance.

    Returns:
        The clock.
    """
    return asyncio.get_running_loop().time


def unix_clock() -> Clock:
    """Return the clock of the running loop shifted to Unix time.

    Returns:
        The clock.
    """
    loop_time = asyncio.get_running_loop().time
    offset_seconds = time.time() - loop_time()
    return lambda: loop_time() + offset_seconds

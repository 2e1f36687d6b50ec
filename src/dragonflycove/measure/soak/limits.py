"""Limits that the servers of a soak state, and the check of how many requests they get."""

from __future__ import annotations

import bisect
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.standins.platform import server as platform_server

CONTACT_SECONDS = 3.0
"""Time after a limit was first stated from which it binds all nodes."""

WINDOW_SECONDS = 4.0
"""Window in which requests are counted."""

OVERAGE = 1.5
"""Requests of a window that are tolerated, as a multiple of what the limit allows."""

TOLERANCE = 5
"""Requests of a window that are tolerated in addition."""

MIN_LIMIT, MAX_LIMIT = 0.3, 4.0
"""Range of the limits, requests a second."""


class _StatedLimit(NamedTuple):
    server: platform_server.PlatformServer
    requests_per_second: float
    begin: float
    end: float


class LimitLog:
    """The limits that servers have stated, with their times."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._stated: list[_StatedLimit] = []

    def add(
        self, server: platform_server.PlatformServer, requests_per_second: float, begin: float
    ) -> None:
        """Record that a server has stated a limit until now.

        Args:
            server: The server.
            requests_per_second: The limit.
            begin: Time of the monotonic clock at which the first response with it was sent.
        """
        self._stated.append(_StatedLimit(server, requests_per_second, begin, time.monotonic()))

    def violations(self) -> list[str]:
        """Return one line for each limit that was exceeded in some window."""
        lines = []
        for one in self._stated:
            times = one.server.arrival_times
            start = bisect.bisect_left(times, one.begin + CONTACT_SECONDS)
            end = bisect.bisect_right(times, one.end)
            most = max(
                (
                    bisect.bisect_left(times, times[index] + WINDOW_SECONDS, hi=end) - index
                    for index in range(start, end)
                ),
                default=0,
            )
            if most > OVERAGE * one.requests_per_second * WINDOW_SECONDS + TOLERANCE:
                lines.append(
                    f"LIMIT: {one.server.server_id} stated {one.requests_per_second} a second and"
                    f" got {most} requests in {WINDOW_SECONDS:.0f} s"
                )
        return lines

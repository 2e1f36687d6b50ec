"""Measures what this node takes of its host: processor, link, memory, connections, loop lag."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

from dragonflycove.fleet import peer_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import roster


class CallerCounts(Protocol):
    """Counts of the callers' listener."""

    carried_bytes: int
    """Bytes read from and written to callers so far."""

    @property
    def connection_count(self) -> int:
        """Connections that are open."""
        ...


class HostMeter:
    """Measures the load between two reports."""

    def __init__(
        self,
        own: roster.Member,
        link_bytes_per_second: float,
        now: float,
        process_seconds: Callable[[], float] = time.process_time,
        memory_load: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create a meter; the first interval begins now.

        Args:
            own: This node.
            link_bytes_per_second: Capacity of the host's link; 0 if not given.
            now: Loop time.
            process_seconds: Returns the processor time that this process has used.
            memory_load: Returns the share of the memory for held bytes that is in use.
        """
        self._own = own
        self._link_bytes_per_second = link_bytes_per_second
        self._process_seconds = process_seconds
        self._memory_load = memory_load
        self._measured_at = now
        self._processor_seconds = process_seconds()
        self._carried_bytes = 0
        self._lags: list[float] = []

    def on_timer(self, lag_seconds: float) -> None:
        """Record how late a timer of the event loop was.

        Args:
            lag_seconds: The delay.
        """
        self._lags.append(max(0.0, lag_seconds))

    def measure(self, counts: CallerCounts, now: float) -> peer_messages.HostLoad:
        """Return the load since the last call.

        Args:
            counts: Counts of the callers' listener.
            now: Loop time.
        """
        seconds = max(1e-3, now - self._measured_at)
        processor_seconds = self._process_seconds()
        carried_bytes = counts.carried_bytes
        # Each byte passes the link once in each direction, as it is forwarded.
        link_load = 0.0
        if self._link_bytes_per_second > 0.0:
            rate = (carried_bytes - self._carried_bytes) / seconds
            link_load = min(1.0, rate / self._link_bytes_per_second)
        used = (processor_seconds - self._processor_seconds) / seconds
        load = peer_messages.HostLoad(
            host=self._own.host,
            incarnation=self._own.incarnation,
            link_bytes_per_second=self._link_bytes_per_second,
            link_load=link_load,
            processor_load=min(1.0, used / self._own.cores) if self._own.cores > 0.0 else 0.0,
            memory_load=min(1.0, max(0.0, self._memory_load())),
            connections=counts.connection_count,
            lag_seconds=sum(self._lags) / len(self._lags) if self._lags else 0.0,
        )
        self._measured_at = now
        self._processor_seconds = processor_seconds
        self._carried_bytes = carried_bytes
        self._lags.clear()
        return load

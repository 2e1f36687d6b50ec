"""Metrics of a node on the platform, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors, renderer

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dragonflycove.fleet import catalog

FIRST_SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Bounds for times to the first event or answer, around the goals of the users' sheets."""

GAP_SECONDS_BUCKETS = (0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0)
"""Bounds for pauses between events, around the longest pauses that are in time."""

WHOLE_SECONDS_BUCKETS = (0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)
"""Bounds for times to the whole answer."""

EVENTS_METRIC = "dragonflycove_events_total"
"""Events of the log, by name and detail, counted whether logged or not."""

FIRST_EVENT_METRIC = "dragonflycove_first_seconds"
"""Time from a send to the first event or the answer, by kind of request."""

GAP_METRIC = "dragonflycove_gap_seconds"
"""Pause between two events of a stream."""

TOTAL_METRIC = "dragonflycove_whole_seconds"
"""Time from reading a request to the end of its answer, by kind of request."""

GAUGES = {
    "dragonflycove_operators_age_seconds": "Age of the belief of the operators' records",
    "dragonflycove_servers_age_seconds": "Age of the belief of the servers' records",
    "dragonflycove_configuration_version": "Version of the configuration in force",
    "dragonflycove_servers": "Backend servers that are registered",
    "dragonflycove_nodes": "Nodes that run, this one included",
    "dragonflycove_hub_rank": "Rank of this node among the hubs; -1 if it is none",
    "dragonflycove_active_requests": "Requests that are being read or served",
    "dragonflycove_waiting_requests": "Requests that wait for room at this node",
    "dragonflycove_store_calls": "Calls made to the platform's store",
    "dragonflycove_peer_bytes": "Bytes of datagrams sent to other nodes",
    "dragonflycove_server_connections": "Connections opened to backend servers",
}
"""Gauges with what they show."""


class FleetMetrics:
    """The metrics of one process."""

    def __init__(self, read_gauges: Callable[[], Mapping[str, float]]) -> None:
        """Create the metrics in a registry of their own.

        Args:
            read_gauges: Returns the values of the gauges by name.
        """
        self._read_gauges = read_gauges
        self._registry = collectors.Registry()
        self._events = collectors.Counter(
            EVENTS_METRIC, "Events of the log, by name and detail", registry=self._registry
        )
        self._gauge_by_name = {
            name: collectors.Gauge(name, doc, registry=self._registry)
            for name, doc in GAUGES.items()
        }
        self._first = self._histogram(
            FIRST_EVENT_METRIC,
            "Time from a send to the first event or the answer",
            FIRST_SECONDS_BUCKETS,
        )
        self._gap = self._histogram(GAP_METRIC, "Pause between two events", GAP_SECONDS_BUCKETS)
        self._whole = self._histogram(
            TOTAL_METRIC, "Time from reading a request to its end", WHOLE_SECONDS_BUCKETS
        )

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> collectors.Histogram:
        return collectors.Histogram(name, doc, registry=self._registry, buckets=list(buckets))

    def record_first_event(self, kind: catalog.CallKind, seconds: float) -> None:
        """Record a time to the first event or the answer.

        Args:
            kind: Kind of the request.
            seconds: The time.
        """
        self._first.observe({"kind": kind.value}, seconds)

    def record_gap(self, seconds: float) -> None:
        """Record a pause between two events.

        Args:
            seconds: The pause.
        """
        self._gap.observe({}, seconds)

    def record_total(self, kind: catalog.CallKind, seconds: float) -> None:
        """Record a time to the whole answer.

        Args:
            kind: Kind of the request.
            seconds: The time.
        """
        self._whole.observe({"kind": kind.value}, seconds)

    def render(self) -> tuple[bytes, str]:
        """Render the metrics for a scraper.

        Returns:
            The content and its media type.
        """
        for (name, detail), count in logs.counts_by_event().items():
            self._events.set({"event": name, "detail": detail}, count)
        for name, value in self._read_gauges().items():
            self._gauge_by_name[name].set({}, value)
        content, headers = renderer.render(self._registry, ["text/plain"])
        return content, headers["Content-Type"]

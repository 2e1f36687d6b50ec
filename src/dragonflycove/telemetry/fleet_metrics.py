"""Metrics of a node on the platform, in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors, renderer

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dragonflycove.fleet import catalog

FIRST_EVENT_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds for times to the first event or response, finest around the latency targets."""

GAP_BUCKETS_SECONDS = (0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0)
"""Upper bounds for gaps between events, finest around the latency target for gaps."""

TOTAL_BUCKETS_SECONDS = (0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)
"""Upper bounds for times to the complete response."""

EVENTS_METRIC = "dragonflycove_events_total"
"""Counter of log events by name and detail, including events whose lines the rate limit dropped."""

FIRST_EVENT_METRIC = "dragonflycove_first_seconds"
"""Time from the start of an attempt to its first event or response, by kind of request."""

GAP_METRIC = "dragonflycove_gap_seconds"
"""Gap between two events of a stream."""

TOTAL_METRIC = "dragonflycove_whole_seconds"
"""Time from reading a request to the end of its response, by kind of request."""

GAUGES = {
    "dragonflycove_operators_age_seconds": "Age of the belief of the operators' records",
    "dragonflycove_servers_age_seconds": "Age of the belief of the servers' records",
    "dragonflycove_configuration_version": "Version of the configuration in force",
    "dragonflycove_configuration_unreadable": "1 while a newer version can't be read, else 0",
    "dragonflycove_servers": "Backend servers that are registered",
    "dragonflycove_nodes": "Nodes that run, this one included",
    "dragonflycove_hub_rank": "Rank of this node among the hubs; -1 if it is none",
    "dragonflycove_active_requests": "Requests that are being read or served",
    "dragonflycove_connections": "Open connections of callers",
    "dragonflycove_connections_refused": "Connections of callers refused or closed for others",
    "dragonflycove_waiting_requests": "Requests that wait for room at this node",
    "dragonflycove_waiting_organisations": "Organisations whose requests wait at this node",
    "dragonflycove_largest_share": "Largest share of one organisation of what is occupied",
    "dragonflycove_late_requests": "Waiting requests that can't be in time and give way to others",
    "dragonflycove_booked_returns": "Refused callers with a booked time to return",
    "dragonflycove_suspect_requests": "Requests, by fingerprint, that lost a server at this node",
    "dragonflycove_slow_servers": "Servers that take 1.5 times the declared time or more",
    "dragonflycove_limited_concurrency": "Servers that get fewer requests at once than declared",
    "dragonflycove_limited_servers": "Servers that state a limit of requests a second",
    "dragonflycove_leaving_servers": "Servers that said in a response that they leave",
    "dragonflycove_resting_servers": "Servers that asked this node for rest",
    "dragonflycove_unreached_services": "Services of which this node reaches no server",
    "dragonflycove_relayed_requests": "Requests relayed to other nodes",
    "dragonflycove_store_calls": "Calls made to the platform's store",
    "dragonflycove_peer_bytes": "Bytes of datagrams sent to other nodes",
    "dragonflycove_host_load": "Largest share in use of any resource of this host, 0 to 1",
    "dragonflycove_loop_lag_seconds": "Mean delay of the event loop since the last report",
    "dragonflycove_named_hosts": "Hosts named in the last response of the directory",
    "dragonflycove_held_bytes": "Bytes held for requests and responses of callers",
    "dragonflycove_held_bytes_limit": "Limit on these bytes",
    "dragonflycove_bytes_refused": "Requests refused because of their bytes",
    "dragonflycove_server_connections": "Connections opened to backend servers",
}
"""Help texts of the gauges by metric name."""


class FleetMetrics:
    """Metrics of one process."""

    def __init__(self, read_gauges: Callable[[], Mapping[str, float]]) -> None:
        """Create the metrics in a new registry.

        Args:
            read_gauges: Called on each scrape; returns the values of `GAUGES` by name.
        """
        self._read_gauges = read_gauges
        self._registry = collectors.Registry()
        self._events = collectors.Counter(
            EVENTS_METRIC, "Events of the log, by name and detail", registry=self._registry
        )
        self._gauge_by_name = {
            name: collectors.Gauge(name, help_text, registry=self._registry)
            for name, help_text in GAUGES.items()
        }
        self._first_event = self._histogram(
            FIRST_EVENT_METRIC,
            "Time from a send to the first event or the answer",
            FIRST_EVENT_BUCKETS_SECONDS,
        )
        self._gap = self._histogram(GAP_METRIC, "Pause between two events", GAP_BUCKETS_SECONDS)
        self._total = self._histogram(
            TOTAL_METRIC, "Time from reading a request to its end", TOTAL_BUCKETS_SECONDS
        )

    def _histogram(
        self, name: str, help_text: str, buckets: tuple[float, ...]
    ) -> collectors.Histogram:
        return collectors.Histogram(name, help_text, registry=self._registry, buckets=list(buckets))

    def record_first_event(self, kind: catalog.CallKind, seconds: float) -> None:
        """Record the time to the first event or the response.

        Args:
            kind: Kind of the request.
            seconds: Time since the start of the attempt.
        """
        self._first_event.observe({"kind": kind.value}, seconds)

    def record_gap(self, seconds: float) -> None:
        """Record the gap between two events of a stream.

        Args:
            seconds: Length of the gap.
        """
        self._gap.observe({}, seconds)

    def record_total(self, kind: catalog.CallKind, seconds: float) -> None:
        """Record the time to the end of the response.

        Args:
            kind: Kind of the request.
            seconds: Time since reading the request.
        """
        self._total.observe({"kind": kind.value}, seconds)

    def render(self) -> tuple[bytes, str]:
        """Render the metrics in the Prometheus text format.

        Returns:
            The encoded metrics and their media type.
        """
        for (name, detail), count in logs.counts_by_event().items():
            self._events.set({"event": name, "detail": detail}, count)
        for name, value in self._read_gauges().items():
            self._gauge_by_name[name].set({}, value)
        content, headers = renderer.render(self._registry, ["text/plain"])
        return content, headers["Content-Type"]

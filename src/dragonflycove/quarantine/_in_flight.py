"""Requests in flight that one node knows of: its own, and those that peers report to it.

A node reports each of its requests to a few peers, its witnesses. If the node is lost, they report
the crashes that its requests were in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.quarantine import records

if TYPE_CHECKING:
    from collections.abc import Iterator

WITNESSED_TIMEOUT_SECONDS = 1800.0
"""Time after a peer reported a request until it counts as ended, if no end was reported."""

MAX_WITNESSED_REQUESTS = 50_000
"""Requests of peers in the table; when it is full, the oldest is evicted."""


class _ObservedCrash(NamedTuple):
    """A server crash and the loop time at which this node observed it, seconds."""

    start_id: str
    at: float


class _WitnessedRequest(NamedTuple):
    """A peer's request in flight, and the crash of its server if this node has observed one."""

    request: records.Flight
    expires_at: float
    is_node_lost: bool = False
    crash: _ObservedCrash | None = None


class InFlightTable:
    """Requests in flight of this node and of the peers that it witnesses for."""

    def __init__(self, node: str) -> None:
        """Create an empty table.

        Args:
            node: `host/incarnation` of this node.
        """
        self._node = node
        self._own_by_request: dict[str, records.Flight] = {}
        self._witnessed_by_key: dict[tuple[str, str, str], _WitnessedRequest] = {}

    def start(self, fingerprint: str, server_id: str, request_id: str) -> records.Flight:
        """Record that this node is about to send a request."""
        in_flight_request = records.Flight(fingerprint, server_id, request_id, self._node, True)
        self._own_by_request[request_id] = in_flight_request
        return in_flight_request

    def end(self, request_id: str) -> records.Flight | None:
        """Remove a request of this node; return its end record, or `None` if it is unknown."""
        in_flight_request = self._own_by_request.pop(request_id, None)
        return None if in_flight_request is None else in_flight_request._replace(running=False)

    def add_witnessed(self, in_flight_request: records.Flight, now: float) -> None:
        """Record the start or the end of a peer's request."""
        # The successor of a replaced node may resend the same request to another server.
        key = (in_flight_request.node, in_flight_request.request_id, in_flight_request.server_id)
        self._witnessed_by_key.pop(key, None)
        if not in_flight_request.running:
            return
        oldest = next(iter(self._witnessed_by_key.items()), None)
        if oldest is not None:
            expired = now >= oldest[1].expires_at
            if expired or len(self._witnessed_by_key) >= MAX_WITNESSED_REQUESTS:
                del self._witnessed_by_key[oldest[0]]
        self._witnessed_by_key[key] = _WitnessedRequest(
            in_flight_request, now + WITNESSED_TIMEOUT_SECONDS
        )

    def on_server_crash(self, server_id: str, start_id: str, now: float) -> set[str]:
        """Handle a server crash; return the fingerprints that this node had in flight there.

        Live peers report their own requests. Witnessed requests on the server are kept, marked
        with the crash, in case their node is lost before it reports them.
        """
        fingerprints = set()
        for request_id, in_flight_request in list(self._own_by_request.items()):
            if in_flight_request.server_id == server_id:
                fingerprints.add(in_flight_request.fingerprint)
                del self._own_by_request[request_id]
        for key, witnessed in self._witnessed_by_key.items():
            if witnessed.request.server_id == server_id and witnessed.crash is None:
                crash = _ObservedCrash(start_id, now)
                self._witnessed_by_key[key] = witnessed._replace(crash=crash)
        return fingerprints

    def on_node_lost(self, node: str, expires_at: float) -> None:
        """Mark the node of a peer's requests as lost; they count as ended at `expires_at`."""
        for key, witnessed in self._witnessed_by_key.items():
            if key[0] == node and not witnessed.is_node_lost:
                lost = witnessed._replace(expires_at=expires_at, is_node_lost=True)
                self._witnessed_by_key[key] = lost

    def take_unreported_crashes(self, seen_before: float) -> list[records.Crash]:
        """Remove and return the crashes of lost nodes' requests, observed by a given loop time."""
        crashes = []
        for key, witnessed in list(self._witnessed_by_key.items()):
            crash = witnessed.crash
            if not witnessed.is_node_lost or crash is None or crash.at > seen_before:
                continue
            in_flight_request = witnessed.request
            fingerprints = (in_flight_request.fingerprint,)
            report = records.Crash(
                in_flight_request.server_id, crash.start_id, fingerprints, self._node
            )
            crashes.append(report)
            del self._witnessed_by_key[key]
        return crashes

    def drop_witnessed(self, node: str, server_id: str) -> None:
        """Drop a peer's requests on a server whose crash the peer has reported."""
        for key, witnessed in list(self._witnessed_by_key.items()):
            if key[0] == node and witnessed.request.server_id == server_id:
                del self._witnessed_by_key[key]

    def own_with_fingerprints(self, fingerprints: set[str]) -> list[records.Flight]:
        """Return this node's requests that have one of the fingerprints."""
        return [
            in_flight_request
            for in_flight_request in self._own_by_request.values()
            if in_flight_request.fingerprint in fingerprints
        ]

    def lost_nodes(self) -> set[str]:
        """Return the lost nodes whose requests may still be in flight."""
        return {
            witnessed.request.node
            for witnessed in self._witnessed_by_key.values()
            if witnessed.is_node_lost
        }

    def is_running(self, fingerprint: str, now: float) -> bool:
        """Return whether a request with the fingerprint is known to be in flight on any server."""
        for key, witnessed in list(self._witnessed_by_key.items()):
            if now >= witnessed.expires_at:
                del self._witnessed_by_key[key]
        return any(
            in_flight_request.fingerprint == fingerprint
            for in_flight_request in self.all_in_flight()
        )

    def all_in_flight(self) -> Iterator[records.Flight]:
        """Return all requests known to be in flight."""
        yield from self._own_by_request.values()
        for witnessed in self._witnessed_by_key.values():
            yield witnessed.request

    def reportable(self) -> Iterator[records.Flight]:
        """Return the requests that only this node can report: its own, and those of lost nodes."""
        yield from self._own_by_request.values()
        for witnessed in self._witnessed_by_key.values():
            if witnessed.is_node_lost:
                yield witnessed.request

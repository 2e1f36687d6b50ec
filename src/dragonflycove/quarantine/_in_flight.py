"""Requests in flight that one node knows of, its own and those that it witnesses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.quarantine import records

if TYPE_CHECKING:
    from collections.abc import Iterator

WITNESSED_SECONDS = 1800.0
"""Time after which no word of the end of a peer's request is awaited."""

WITNESSED_CAPACITY = 50_000
"""Requests of peers that are remembered; when there are more, the oldest goes."""


class _SeenCrash(NamedTuple):
    start_id: str
    at: float


class _Witnessed(NamedTuple):
    flight: records.Flight
    expires_at: float
    is_lost: bool = False
    crash: _SeenCrash | None = None


class Flights:
    """Requests in flight, by identifier."""

    def __init__(self, node: str) -> None:
        """Create an empty collection.

        Args:
            node: `host/incarnation` of this node.
        """
        self._node = node
        self._own_by_request: dict[str, records.Flight] = {}
        self._witnessed_by_key: dict[tuple[str, str, str], _Witnessed] = {}

    def start(self, fingerprint: str, server_id: str, request_id: str) -> records.Flight:
        """Note that a request of this node is sent."""
        flight = records.Flight(fingerprint, server_id, request_id, self._node, True)
        self._own_by_request[request_id] = flight
        return flight

    def end(self, request_id: str) -> records.Flight | None:
        """Note that a request of this node ended; return it as ended."""
        flight = self._own_by_request.pop(request_id, None)
        return None if flight is None else flight._replace(running=False)

    def witness(self, flight: records.Flight, now: float) -> None:
        """Note a request of a peer."""
        # A node that was replaced may send the same request again to another server.
        key = (flight.node, flight.request_id, flight.server_id)
        self._witnessed_by_key.pop(key, None)
        if not flight.running:
            return
        oldest = next(iter(self._witnessed_by_key.items()), None)
        if oldest is not None:
            expired = now >= oldest[1].expires_at
            if expired or len(self._witnessed_by_key) >= WITNESSED_CAPACITY:
                del self._witnessed_by_key[oldest[0]]
        self._witnessed_by_key[key] = _Witnessed(flight, now + WITNESSED_SECONDS)

    def take_crashed(self, server_id: str, start_id: str, now: float) -> set[str]:
        """Take in that a server crashed; return the fingerprints that this node had there.

        Peers report their own requests; what they had there is kept in case they do not live to.
        """
        fingerprints = set()
        for request_id, flight in list(self._own_by_request.items()):
            if flight.server_id == server_id:
                fingerprints.add(flight.fingerprint)
                del self._own_by_request[request_id]
        for key, witnessed in self._witnessed_by_key.items():
            if witnessed.flight.server_id == server_id and witnessed.crash is None:
                crash = _SeenCrash(start_id, now)
                self._witnessed_by_key[key] = witnessed._replace(crash=crash)
        return fingerprints

    def lose_node(self, node: str, expires_at: float) -> None:
        """Await the end of a lost peer's requests no longer than until `expires_at`."""
        for key, witnessed in self._witnessed_by_key.items():
            if key[0] == node and not witnessed.is_lost:
                lost = witnessed._replace(expires_at=expires_at, is_lost=True)
                self._witnessed_by_key[key] = lost

    def take_unreported(self, seen_before: float) -> list[records.Crash]:
        """Return the crashes that lost peers had requests in, if seen before a moment."""
        crashes = []
        for key, witnessed in list(self._witnessed_by_key.items()):
            crash = witnessed.crash
            if not witnessed.is_lost or crash is None or crash.at > seen_before:
                continue
            flight = witnessed.flight
            fingerprints = (flight.fingerprint,)
            report = records.Crash(flight.server_id, crash.start_id, fingerprints, self._node)
            crashes.append(report)
            del self._witnessed_by_key[key]
        return crashes

    def forget_witnessed(self, node: str, server_id: str) -> None:
        """Drop what a peer had in flight on a server that it says has crashed."""
        for key, witnessed in list(self._witnessed_by_key.items()):
            if key[0] == node and witnessed.flight.server_id == server_id:
                del self._witnessed_by_key[key]

    def own(self, fingerprints: set[str]) -> list[records.Flight]:
        """Return this node's requests with one of the fingerprints."""
        return [f for f in self._own_by_request.values() if f.fingerprint in fingerprints]

    def lost_nodes(self) -> set[str]:
        """Return the lost nodes whose requests may still be in flight."""
        return {w.flight.node for w in self._witnessed_by_key.values() if w.is_lost}

    def runs(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request with the fingerprint is known to be in flight anywhere."""
        for key, witnessed in list(self._witnessed_by_key.items()):
            if now >= witnessed.expires_at:
                del self._witnessed_by_key[key]
        return any(flight.fingerprint == fingerprint for flight in self.known())

    def known(self) -> Iterator[records.Flight]:
        """Return all requests known to be in flight."""
        yield from self._own_by_request.values()
        for witnessed in self._witnessed_by_key.values():
            yield witnessed.flight

    def untold(self) -> Iterator[records.Flight]:
        """Return the requests that no other node tells of: this one's and those of lost nodes."""
        yield from self._own_by_request.values()
        for witnessed in self._witnessed_by_key.values():
            if witnessed.is_lost:
                yield witnessed.flight

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


class _Witnessed(NamedTuple):
    flight: records.Flight
    expires_at: float
    is_lost: bool = False


class Flights:
    """Requests in flight, by identifier."""

    def __init__(self, host: str) -> None:
        """Create an empty collection.

        Args:
            host: Name of this node's host.
        """
        self._host = host
        self._own_by_request: dict[str, records.Flight] = {}
        self._witnessed_by_key: dict[tuple[str, str], _Witnessed] = {}

    def start(self, fingerprint: str, server_id: str, request_id: str) -> records.Flight:
        """Note that a request of this node is sent."""
        flight = records.Flight(fingerprint, server_id, request_id, self._host, True)
        self._own_by_request[request_id] = flight
        return flight

    def end(self, request_id: str) -> records.Flight | None:
        """Note that a request of this node ended; return it as ended."""
        flight = self._own_by_request.pop(request_id, None)
        return None if flight is None else flight._replace(running=False)

    def witness(self, flight: records.Flight, now: float) -> None:
        """Note a request of a peer."""
        key = (flight.node, flight.request_id)
        self._witnessed_by_key.pop(key, None)
        if not flight.running:
            return
        oldest = next(iter(self._witnessed_by_key.items()), None)
        if oldest is not None:
            expired = now >= oldest[1].expires_at
            if expired or len(self._witnessed_by_key) >= WITNESSED_CAPACITY:
                del self._witnessed_by_key[oldest[0]]
        self._witnessed_by_key[key] = _Witnessed(flight, now + WITNESSED_SECONDS)

    def take_crashed(self, server_id: str, is_explained: bool) -> set[str]:
        """Drop all that was in flight on a server that crashed; return its fingerprints.

        Requests of lost nodes may have ended long before. They count only where nothing else
        explains the crash.
        """
        fingerprints = set()
        for request_id, flight in list(self._own_by_request.items()):
            if flight.server_id == server_id:
                fingerprints.add(flight.fingerprint)
                del self._own_by_request[request_id]
        for key, witnessed in list(self._witnessed_by_key.items()):
            if witnessed.flight.server_id == server_id:
                if not (witnessed.is_lost and is_explained):
                    fingerprints.add(witnessed.flight.fingerprint)
                del self._witnessed_by_key[key]
        return fingerprints

    def expire_witnessed(self, node: str, at: float) -> None:
        """Await the end of a lost peer's requests no longer than until `at`."""
        for key, witnessed in self._witnessed_by_key.items():
            if key[0] == node and witnessed.expires_at > at:
                self._witnessed_by_key[key] = witnessed._replace(expires_at=at, is_lost=True)

    def forget_witnessed(self, node: str, server_id: str) -> None:
        """Drop what a peer had in flight on a server that it says has crashed."""
        for key, witnessed in list(self._witnessed_by_key.items()):
            if key[0] == node and witnessed.flight.server_id == server_id:
                del self._witnessed_by_key[key]

    def own(self, fingerprints: set[str]) -> list[records.Flight]:
        """Return this node's requests with one of the fingerprints."""
        return [f for f in self._own_by_request.values() if f.fingerprint in fingerprints]

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

"""Reservations of KV cache at engines for one request, including those whose state is unknown."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_RESERVE_ATTEMPTS = 3
"""Maximum number of times that an order for a new reservation is sent without a response."""

RELEASE_RETRY_INTERVAL_SECONDS = 1.0
"""Time after which an unconfirmed release is sent again."""


class Reserve(NamedTuple):
    """Make or renew a reservation at an engine; idempotent by group."""

    server_id: str
    """Identifier of the engine."""

    group_id: str
    """Identifier of the group."""

    tokens: int
    """KV cache to reserve, tokens."""

    owner: str
    """`host/incarnation` of the node that builds the group."""

    expires_in_seconds: float
    """Time after the order's arrival until the engine frees the reservation, seconds."""


class Release(NamedTuple):
    """Release a reservation at an engine; idempotent by group."""

    server_id: str
    """Identifier of the engine."""

    group_id: str
    """Identifier of the group."""


class ReservationState(enum.Enum):
    """State of a reservation as this node knows it."""

    REQUESTED = "asked"
    """The order was sent and has no response yet."""
    HELD = "held"
    """The engine granted it."""
    RELEASING = "releasing"
    """The request no longer needs it, but it may still exist at the engine."""


class Reservation:
    """One reservation at one engine."""

    def __init__(self, order: Reserve, now: float) -> None:
        """Create a reservation whose order is sent at loop time `now`."""
        self.order = order
        """The order that makes or renews it."""
        self.state = ReservationState.REQUESTED
        """Its state as this node knows it."""
        self.sent_at = now
        """Loop time at which the last order or release was sent, seconds."""
        self.guaranteed_until = now
        """Loop time until which the engine certainly keeps it, once granted, seconds."""
        self.expired_at = now + order.expires_in_seconds
        """Loop time from which this node assumes that the engine has freed it, seconds.

        The expiry starts when an order arrives, so an order in transit can make it last longer.
        """
        self.attempts = 1
        """Number of times that the order was sent since the last response."""
        self.unanswered_since: float | None = now
        """Loop time of the first order without a response, seconds; `None` if there is none."""


class Reservations:
    """All reservations of one request, by engine and group."""

    def __init__(self, owner: str, expiry_seconds: float) -> None:
        """Create an empty collection.

        Args:
            owner: `host/incarnation` of this node.
            expiry_seconds: Time after which an engine frees a reservation that is not renewed.
        """
        self._owner = owner
        self._expiry_seconds = expiry_seconds
        self._by_key: dict[tuple[str, str], Reservation] = {}

    @property
    def is_empty(self) -> bool:
        """Whether every reservation was denied, confirmed as released or has expired."""
        return not self._by_key

    def is_held(self, server_id: str) -> bool:
        """Return whether an engine holds a granted reservation that is not being released."""
        return any(
            key[0] == server_id and reservation.state is ReservationState.HELD
            for key, reservation in self._by_key.items()
        )

    def is_wanted(self, server_id: str, group_id: str) -> bool:
        """Return whether a reservation is requested or held, and not being released."""
        reservation = self._by_key.get((server_id, group_id))
        return reservation is not None and reservation.state is not ReservationState.RELEASING

    def may_have_expired(self, now: float) -> bool:
        """Return whether an engine may have freed a reservation that is in state `HELD`."""
        return any(
            r.state is ReservationState.HELD and now >= r.guaranteed_until
            for r in self._by_key.values()
        )

    def reserve(self, server_id: str, group_id: str, tokens: int, now: float) -> Reserve:
        """Add a reservation and return its order."""
        order = Reserve(server_id, group_id, tokens, self._owner, self._expiry_seconds)
        self._by_key[server_id, group_id] = Reservation(order, now)
        return order

    def on_granted(self, server_id: str, group_id: str, now: float) -> bool:
        """Mark a reservation as held; return false if it is unknown or being released."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is None or reservation.state is ReservationState.RELEASING:
            return False
        reservation.state = ReservationState.HELD
        reservation.attempts = 0
        # The expiry starts at the arrival of the order that the engine responds to. That may be the
        # first order without a response, which did not arrive before it was sent.
        if reservation.unanswered_since is not None:
            reservation.guaranteed_until = reservation.unanswered_since + self._expiry_seconds
        reservation.unanswered_since = None
        return True

    def remove(self, server_id: str, group_id: str) -> bool:
        """Remove a reservation that the engine does not have; return whether it was wanted."""
        was_wanted = self.is_wanted(server_id, group_id)
        self._by_key.pop((server_id, group_id), None)
        return was_wanted

    def on_reservation_response_lost(
        self, server_id: str, group_id: str, now: float
    ) -> Reserve | None:
        """Return the order to resend after a lost response, or `None` to give up."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is None or reservation.state is ReservationState.RELEASING:
            return None
        if (
            reservation.state is ReservationState.REQUESTED
            and reservation.attempts >= MAX_RESERVE_ATTEMPTS
        ):
            return None
        reservation.unanswered_since = None
        return self._resend(reservation, now)

    def on_engine_died(self, server_id: str) -> bool:
        """Remove an engine's reservations; return whether one of them was wanted."""
        keys = [key for key in self._by_key if key[0] == server_id]
        are_wanted = [self.remove(*key) for key in keys]
        return any(are_wanted)

    def on_released(self, server_id: str, group_id: str) -> None:
        """Remove a reservation whose release the engine confirmed."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is not None and reservation.state is ReservationState.RELEASING:
            del self._by_key[server_id, group_id]

    def on_release_response_lost(self, server_id: str, group_id: str, now: float) -> None:
        """Delay the next release after the response to one was lost."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is not None:
            reservation.sent_at = now

    def release_group(self, server_id: str, group_id: str, now: float) -> Iterator[Release]:
        """Release a reservation that the engine granted after it was given up."""
        key = (server_id, group_id)
        reservation = self._by_key.get(key)
        if reservation is None:
            order = Reserve(server_id, group_id, 0, self._owner, self._expiry_seconds)
            reservation = self._by_key[key] = Reservation(order, now)
        reservation.expired_at = now + self._expiry_seconds
        yield self._release(reservation, now)

    def release_all(self, now: float) -> Iterator[Release]:
        """Release all reservations that may exist and are not being released yet."""
        releases = [
            self._release(reservation, now)
            for reservation in self._by_key.values()
            if reservation.state is not ReservationState.RELEASING
        ]
        return iter(releases)

    def on_tick(self, now: float) -> Iterator[Reserve | Release]:
        """Return due renewals and releases to resend; drop expired reservations being released."""
        for key, reservation in list(self._by_key.items()):
            waited = now - reservation.sent_at
            if reservation.state is ReservationState.RELEASING:
                if now >= reservation.expired_at:
                    del self._by_key[key]
                elif waited >= RELEASE_RETRY_INTERVAL_SECONDS:
                    yield self._release(reservation, now)
            elif reservation.state is ReservationState.HELD and waited >= self._expiry_seconds / 3:
                yield self._resend(reservation, now)

    def _resend(self, reservation: Reservation, now: float) -> Reserve:
        """Record that a reservation's order is sent again, and return the order."""
        reservation.sent_at = now
        reservation.expired_at = now + self._expiry_seconds
        reservation.attempts += 1
        if reservation.unanswered_since is None:
            reservation.unanswered_since = now
        return reservation.order

    def _release(self, reservation: Reservation, now: float) -> Release:
        """Mark a reservation as being released and return the release."""
        reservation.state = ReservationState.RELEASING
        reservation.sent_at = now
        return Release(reservation.order.server_id, reservation.order.group_id)

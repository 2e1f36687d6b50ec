"""Reservations of one request at the engines, with what is unknown about them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

ANSWER_TRIES = 3
"""Times that one order is sent when its answer is lost."""

RELEASE_RETRY_SECONDS = 1.0
"""Time between two releases of the same reservation."""


class Reserve(NamedTuple):
    """Make or renew a reservation at an engine; idempotent by group."""

    server_id: str
    """Identifier of the engine."""

    group_id: str
    """Identifier of the group."""

    tokens: int
    """KV memory, tokens."""

    owner: str
    """`host/incarnation` of the node that builds the group."""

    expires_in_seconds: float
    """Time after which the engine frees it."""


class Release(NamedTuple):
    """Release a reservation at an engine; idempotent by group."""

    server_id: str
    """Identifier of the engine."""

    group_id: str
    """Identifier of the group."""


class State(enum.Enum):
    """What is known of a reservation."""

    ASKED = "asked"
    """Sent, no answer yet."""
    HELD = "held"
    """Granted."""
    RELEASING = "releasing"
    """To be released; it may still exist."""


class Reservation:
    """One reservation at one engine."""

    def __init__(self, order: Reserve, now: float) -> None:
        """Create a reservation that has just been asked for."""
        self.order = order
        self.state = State.ASKED
        self.sent_at = now
        """Time of the loop's clock of the last order."""
        self.kept_until = now
        """Time of the loop's clock until which the engine surely keeps it, once granted."""
        self.gone_at = now + order.expires_in_seconds
        """Time of the loop's clock at which it has surely expired, bar an order still on its way."""
        self.tries = 1
        """Times that the order was sent since the last answer."""
        self.unanswered_since: float | None = now
        """Time of the loop's clock of the first order without an answer yet."""


class Reservations:
    """All reservations of one request, by engine and group."""

    def __init__(self, owner: str, expiry_seconds: float) -> None:
        """Create an empty collection.

        Args:
            owner: `host/incarnation` of this node.
            expiry_seconds: Time after which an engine frees a reservation.
        """
        self._owner = owner
        self._expiry_seconds = expiry_seconds
        self._by_key: dict[tuple[str, str], Reservation] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no engine may still keep a reservation."""
        return not self._by_key

    def is_held(self, server_id: str) -> bool:
        """Tell whether an engine has granted a reservation that is wanted."""
        return any(
            key[0] == server_id and reservation.state is State.HELD
            for key, reservation in self._by_key.items()
        )

    def is_wanted(self, server_id: str, group_id: str) -> bool:
        """Tell whether a reservation is asked for or held, and not being released."""
        reservation = self._by_key.get((server_id, group_id))
        return reservation is not None and reservation.state is not State.RELEASING

    def has_lapsed(self, now: float) -> bool:
        """Tell whether an engine may have freed a reservation that is held."""
        return any(r.state is State.HELD and now >= r.kept_until for r in self._by_key.values())

    def reserve(self, server_id: str, group_id: str, tokens: int, now: float) -> Reserve:
        """Note and return the order for a new reservation."""
        order = Reserve(server_id, group_id, tokens, self._owner, self._expiry_seconds)
        self._by_key[server_id, group_id] = Reservation(order, now)
        return order

    def on_granted(self, server_id: str, group_id: str, now: float) -> bool:
        """Take in a grant; false if it is not wanted any more."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is None or reservation.state is State.RELEASING:
            return False
        reservation.state = State.HELD
        reservation.tries = 0
        # The engine counts from the arrival of the order that it answers; that may be the first of
        # those without an answer, and did not arrive before it was sent.
        if reservation.unanswered_since is not None:
            reservation.kept_until = reservation.unanswered_since + self._expiry_seconds
        reservation.unanswered_since = None
        return True

    def on_gone(self, server_id: str, group_id: str) -> bool:
        """Take in that a reservation does not exist; tell whether it was wanted."""
        wanted = self.is_wanted(server_id, group_id)
        self._by_key.pop((server_id, group_id), None)
        return wanted

    def on_reservation_response_lost(
        self, server_id: str, group_id: str, now: float
    ) -> Reserve | None:
        """Take in a lost answer; return the order to send again, if any."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is None or reservation.state is State.RELEASING:
            return None
        if reservation.state is State.ASKED and reservation.tries >= ANSWER_TRIES:
            return None
        reservation.unanswered_since = None
        return self._send_again(reservation, now)

    def on_engine_died(self, server_id: str) -> bool:
        """Drop an engine's reservations; tell whether one was wanted."""
        keys = [key for key in self._by_key if key[0] == server_id]
        wanted = [self.on_gone(*key) for key in keys]
        return any(wanted)

    def on_released(self, server_id: str, group_id: str) -> None:
        """Take in that a release was confirmed."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is not None and reservation.state is State.RELEASING:
            del self._by_key[server_id, group_id]

    def on_release_response_lost(self, server_id: str, group_id: str, now: float) -> None:
        """Take in a lost answer to a release."""
        reservation = self._by_key.get((server_id, group_id))
        if reservation is not None:
            reservation.sent_at = now

    def release_group(self, server_id: str, group_id: str, now: float) -> Iterator[Release]:
        """Release a reservation that was granted after it was given up."""
        key = (server_id, group_id)
        reservation = self._by_key.get(key)
        if reservation is None:
            order = Reserve(server_id, group_id, 0, self._owner, self._expiry_seconds)
            reservation = self._by_key[key] = Reservation(order, now)
        reservation.gone_at = now + self._expiry_seconds
        yield self._release(reservation, now)

    def release_all(self, now: float) -> Iterator[Release]:
        """Release everything that may exist."""
        releases = [
            self._release(reservation, now)
            for reservation in self._by_key.values()
            if reservation.state is not State.RELEASING
        ]
        return iter(releases)

    def on_tick(self, now: float) -> Iterator[Reserve | Release]:
        """Renew, release again, and forget what has surely expired."""
        for key, reservation in list(self._by_key.items()):
            waited = now - reservation.sent_at
            if reservation.state is State.RELEASING:
                if now >= reservation.gone_at:
                    del self._by_key[key]
                elif waited >= RELEASE_RETRY_SECONDS:
                    yield self._release(reservation, now)
            elif reservation.state is State.HELD and waited >= self._expiry_seconds / 3:
                yield self._send_again(reservation, now)

    def _send_again(self, reservation: Reservation, now: float) -> Reserve:
        """Return the same order once more."""
        reservation.sent_at = now
        reservation.gone_at = now + self._expiry_seconds
        reservation.tries += 1
        if reservation.unanswered_since is None:
            reservation.unanswered_since = now
        return reservation.order

    def _release(self, reservation: Reservation, now: float) -> Release:
        """Return the release of a reservation."""
        reservation.state = State.RELEASING
        reservation.sent_at = now
        return Release(reservation.order.server_id, reservation.order.group_id)

"""Booked returns of refused callers, and what a node knows of those of its own callers.

Answers callers that are refused, return together, and are refused again: each gets a time at which
the forecast has a slot for it, and the slot is kept for it at that time.
"""

from __future__ import annotations

import bisect
import enum
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import peer_messages
from dragonflycove.fleet.queueing import return_bookings

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dragonflycove.fleet import work

MAX_REPORTED = 40
"""Maximum bookings in one message, which must fit into a datagram."""

REPORT_COUNT = 3
"""Times that bookings are reported to a new hub; messages can be lost."""


class _Booking(NamedTuple):
    due_at: float
    fingerprint: int
    is_reported: bool


class Arrival(enum.Enum):
    """When a caller with a booking has returned."""

    EARLY = "early"
    """Before its time; the booking is kept."""

    DUE = "due"
    """At its time."""


class CapacityBookings:
    """The bookings of one service."""

    def __init__(self) -> None:
        """Create without bookings."""
        self._booking_by_fingerprint: dict[int, _Booking] = {}
        self._due_times: list[float] = []

    def __len__(self) -> int:
        """Return the number of bookings that haven't lapsed."""
        return len(self._due_times)

    def due_times(self, now: float) -> Sequence[float]:
        """Return the loop times of the bookings, ascending.

        Args:
            now: Loop time.
        """
        self._discard_lapsed(now)
        return self._due_times

    def add(self, fingerprint: int, due_at: float, *, is_reported: bool = False) -> None:
        """Keep a slot for a caller at some time.

        Args:
            fingerprint: Fingerprint of its request.
            due_at: Loop time.
            is_reported: Whether another hub booked it.
        """
        self._remove(fingerprint)
        self._booking_by_fingerprint[fingerprint] = _Booking(due_at, fingerprint, is_reported)
        bisect.insort(self._due_times, due_at)

    def restore(
        self, records: Iterable[peer_messages.BookingRecord], service: str, now: float
    ) -> None:
        """Take over bookings that another hub made, unless they are known.

        Args:
            records: The bookings that a node reports.
            service: The service; bookings of others are ignored.
            now: Loop time.
        """
        for record in records:
            if record.service == service and record.fingerprint not in self._booking_by_fingerprint:
                self.add(record.fingerprint, now + record.due_in_seconds, is_reported=True)

    def on_return(self, job: work.Job, now: float, *, is_known: bool) -> Arrival | None:
        """Redeem the booking of a caller that has returned at its time.

        Args:
            job: Its request.
            now: Loop time.
            is_known: Whether the caller is one that was refused here, and not another one with a
                request of equal content.

        Returns:
            When it has returned; None without a booking.
        """
        self._discard_lapsed(now)
        booking = self._booking_by_fingerprint.get(job.fingerprint)
        if booking is None or not (is_known or booking.is_reported):
            return None
        if now < booking.due_at - return_bookings.EARLY_RETURN_SECONDS:
            return Arrival.EARLY
        self._remove(job.fingerprint)
        return Arrival.DUE

    def seconds_to(self, fingerprint: int, now: float) -> float:
        """Return the time until a booking is due.

        Args:
            fingerprint: Fingerprint of a request with a booking.
            now: Loop time.
        """
        return max(0.0, self._booking_by_fingerprint[fingerprint].due_at - now)

    def _discard_lapsed(self, now: float) -> None:
        lapsed_until = now - return_bookings.LATE_RETURN_SECONDS
        if not self._due_times or self._due_times[0] >= lapsed_until:
            return
        del self._due_times[: bisect.bisect_left(self._due_times, lapsed_until)]
        self._booking_by_fingerprint = {
            fingerprint: booking
            for fingerprint, booking in self._booking_by_fingerprint.items()
            if booking.due_at >= lapsed_until
        }

    def _remove(self, fingerprint: int) -> None:
        booking = self._booking_by_fingerprint.pop(fingerprint, None)
        if booking is not None:
            del self._due_times[bisect.bisect_left(self._due_times, booking.due_at)]


class _PassedOn(NamedTuple):
    service: str
    due_at: float


class PassedOnBookings:
    """The bookings that this node has passed on to its callers, for a hub that is new to it."""

    def __init__(self) -> None:
        """Create without bookings."""
        self._passed_on_by_fingerprint: dict[int, _PassedOn] = {}
        self._hub: tuple[str, int] | None = None
        self._reports_left = 0

    def add(self, job: work.Job, refusal: work.Refusal, now: float) -> None:
        """Remember the booking of a refused caller.

        Args:
            job: Its request.
            refusal: A refusal with a booking.
            now: Loop time.
        """
        self._passed_on_by_fingerprint[job.fingerprint] = _PassedOn(
            job.service, now + refusal.retry_after_seconds
        )

    def reports(self, hub: tuple[str, int], now: float) -> tuple[peer_messages.BookingReport, ...]:
        """Return the messages to send to the first hub now; none if it knows the bookings.

        Args:
            hub: Host and incarnation of the first hub.
            now: Loop time.
        """
        self._passed_on_by_fingerprint = {
            fingerprint: one
            for fingerprint, one in self._passed_on_by_fingerprint.items()
            if one.due_at + return_bookings.LATE_RETURN_SECONDS >= now
        }
        if hub != self._hub:
            # The first hub that a node knows has made its bookings itself.
            self._reports_left = 0 if self._hub is None else REPORT_COUNT
            self._hub = hub
        if not self._reports_left:
            return ()
        self._reports_left -= 1
        records = [
            peer_messages.BookingRecord(one.service, fingerprint, one.due_at - now)
            for fingerprint, one in self._passed_on_by_fingerprint.items()
        ]
        return tuple(
            peer_messages.BookingReport(tuple(records[start : start + MAX_REPORTED]))
            for start in range(0, len(records), MAX_REPORTED)
        )

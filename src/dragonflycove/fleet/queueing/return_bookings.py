"""Books capacity of rate-limited servers for callers that were told when to return.

Half of the capacity is booked at most. The rest goes to new callers, who can still be served within
their latency target.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.fleet import limited_servers, work

BOOKED_SHARE = 0.5
"""Share of the capacity that is booked at most."""

PATIENCE_SHARE = 1 / 3
"""Share of the time that it has left for which a caller waits before it returns.

The platform's specification; a later return is not booked.
"""

RETURN_MARGIN_SECONDS = 0.02
"""Time added to retry-after, so that the capacity is there when the caller returns."""

EARLY_RETURN_SECONDS = 0.2
"""Time before its booking at which a caller may return."""

LATE_RETURN_SECONDS = 0.5
"""Time after its booking at which a caller may return; then others get its place."""


class _Booking(NamedTuple):
    key: work.JobKey
    fingerprint: int
    due_at: float


class ReturnBookings:
    """The bookings of one service, in the order of their times."""

    def __init__(self) -> None:
        """Create without bookings."""
        self._bookings: list[_Booking] = []
        self._last_due_at = float("-inf")

    def due_within(self, seconds: float, now: float) -> int:
        """Return how many bookings are due by some time from now.

        Args:
            seconds: Time from now.
            now: Loop time.
        """
        self._discard_lapsed(now)
        return sum(booking.due_at <= now + seconds for booking in self._bookings)

    def redeem(self, job: work.Job, now: float) -> bool:
        """Remove the booking of a caller that has returned at its time.

        Args:
            job: Its request.
            now: Loop time.

        Returns:
            Whether there was one.
        """
        self._discard_lapsed(now)
        for index, booking in enumerate(self._bookings):
            if (
                booking.fingerprint == job.fingerprint
                and booking.due_at - EARLY_RETURN_SECONDS <= now
            ):
                del self._bookings[index]
                return True
        return False

    def seconds_to_booking(self, job: work.Job, now: float) -> float | None:
        """Return the time to the booking that a placement attempt has got already; None if none.

        Args:
            job: The request.
            now: Loop time.
        """
        for booking in self._bookings:
            if booking.key == job.key:
                return max(0.0, booking.due_at - now) + RETURN_MARGIN_SECONDS
        return None

    def book(
        self,
        job: work.Job,
        position: int,
        capacity: limited_servers.RateCapacity,
        now: float,
    ) -> float:
        """Book the next place for a request, if its caller waits for so long.

        Args:
            job: The request.
            position: Its place among those that are waiting, counted from 1.
            capacity: What the service takes.
            now: Loop time.

        Returns:
            Its retry-after, seconds; the whole time that it has left if nothing could be booked.
        """
        interval = 1 / (BOOKED_SHARE * capacity.requests_per_second)
        due_at = max(now + capacity.seconds_until(position), self._last_due_at + interval)
        seconds = due_at - now + RETURN_MARGIN_SECONDS
        if seconds > PATIENCE_SHARE * job.deadline_seconds:
            return max(seconds, job.deadline_seconds)
        self._bookings.append(_Booking(job.key, job.fingerprint, due_at))
        self._last_due_at = due_at
        return seconds

    def _discard_lapsed(self, now: float) -> None:
        self._bookings = [
            booking for booking in self._bookings if now <= booking.due_at + LATE_RETURN_SECONDS
        ]

"""Warm or cold state of one backend server, derived from load reports and first tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.configuration import schema

SLOW_FIRST_TOKEN_RATIO = 3.0
"""Minimum ratio of measured to predicted time for a first token to be slow."""

COLD_FIRST_TOKEN_RATIO = 8.0
"""Minimum ratio of measured to predicted time for a single first token to prove a cold server."""

SLOW_FIRST_TOKEN_MARGIN_SECONDS = 0.5
"""Minimum excess over the predicted time for a first token to be slow."""

SLOW_FIRST_TOKENS_UNTIL_COLD = 2
"""Number of consecutive slow first tokens that prove a cold server."""

MAX_EARLIER_STARTS = 8
"""Maximum earlier starts of a server that are kept, to ignore late messages about them."""


class WarmState:
    """Warm or cold state of one backend server."""

    server: schema.Server
    """The backend server as configured."""

    def __init__(self) -> None:
        """Create the state of a server that has not reported yet; it counts as cold."""
        self.running = 0
        """Number of requests running on the server according to the newest report."""
        self.start_id = ""
        """Identifier of the server's start in the newest report; empty before the first report."""
        self._earlier_start_ids: tuple[str, ...] = ()
        self._finished = 0
        self._finished_at_cold = 0
        self._measured_at: float | None = None
        self._marked_cold_at = float("-inf")
        self._needs_finished_at_cold = False
        self._consecutive_slow_first_tokens = 0

    def on_report(self, start_id: str, finished: int, running: int, measured_at: float) -> bool:
        """Process a load report and return whether it shows that the server turned cold."""
        if start_id in self._earlier_start_ids or measured_at < self._marked_cold_at:
            return False
        if self._measured_at is not None and measured_at < self._measured_at:
            return False
        turned_cold = self._update_start(start_id, finished)
        if self._needs_finished_at_cold:
            self._finished_at_cold = finished
            self._needs_finished_at_cold = False
        self._measured_at = measured_at
        self._finished = finished
        self.running = running
        return turned_cold

    def on_first_token(self, predicted_seconds: float, measured_seconds: float) -> bool:
        """Process a time to first token; return whether it proves that the server turned cold."""
        excess_seconds = measured_seconds - predicted_seconds
        if (
            excess_seconds < SLOW_FIRST_TOKEN_MARGIN_SECONDS
            or measured_seconds < SLOW_FIRST_TOKEN_RATIO * predicted_seconds
        ):
            self._consecutive_slow_first_tokens = 0
            return False
        self._consecutive_slow_first_tokens += 1
        is_proof = measured_seconds >= COLD_FIRST_TOKEN_RATIO * predicted_seconds
        return is_proof or self._consecutive_slow_first_tokens >= SLOW_FIRST_TOKENS_UNTIL_COLD

    def mark_cold(self, now: float) -> None:
        """Begin a new cold start; only requests finished after the next report count."""
        self._marked_cold_at = now
        self._finished_at_cold = self._finished
        self._needs_finished_at_cold = True
        self._consecutive_slow_first_tokens = 0

    def mark_crashed(self, now: float) -> None:
        """Begin a new cold start after a crash that ended all running requests."""
        self.mark_cold(now)
        self._measured_at = None
        self.running = 0

    def is_earlier_start(self, start_id: str) -> bool:
        """Return whether a start identifier belongs to an earlier start of the server."""
        return start_id in self._earlier_start_ids

    def concurrency_limit(self, now: float, max_age_seconds: float) -> int:
        """Return the number of concurrent requests that the server can take.

        The configuration has one limit for a cold and one for a warm server and none in between.
        """
        if self.is_warm(now, max_age_seconds):
            return self.server.concurrency
        return min(self.server.cold_concurrency, self.server.concurrency)

    def is_warm(self, now: float, max_age_seconds: float) -> bool:
        """Return whether the server can take its full load: it has finished enough requests."""
        if not self._has_fresh_report(now, max_age_seconds):
            return False
        finished_since_cold = self._finished - self._finished_at_cold
        return finished_since_cold >= max(1, self.server.warm_after_requests)

    def _has_fresh_report(self, now: float, max_age_seconds: float) -> bool:
        """Return whether the newest report is recent enough to act on."""
        return self._measured_at is not None and now - self._measured_at <= max_age_seconds

    def _update_start(self, start_id: str, finished: int) -> bool:
        """Process a report's start and count; return whether the server turned cold."""
        if start_id == self.start_id and finished >= self._finished:
            return False
        had_reported = self.start_id != ""
        if had_reported and start_id != self.start_id:
            self._earlier_start_ids = (
                *self._earlier_start_ids[1 - MAX_EARLIER_STARTS :],
                self.start_id,
            )
        self.start_id = start_id
        self._finished_at_cold = 0
        self._needs_finished_at_cold = False
        self._consecutive_slow_first_tokens = 0
        return had_reported

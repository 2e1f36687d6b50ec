"""What is known of one backend server's warmth."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.configuration import schema

SLOW_FACTOR = 3.0
"""A first token that takes this many times its predicted time is slow."""

VERY_SLOW_FACTOR = 8.0
"""A first token that takes this many times its predicted time is proof of a cold server."""

SLOW_MARGIN_SECONDS = 0.5
"""A first token is slow only if it is late by this much as well."""

SLOW_FIRST_TOKENS = 2
"""Slow first tokens in succession that prove a cold server."""

LEFT_STARTS = 8
"""Earlier starts of a backend server that are remembered, so that late word of them is ignored."""


class Warmth:
    """Warmth of one backend server."""

    server: schema.Server
    """The backend server, as configured."""

    def __init__(self) -> None:
        """Create the state of a backend server never heard of."""
        self.running = 0
        """Requests running on it by the newest report."""
        self.start_id = ""
        """The start that was last reported; empty where none was."""
        self._left_start_ids: tuple[str, ...] = ()
        self._finished = 0
        self._finished_when_cold = 0
        self._measured_at: float | None = None
        self._cold_at = float("-inf")
        self._awaits_base = False
        self._slow_first_tokens = 0

    def take_report(self, start_id: str, finished: int, running: int, measured_at: float) -> bool:
        """Take in a load report and tell whether it shows that the server turned cold."""
        if start_id in self._left_start_ids or measured_at < self._cold_at:
            return False
        if self._measured_at is not None and measured_at < self._measured_at:
            return False
        turned = self._note_start(start_id, finished)
        if self._awaits_base:
            self._finished_when_cold = finished
            self._awaits_base = False
        self._measured_at = measured_at
        self._finished = finished
        self.running = running
        return turned

    def is_slow(self, predicted_seconds: float, measured_seconds: float) -> bool:
        """Count a first token and tell whether the server must have turned cold."""
        late = measured_seconds - predicted_seconds
        if late < SLOW_MARGIN_SECONDS or measured_seconds < SLOW_FACTOR * predicted_seconds:
            self._slow_first_tokens = 0
            return False
        self._slow_first_tokens += 1
        very_slow = measured_seconds >= VERY_SLOW_FACTOR * predicted_seconds
        return very_slow or self._slow_first_tokens >= SLOW_FIRST_TOKENS

    def turn_cold(self, now: float) -> None:
        """Begin the cold start anew; work finished up to the next report does not count."""
        self._cold_at = now
        self._finished_when_cold = self._finished
        self._awaits_base = True
        self._slow_first_tokens = 0

    def break_off(self, now: float) -> None:
        """Begin the cold start anew after everything that ran was lost."""
        self.turn_cold(now)
        self._measured_at = None
        self.running = 0

    def has_left_start(self, start_id: str) -> bool:
        """Tell whether a start of the server is known to be over."""
        return start_id in self._left_start_ids

    def bound(self, now: float, max_age_seconds: float) -> int:
        """Return the concurrent requests that the server bears.

        The configuration states what it bears until it is warm; nothing between is known.
        """
        if self.is_warm(now, max_age_seconds):
            return self.server.concurrency
        return min(self.server.cold_concurrency, self.server.concurrency)

    def is_warm(self, now: float, max_age_seconds: float) -> bool:
        """Tell whether the server bears its full load."""
        if not self._is_fresh(now, max_age_seconds):
            return False
        done = self._finished - self._finished_when_cold
        return done >= max(1, self.server.warm_after_requests)

    def _is_fresh(self, now: float, max_age_seconds: float) -> bool:
        """Tell whether the newest report is young enough to act on."""
        return self._measured_at is not None and now - self._measured_at <= max_age_seconds

    def _note_start(self, start_id: str, finished: int) -> bool:
        """Take in the start identifier and count of a report, and tell whether it turned cold."""
        if start_id == self.start_id and finished >= self._finished:
            return False
        known = self.start_id != ""
        if known and start_id != self.start_id:
            self._left_start_ids = (*self._left_start_ids[1 - LEFT_STARTS :], self.start_id)
        self.start_id = start_id
        self._finished_when_cold = 0
        self._awaits_base = False
        self._slow_first_tokens = 0
        return known

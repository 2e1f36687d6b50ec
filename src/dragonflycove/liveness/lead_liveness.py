"""Tells a busy lead engine from a dead one while its stream is silent.

The load it answers: prompts of several engines' KV cache, whose prefill keeps the lead silent for
seconds while helpers hold KV cache for it. A dead lead's helpers must free that KV cache soon; the
prefill of a sound one must not be thrown away.
"""

from __future__ import annotations

PROBE_AFTER_SECONDS = 1.2
"""Silence after which the lead is probed; most prompts have their first event earlier."""

PROBE_INTERVAL_SECONDS = 0.9
"""Time from one response to a probe until the next probe."""

RETRY_INTERVAL_SECONDS = 0.2
"""Time from a probe without a response until the next probe."""

PROBES_UNTIL_LOST = 3
"""Consecutive probes without a response after which the lead is lost.

One may find a stale connection, another the engine out of connections. The platform's specification
allows 4 s from a lead's end until its helpers' KV cache is free.
"""

MIN_UNRESPONSIVE_SECONDS = 1.1
"""Minimum time from the first to the last of these probes.

An engine with too many connections resets further ones at once, and still serves its requests.
"""


class LeadLiveness:
    """Evidence for one lead engine during one silence."""

    def __init__(self, started_at_ms: int, silent_since: float) -> None:
        """Begin with the last sign of the engine.

        Args:
            started_at_ms: Start of the engine that the request was placed on, in Unix
                milliseconds; 0 if not known.
            silent_since: Loop time of the engine's last event, or of the request.
        """
        self._started_at_ms = started_at_ms
        self._failed_probes = 0
        self._unresponsive_since = silent_since
        self.next_probe_at = silent_since + PROBE_AFTER_SECONDS
        """Loop time of the next probe."""
        self.is_lost = False
        """Whether the engine no longer runs the request."""

    @property
    def needs_fresh_connection(self) -> bool:
        """Whether the next probe must not use a kept connection, which may be stale."""
        return self._failed_probes > 0

    def on_response(self, started_at_ms: int, now: float) -> None:
        """Count a response to a probe.

        Args:
            started_at_ms: Start that the responding engine states, in Unix milliseconds; 0 if it
                states none.
            now: Loop time.
        """
        self._failed_probes = 0
        self.next_probe_at = now + PROBE_INTERVAL_SECONDS
        # An engine that started again holds nothing of the request.
        if started_at_ms and self._started_at_ms and started_at_ms != self._started_at_ms:
            self.is_lost = True

    def on_no_response(self, now: float) -> None:
        """Count a probe without a response.

        Args:
            now: Loop time.
        """
        if self._failed_probes == 0:
            self._unresponsive_since = now
        self._failed_probes += 1
        self.next_probe_at = now + RETRY_INTERVAL_SECONDS
        self.is_lost = self.is_lost or (
            self._failed_probes >= PROBES_UNTIL_LOST
            and now - self._unresponsive_since >= MIN_UNRESPONSIVE_SECONDS
        )

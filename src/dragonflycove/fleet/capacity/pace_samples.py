"""Collects what one node measures of its servers between two reports.

Streams of one engine get their events of a pass together, several thousand a second over all
engines at the heaviest load, so they are summed up by server, and no event makes a message.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog

SAME_PASS_SHARE = 0.5
"""Share of the shortest pass within which events of several streams belong to one pass."""

MAX_SAMPLES = 32
"""Gaps and responses of one server that are kept between two reports."""

MAX_RECORDS = 100
"""Servers in one report; a datagram takes twice as many."""


class PaceSamples:
    """The measurements of one node since its last report."""

    def __init__(self) -> None:
        """Create without measurements."""
        self._ratios_by_instance: dict[catalog.Instance, list[float]] = {}
        self._pass_ended_at: dict[catalog.Instance, float] = {}

    def on_gap(
        self, instance: catalog.Instance, seconds: float, pass_seconds: float, now: float
    ) -> None:
        """Record the gap between two events of a stream that an engine decodes alone.

        Args:
            instance: The engine.
            seconds: The gap.
            pass_seconds: Declared time of the engine's shortest pass with a stream.
            now: Loop time of the second event.
        """
        shortest = SAME_PASS_SHARE * pass_seconds
        # Shorter gaps are events of several passes that were read together.
        if seconds < shortest or now - self._pass_ended_at.get(instance, -seconds) < shortest:
            return
        self._pass_ended_at[instance] = now
        self._add(instance, seconds / pass_seconds)

    def on_response(self, instance: catalog.Instance, ratio: float) -> None:
        """Record the response to a plain call.

        Args:
            instance: The server.
            ratio: Time from sending to the response as a multiple of the assumed time.
        """
        self._add(instance, ratio)

    def _add(self, instance: catalog.Instance, ratio: float) -> None:
        ratios = self._ratios_by_instance.setdefault(instance, [])
        if len(ratios) < MAX_SAMPLES:
            ratios.append(ratio)

    def take(self) -> list[peer_messages.PaceReport]:
        """Return what was measured since the last call, in reports that fit into datagrams."""
        records = [
            peer_messages.PaceRecord(instance, statistics.median_low(ratios), len(ratios))
            for instance, ratios in self._ratios_by_instance.items()
        ]
        # An engine that sends nothing in an interval has no pass to tell apart later.
        self._pass_ended_at = {
            instance: at
            for instance, at in self._pass_ended_at.items()
            if instance in self._ratios_by_instance
        }
        self._ratios_by_instance = {}
        return [
            peer_messages.PaceReport(tuple(records[start : start + MAX_RECORDS]))
            for start in range(0, len(records), MAX_RECORDS)
        ]

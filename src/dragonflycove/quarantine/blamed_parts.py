"""Refuses requests with parts of prompts that are known to crash backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.quarantine import _suspicion_table, part_blame

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.quarantine import crash_counts

REVIEW_SECONDS = 0.25
"""Time after which blame is found again though nothing was added; confirmations end, and crashes
expire."""


class BlamedParts:
    """The parts that the crashes and answers known to this node blame."""

    def __init__(self, counts: crash_counts.CrashCounts) -> None:
        """Create without blame.

        Args:
            counts: Crashes and answers that this node knows.
        """
        self._counts = counts
        self._found: list[part_blame.Blame] = []
        self._found_at = float("-inf")
        self._found_revision = -1

    def found(self, now: float) -> list[part_blame.Blame]:
        """Return the parts that are blamed.

        Args:
            now: Loop time.
        """
        if self._found_revision != self._counts.revision or now - self._found_at > REVIEW_SECONDS:
            self._found = part_blame.find_blamed(self._counts.part_crashes(now), now)
            self._found_at = now
            self._found_revision = self._counts.revision
        return self._found

    def refusal_seconds(self, parts: Iterable[int], now: float) -> float | None:
        """Return for how long a request is refused because of its parts; None if it may run.

        Args:
            parts: Fingerprints of its parts.
            now: Loop time.
        """
        own = frozenset(parts)
        if not own:
            return None
        last_crashes = [one.last_crash_at for one in self.found(now) if one.parts <= own]
        if not last_crashes:
            return None
        return max(0.0, max(last_crashes) + _suspicion_table.REFUSAL_SECONDS - now)

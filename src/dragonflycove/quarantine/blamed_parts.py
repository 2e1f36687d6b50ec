"""Refuses requests with parts of prompts that are known to crash backend servers.

A part may be blamed wrongly, as when servers end one after the other for another reason while they
run the same long prompts. So one request with it is let through from time to time. Its answer clears
the part at all nodes; a crash extends the refusal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.quarantine import _suspicion_table, part_blame

if TYPE_CHECKING:
    from collections.abc import Collection

    from dragonflycove.quarantine import crash_counts

REVIEW_SECONDS = 0.25
"""Time after which blame is found again though nothing was added; confirmations end, and crashes
expire."""

MIN_REVIEW_SECONDS = 0.05
"""Minimum time between two reviews; one of a full table takes some 30 ms."""

FIRST_TRIAL_SECONDS = 20.0
"""Time after the last crash from which one request with a blamed part may run."""

TRIAL_BACKOFF_FACTOR = 4.0
"""Growth of that time with each trial of the same parts."""


class PartRequest(NamedTuple):
    """A request, as far as its parts matter."""

    request_id: str
    """Id of the request, equal for all its attempts at servers."""

    parts: Collection[int]
    """Fingerprints of the parts of its prompt that others may share."""


class _Trial(NamedTuple):
    request_id: str
    number: int
    last_crash_at: float
    next_at: float


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
        self._trial_by_parts: dict[frozenset[int], _Trial] = {}

    def found(self, now: float) -> list[part_blame.Blame]:
        """Return the parts that are blamed.

        Args:
            now: Loop time.
        """
        is_changed = self._found_revision != self._counts.revision
        if now - self._found_at >= (MIN_REVIEW_SECONDS if is_changed else REVIEW_SECONDS):
            self._found = part_blame.find_blamed(self._counts.part_crashes(now), now)
            self._found_at = now
            self._found_revision = self._counts.revision
            blamed = {one.parts for one in self._found}
            self._trial_by_parts = {
                parts: trial for parts, trial in self._trial_by_parts.items() if parts in blamed
            }
        return self._found

    def refusal_seconds(
        self, request: PartRequest, now: float, *, may_try: bool = False
    ) -> float | None:
        """Return for how long a request is refused because of its parts; None if it may run.

        Args:
            request: The request.
            now: Loop time.
            may_try: Whether this node lets requests with blamed parts through from time to time;
                one node of the fleet does.
        """
        if not request.parts:
            return None
        own = frozenset(request.parts)
        refused_by = [
            blame
            for blame in self.found(now)
            if blame.parts <= own and not self._is_trial(blame, request, now, may_try=may_try)
        ]
        if not refused_by:
            return None
        last_crash_at = max(blame.last_crash_at for blame in refused_by)
        return max(0.0, last_crash_at + _suspicion_table.REFUSAL_SECONDS - now)

    def _is_trial(
        self, blame: part_blame.Blame, request: PartRequest, now: float, *, may_try: bool
    ) -> bool:
        """Whether a request is let through to find out whether its parts still crash servers."""
        trial = self._trial_by_parts.get(blame.parts)
        if trial is not None and trial.request_id == request.request_id:
            return trial.last_crash_at == blame.last_crash_at
        next_at = blame.last_crash_at + FIRST_TRIAL_SECONDS if trial is None else trial.next_at
        if not may_try or now < next_at:
            return False
        number = 1 if trial is None else trial.number + 1
        self._trial_by_parts[blame.parts] = _Trial(
            request.request_id,
            number,
            blame.last_crash_at,
            now + FIRST_TRIAL_SECONDS * TRIAL_BACKOFF_FACTOR**number,
        )
        return True

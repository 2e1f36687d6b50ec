"""KV cache memory of the stand-in model engine: streams, exports and reservations."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.standins import engine_streams


class Export(NamedTuple):
    """The KV cache and progress of a stream, kept for import by another engine."""

    export_id: str
    """Identifier, unique per engine."""

    submission: engine_streams.Submission
    """The stream's prompt and limits."""

    owner: str
    """`host/incarnation` of the node that owned the stream."""

    prefill_remaining: float
    """Prompt tokens that still need prefill."""

    emitted: int
    """Tokens generated so far."""

    expires_at: float
    """Time of the engine's clock at which the export is dropped, seconds."""


class Reservation(NamedTuple):
    """KV cache memory reserved for a memory group."""

    group: str
    """Identifier of the group."""

    owner: str
    """`host/incarnation` of the node that reserved it."""

    tokens: int
    """KV cache tokens reserved."""

    expires_at: float
    """Time of the engine's clock at which it expires, seconds; later if streams still use it."""


class KvMemory:
    """Accounting of KV cache memory by streams, exports and reservations."""

    def __init__(self, total_tokens: int) -> None:
        """Create the memory without allocations.

        Args:
            total_tokens: Total KV cache tokens.
        """
        self.total_tokens = total_tokens
        self.tokens_by_attempt: dict[str, int] = {}
        self.exports_by_id: dict[str, Export] = {}
        self.reservations_by_group: dict[str, Reservation] = {}

    @property
    def used_tokens(self) -> int:
        """KV cache tokens allocated or reserved."""
        exports = sum(item.submission.memory_tokens for item in self.exports_by_id.values())
        reservations = sum(item.tokens for item in self.reservations_by_group.values())
        return sum(self.tokens_by_attempt.values()) + exports + reservations

    @property
    def free_tokens(self) -> int:
        """KV cache tokens neither allocated nor reserved."""
        return self.total_tokens - self.used_tokens

    def is_allocated(self, submission: engine_streams.Submission) -> bool:
        """Return whether a stream has its memory; in a memory group, that is the reservation."""
        if submission.group:
            return submission.group[0] in self.reservations_by_group
        return submission.attempt in self.tokens_by_attempt

    def allocate(self, submission: engine_streams.Submission) -> bool:
        """Allocate a stream's memory.

        Args:
            submission: The stream's prompt and limits.

        Returns:
            False if too little is free.
        """
        if submission.memory_tokens > self.free_tokens:
            return False
        self.tokens_by_attempt[submission.attempt] = submission.memory_tokens
        return True

    def release(self, attempt: str) -> None:
        """Free a stream's memory; a no-op if it has none."""
        self.tokens_by_attempt.pop(attempt, None)

    def export(self, item: Export) -> None:
        """Move a stream's memory to an export."""
        self.release(item.submission.attempt)
        self.exports_by_id[item.export_id] = item

    def reserve(self, reservation: Reservation) -> int:
        """Reserve memory, or replace the reservation of the same group and owner.

        Args:
            reservation: The reservation.

        Returns:
            HTTP status: 200, 409 if another owner has the group, 429 if too little is free.
        """
        existing = self.reservations_by_group.get(reservation.group)
        if existing is not None and existing.owner != reservation.owner:
            return 409
        existing_tokens = existing.tokens if existing is not None else 0
        if reservation.tokens > self.free_tokens + existing_tokens:
            return 429
        self.reservations_by_group[reservation.group] = reservation
        return 200

    def unreserve(self, group: str) -> None:
        """Drop a reservation; a no-op if there is none."""
        self.reservations_by_group.pop(group, None)

    def expire(self, now: float, groups_in_use: set[str]) -> None:
        """Drop expired exports and reservations.

        Args:
            now: The time, seconds.
            groups_in_use: Groups of unfinished streams; their reservations stay.
        """
        for export_id, item in list(self.exports_by_id.items()):
            if item.expires_at <= now:
                del self.exports_by_id[export_id]
        for group, reservation in list(self.reservations_by_group.items()):
            if reservation.expires_at <= now and group not in groups_in_use:
                del self.reservations_by_group[group]

    def clear(self) -> None:
        """Drop all allocations, exports and reservations, as a crash does."""
        self.tokens_by_attempt.clear()
        self.exports_by_id.clear()
        self.reservations_by_group.clear()

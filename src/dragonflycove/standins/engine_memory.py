"""KV memory of the model engine's stand-in: streams, exports and reservations."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.standins import engine_streams


class Export(NamedTuple):
    """An exported KV cache."""

    export_id: str
    """Its identifier."""

    submission: engine_streams.Submission
    """What the stream was to run."""

    owner: str
    """`host/incarnation` of the node that owned the stream."""

    prefill_remaining: float
    """Prompt tokens still to be read."""

    emitted: int
    """Tokens generated so far."""

    expires_at: float
    """When it is dropped."""


class Reservation(NamedTuple):
    """Memory reserved for a memory group."""

    group: str
    """Identifier of the group."""

    owner: str
    """`host/incarnation` of the node that reserved it."""

    tokens: int
    """Memory reserved, tokens."""

    expires_at: float
    """When it lapses."""


class KvMemory:
    """Who holds how much memory."""

    def __init__(self, total_tokens: int) -> None:
        """Create the memory with nothing held.

        Args:
            total_tokens: Memory in all, tokens.
        """
        self.total_tokens = total_tokens
        self.tokens_by_attempt: dict[str, int] = {}
        self.exports_by_id: dict[str, Export] = {}
        self.reservations_by_group: dict[str, Reservation] = {}

    @property
    def used_tokens(self) -> int:
        """Memory held, tokens."""
        exports = sum(item.submission.memory_tokens for item in self.exports_by_id.values())
        reservations = sum(item.tokens for item in self.reservations_by_group.values())
        return sum(self.tokens_by_attempt.values()) + exports + reservations

    @property
    def free_tokens(self) -> int:
        """Memory not held, tokens."""
        return self.total_tokens - self.used_tokens

    def is_allocated(self, submission: engine_streams.Submission) -> bool:
        """Tell whether a stream has its memory; one of a memory group has the reservation."""
        if submission.group:
            return submission.group[0] in self.reservations_by_group
        return submission.attempt in self.tokens_by_attempt

    def allocate(self, submission: engine_streams.Submission) -> bool:
        """Take a stream's memory.

        Args:
            submission: What the stream runs.

        Returns:
            Whether there was enough.
        """
        if submission.memory_tokens > self.free_tokens:
            return False
        self.tokens_by_attempt[submission.attempt] = submission.memory_tokens
        return True

    def release(self, attempt: str) -> None:
        """Give back a stream's memory; nothing if it holds none."""
        self.tokens_by_attempt.pop(attempt, None)

    def export(self, item: Export) -> None:
        """Turn a stream's memory into an export's."""
        self.release(item.submission.attempt)
        self.exports_by_id[item.export_id] = item

    def reserve(self, wanted: Reservation) -> int:
        """Reserve memory, or renew a reservation of the same owner.

        Args:
            wanted: The reservation.

        Returns:
            HTTP status: 200, 409 if another owner has the group, 429 if memory lacks.
        """
        held = self.reservations_by_group.get(wanted.group)
        if held is not None and held.owner != wanted.owner:
            return 409
        held_tokens = held.tokens if held is not None else 0
        if wanted.tokens > self.free_tokens + held_tokens:
            return 429
        self.reservations_by_group[wanted.group] = wanted
        return 200

    def unreserve(self, group: str) -> None:
        """Drop a reservation; nothing if there is none."""
        self.reservations_by_group.pop(group, None)

    def expire(self, now: float, groups_in_use: set[str]) -> None:
        """Drop exports and reservations whose time is over.

        Args:
            now: The time, seconds.
            groups_in_use: Groups whose reservations a stream still uses.
        """
        for export_id, item in list(self.exports_by_id.items()):
            if item.expires_at <= now:
                del self.exports_by_id[export_id]
        for group, reservation in list(self.reservations_by_group.items()):
            if reservation.expires_at <= now and group not in groups_in_use:
                del self.reservations_by_group[group]

    def clear(self) -> None:
        """Drop everything, as a crash does."""
        self.tokens_by_attempt.clear()
        self.exports_by_id.clear()
        self.reservations_by_group.clear()

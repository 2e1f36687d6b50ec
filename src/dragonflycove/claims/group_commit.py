"""Batches records into appends within a node's share of the log's append rate."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random

BATCH_LIMIT_RECORDS = 256
"""Maximum number of records in one append."""

BURST_APPENDS = 4.0
"""Capacity of the token bucket that limits the append rate, appends."""

WAITING_LIMIT_RECORDS = 4_096
"""Number of records waiting to be appended at which no new claims are made."""

RETRY_SECONDS = 0.5
"""Minimum time before a failed append, or one with an unknown result, is retried, seconds."""


class Batch(NamedTuple):
    """Records of one append."""

    operation_id: str
    """Identifier of the append."""

    values_by_record_id: dict[str, dict[str, Any]]
    """Encoded records to append by record identifier, in order."""


class GroupCommit:
    """Queue of records to append, with at most one append in flight.

    Args:
        appends_per_second: The node's share of the log's append rate.
        rng: Random generator for identifiers.
    """

    def __init__(self, appends_per_second: float, rng: random.Random) -> None:
        self._appends_per_second = appends_per_second
        self._rng = rng
        self._waiting: collections.OrderedDict[str, dict[str, Any]] = collections.OrderedDict()
        self._sent_record_ids: set[str] = set()
        self._in_flight: Batch | None = None
        self._tokens = BURST_APPENDS
        self._filled_at = 0.0
        self._not_before = 0.0

    def set_rate(self, appends_per_second: float) -> None:
        """Change the node's share of the append rate.

        Args:
            appends_per_second: The new share; 0 stops appends once the token bucket is empty.
        """
        self._appends_per_second = appends_per_second

    @property
    def is_full(self) -> bool:
        """Whether `WAITING_LIMIT_RECORDS` or more records wait to be appended."""
        return len(self._waiting) >= WAITING_LIMIT_RECORDS

    def add(self, record_id: str, value: dict[str, Any]) -> None:
        """Queue a record.

        Args:
            record_id: Identifier of the record.
            value: The encoded record.
        """
        self._waiting[record_id] = value

    def discard(self, record_id: str) -> bool:
        """Remove a record that was read back from the log or is not needed any more.

        Args:
            record_id: Identifier of the record.

        Returns:
            Whether it was part of an append and so may be in the log.
        """
        self._waiting.pop(record_id, None)
        was_sent = record_id in self._sent_record_ids
        self._sent_record_ids.discard(record_id)
        return was_sent

    def take(self, now: float) -> Batch | None:
        """Start the next append, if one is due.

        Args:
            now: Loop time, seconds.

        Returns:
            The append, which is in flight from now on; `None` if none is due.
        """
        self._refill(now)
        if self._in_flight is not None or not self._waiting:
            return None
        if now < self._not_before or self._tokens < 1.0:
            return None
        self._tokens -= 1.0
        chosen = list(self._waiting.items())[:BATCH_LIMIT_RECORDS]
        self._sent_record_ids.update(record_id for record_id, _ in chosen)
        self._in_flight = Batch(identifiers.new_id(self._rng, "append"), dict(chosen))
        return self._in_flight

    def on_done(self, operation_id: str) -> None:
        """Handle an append that the log confirmed.

        Args:
            operation_id: Identifier of the append.
        """
        batch = self._end_in_flight(operation_id)
        if batch is not None:
            for record_id in batch.values_by_record_id:
                self._waiting.pop(record_id, None)

    def on_not_done(self, operation_id: str, now: float, retry_after_seconds: float) -> None:
        """Handle an append that certainly had no effect; its records stay queued.

        Args:
            operation_id: Identifier of the append.
            now: Loop time, seconds.
            retry_after_seconds: Time to wait before the next append, seconds.
        """
        if self._end_in_flight(operation_id) is not None:
            self._not_before = now + max(retry_after_seconds, RETRY_SECONDS)

    def on_unknown(self, operation_id: str, now: float) -> None:
        """Handle an append whose result is unknown.

        Its records stay queued: readers ignore a second copy of a record.

        Args:
            operation_id: Identifier of the append.
            now: Loop time, seconds.
        """
        if self._end_in_flight(operation_id) is not None:
            self._not_before = now + RETRY_SECONDS

    def _end_in_flight(self, operation_id: str) -> Batch | None:
        """Clear and return the append in flight, if it has this identifier."""
        batch = self._in_flight
        if batch is None or batch.operation_id != operation_id:
            return None
        self._in_flight = None
        return batch

    def _refill(self, now: float) -> None:
        """Refill the token bucket for the time since the last refill."""
        earned = (now - self._filled_at) * self._appends_per_second
        self._tokens = min(BURST_APPENDS, self._tokens + max(0.0, earned))
        self._filled_at = now

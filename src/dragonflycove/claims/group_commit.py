"""Gathers records into appends within a node's share of the log's append rate."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random

BATCH_LIMIT_RECORDS = 256
"""Most records in one append."""

BURST_APPENDS = 4.0
"""Appends that a node may save up."""

WAITING_LIMIT_RECORDS = 4_096
"""Records waiting to be appended above which no further claims are made."""

RETRY_SECONDS = 0.5
"""Time before an append whose fate is unknown is tried again, seconds."""


class Batch(NamedTuple):
    """One append."""

    operation_id: str
    """Identifier of the append."""

    values_by_record_id: dict[str, dict[str, Any]]
    """What to append, in order."""


class GroupCommit:
    """Queue of records with at most one append under way.

    Args:
        appends_per_second: The node's share of the append rate.
        rng: Generator for identifiers.
    """

    def __init__(self, appends_per_second: float, rng: random.Random) -> None:
        self._appends_per_second = appends_per_second
        self._rng = rng
        self._waiting: collections.OrderedDict[str, dict[str, Any]] = collections.OrderedDict()
        self._sent: set[str] = set()
        self._under_way: Batch | None = None
        self._tokens = BURST_APPENDS
        self._filled_at = 0.0
        self._not_before = 0.0

    def set_rate(self, appends_per_second: float) -> None:
        """Change the node's share of the append rate.

        Args:
            appends_per_second: The new share; 0 stops appends.
        """
        self._appends_per_second = appends_per_second

    @property
    def is_full(self) -> bool:
        """Whether too many records wait to be appended."""
        return len(self._waiting) >= WAITING_LIMIT_RECORDS

    def add(self, record_id: str, value: dict[str, Any]) -> None:
        """Queue a record.

        Args:
            record_id: Identifier of the record.
            value: Its wire form.
        """
        self._waiting[record_id] = value

    def discard(self, record_id: str) -> bool:
        """Stop trying to append a record, for it was read back or is no longer wanted.

        Args:
            record_id: Identifier of the record.

        Returns:
            Whether it may be in the log.
        """
        self._waiting.pop(record_id, None)
        was_sent = record_id in self._sent
        self._sent.discard(record_id)
        return was_sent

    def take(self, now: float) -> Batch | None:
        """Return the next append, if one is due.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The append, which counts as under way from now on.
        """
        self._fill(now)
        if self._under_way is not None or not self._waiting:
            return None
        if now < self._not_before or self._tokens < 1.0:
            return None
        self._tokens -= 1.0
        chosen = list(self._waiting.items())[:BATCH_LIMIT_RECORDS]
        self._sent.update(record_id for record_id, _ in chosen)
        self._under_way = Batch(identifiers.new_id(self._rng, "append"), dict(chosen))
        return self._under_way

    def on_done(self, operation_id: str) -> None:
        """Handle an append that was confirmed.

        Args:
            operation_id: The append.
        """
        batch = self._end(operation_id)
        if batch is not None:
            for record_id in batch.values_by_record_id:
                self._waiting.pop(record_id, None)

    def on_not_done(self, operation_id: str, now: float, retry_after_seconds: float) -> None:
        """Handle an append that the log refused.

        Args:
            operation_id: The append.
            now: Time of the loop's clock, seconds.
            retry_after_seconds: Time to wait before the next one, seconds.
        """
        if self._end(operation_id) is not None:
            self._not_before = now + max(retry_after_seconds, RETRY_SECONDS)

    def on_unknown(self, operation_id: str, now: float) -> None:
        """Handle an append of unknown fate: its records stay queued, readers drop second copies.

        Args:
            operation_id: The append.
            now: Time of the loop's clock, seconds.
        """
        if self._end(operation_id) is not None:
            self._not_before = now + RETRY_SECONDS

    def _end(self, operation_id: str) -> Batch | None:
        """Return the append under way if it has this identifier, which ends it."""
        batch = self._under_way
        if batch is None or batch.operation_id != operation_id:
            return None
        self._under_way = None
        return batch

    def _fill(self, now: float) -> None:
        """Add the appends that the rate allows since the last time."""
        earned = (now - self._filled_at) * self._appends_per_second
        self._tokens = min(BURST_APPENDS, self._tokens + max(0.0, earned))
        self._filled_at = now

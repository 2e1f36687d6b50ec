"""Decides when and by whom the configuration is restated, before its records expire.

A restatement appends a snapshot to the log, so that new readers need no expired records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.configuration import records
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.configuration import acceptance

MAX_RECORDS_BETWEEN_RESTATEMENTS = 2000
"""Number of records after a restatement at which the next is due regardless of its age."""

MAX_RETENTION_FRACTION = 0.7
"""Maximum fraction of the retention time after which a host of any rank restates."""


class RestatementPolicy(NamedTuple):
    """Time limits for restating."""

    retention_seconds: float
    """How long the log keeps a record, seconds."""

    first_fraction: float = 0.25
    """Fraction of the retention time after which the host of rank 0 restates."""

    rank_fraction: float = 0.1
    """Fraction of the retention time that each next rank waits longer, if no host has restated."""


class ReplayStart(NamedTuple):
    """First record that a new reader replays: after a restated snapshot, or in an empty log."""

    offset: int
    """Offset of the record."""

    appended_at: float
    """When the record was appended to the log, Unix seconds."""


class RestatementView:
    """Tracks where a new reader would start to replay, which decides when to restate."""

    def __init__(self, policy: RestatementPolicy) -> None:
        """Create the view before any record was read.

        Args:
            policy: Time limits for restating.
        """
        self._policy = policy
        self._replay_start: ReplayStart | None = None
        self._appended_at_by_offset: dict[int, float] = {}

    @property
    def replay_start(self) -> ReplayStart | None:
        """Where a new reader would start; `None` before any record was read."""
        return self._replay_start

    def on_record(self, offset: int, appended_at: float, record: records.Record | None) -> None:
        """Update the view with a record that was read.

        Args:
            offset: Offset of the record.
            appended_at: When the record was appended to the log, Unix seconds.
            record: The record; `None` for one that this release does not understand.
        """
        self._appended_at_by_offset[offset] = appended_at
        if self._replay_start is None:
            # A reader that started above offset 0 doesn't know the age of the last restatement.
            # It assumes the age at which the next is due.
            assumed_age = self._policy.first_fraction * self._policy.retention_seconds
            self._replay_start = ReplayStart(offset, appended_at - (assumed_age if offset else 0.0))
        if not isinstance(record, records.Restated):
            return
        start_offset = record.snapshot.next_offset
        if self._replay_start.offset <= start_offset <= offset:
            start_appended_at = self._appended_at_by_offset.get(
                start_offset, self._replay_start.appended_at
            )
            self._replay_start = ReplayStart(start_offset, start_appended_at)
            for old_offset in [
                known_offset
                for known_offset in self._appended_at_by_offset
                if known_offset < start_offset
            ]:
                del self._appended_at_by_offset[old_offset]

    def is_due(
        self,
        state: acceptance.AcceptanceState,
        host: str,
        hosts: Sequence[str],
        unix_now: float,
    ) -> bool:
        """Return whether this host has to restate now.

        Args:
            state: The state that would be restated.
            host: Name of this host.
            hosts: Names of the live hosts; their rank is the same on every node.
            unix_now: Time by the wall clock, Unix seconds.

        Returns:
            True if it has to; several hosts that restate at once do no harm.
        """
        if self._replay_start is None or not state.anchored:
            return False
        ranked = identifiers.rendezvous_rank("configuration/restatement", {host, *hosts})
        rank = ranked.index(host)
        if (
            rank == 0
            and state.next_offset - self._replay_start.offset > MAX_RECORDS_BETWEEN_RESTATEMENTS
        ):
            return True
        policy = self._policy
        fraction = min(MAX_RETENTION_FRACTION, policy.first_fraction + rank * policy.rank_fraction)
        return unix_now - self._replay_start.appended_at > fraction * policy.retention_seconds


def restate(state: acceptance.AcceptanceState, operation_id: str) -> records.Restated:
    """Create the record that restates a state.

    Args:
        state: The state; it must include all records before its snapshot's `next_offset`.
        operation_id: Identifier of the restatement.

    Returns:
        The record to append.
    """
    return records.Restated(operation_id, state.snapshot)

"""When and by whom the configuration is restated, before its records expire."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.configuration import records
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.configuration import acceptance

MAX_RECORDS_SINCE = 2000
"""Records after a restatement at which the next is due, whatever its age."""

MAX_FRACTION = 0.7
"""Part of the retention after which every host restates."""


class RestatementPolicy(NamedTuple):
    """When a restatement is due."""

    retention_seconds: float
    """How long the log keeps a record, seconds."""

    first_fraction: float = 0.25
    """Part of the retention after which the owner restates."""

    rank_fraction: float = 0.1
    """Further part of it after which each next host in rank restates, if nobody did."""


class Anchor(NamedTuple):
    """The restatement, or the empty log, that a new reader would begin from."""

    offset: int
    """Offset of the first record that a new reader has to read."""

    appended_at: float
    """When the log took that record, Unix seconds."""


class RestatementView:
    """Keeps what a new reader would begin from."""

    def __init__(self, policy: RestatementPolicy) -> None:
        """Create the view of a reader that has read nothing.

        Args:
            policy: When a restatement is due.
        """
        self._policy = policy
        self._anchor: Anchor | None = None
        self._appended_at_by_offset: dict[int, float] = {}

    @property
    def anchor(self) -> Anchor | None:
        """What a new reader would begin from; `None` while there is nothing to restate."""
        return self._anchor

    def on_record(self, offset: int, appended_at: float, record: records.Record | None) -> None:
        """Take note of a record.

        Args:
            offset: Its offset.
            appended_at: When the log took it, Unix seconds.
            record: The record; `None` for one that this release does not understand.
        """
        self._appended_at_by_offset[offset] = appended_at
        if self._anchor is None:
            # A reader that began in the middle can't tell how old the last restatement is, and
            # takes it to be due already.
            assumed_age = self._policy.first_fraction * self._policy.retention_seconds
            self._anchor = Anchor(offset, appended_at - (assumed_age if offset else 0.0))
        if not isinstance(record, records.Restated):
            return
        begins_at = record.snapshot.next_offset
        if self._anchor.offset <= begins_at <= offset:
            time = self._appended_at_by_offset.get(begins_at, self._anchor.appended_at)
            self._anchor = Anchor(begins_at, time)
            for read in [at for at in self._appended_at_by_offset if at < begins_at]:
                del self._appended_at_by_offset[read]

    def is_due(
        self,
        state: acceptance.AcceptanceState,
        host: str,
        hosts: Sequence[str],
        unix_now: float,
    ) -> bool:
        """Tell whether this host restates now.

        Args:
            state: The state that would be restated.
            host: Name of this host.
            hosts: Names of the live hosts.
            unix_now: Time by the wall clock, Unix seconds.

        Returns:
            Whether it does; several hosts at once do no harm.
        """
        if self._anchor is None or not state.anchored:
            return False
        ranked = identifiers.rendezvous_rank("configuration/restatement", {host, *hosts})
        rank = ranked.index(host)
        if rank == 0 and state.next_offset - self._anchor.offset > MAX_RECORDS_SINCE:
            return True
        policy = self._policy
        fraction = min(MAX_FRACTION, policy.first_fraction + rank * policy.rank_fraction)
        return unix_now - self._anchor.appended_at > fraction * policy.retention_seconds


def restate(state: acceptance.AcceptanceState, operation_id: str) -> records.Restated:
    """Return the record that restates a state.

    Args:
        state: The state; it must lack no record.
        operation_id: Identifier of the restatement.

    Returns:
        The record.
    """
    return records.Restated(operation_id, state.snapshot)

"""Who holds each lease: the same on every node that has read as far."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.leases import records


class Holder(NamedTuple):
    """The holder of one lease."""

    owner: str
    """`host/incarnation` of the holder."""

    fencing: int
    """Fencing number: the offset of the acquisition."""

    expires_at: float
    """When the lease lapses, Unix seconds by the log's clock."""

    read_at: float
    """When the newest record of the lease was read, seconds of the loop's clock."""

    seconds: float
    """Length of the lease, seconds."""


class Holders:
    """Applies the records of the stream in offset order, judged by the log's own clock."""

    def __init__(self) -> None:
        self._holders_by_scope: dict[str, Holder] = {}

    def get(self, scope: str) -> Holder | None:
        """Return the last known holder of a lease, which may have lapsed.

        Args:
            scope: What the lease is about.

        Returns:
            The holder, or `None` if the lease is known to be free.
        """
        return self._holders_by_scope.get(scope)

    def apply(
        self, offset: int, appended_at: float, record: records.LeaseRecord, now: float
    ) -> bool:
        """Apply the next record.

        Args:
            offset: Its offset.
            appended_at: When the log took it, Unix seconds by the log's clock.
            record: The record.
            now: Time of the loop's clock, seconds.

        Returns:
            Whether the record had its effect.
        """
        holder = self._holders_by_scope.get(record.scope)
        if record.step is records.Step.ACQUIRE:
            if holder is not None and appended_at < holder.expires_at:
                return False
            self._set(record, offset, appended_at, now)
            return True
        if record.step is records.Step.RELEASE:
            if holder is None or holder.fencing != record.fencing:
                return False
            del self._holders_by_scope[record.scope]
            return True
        if not _may_renew(holder, record, appended_at):
            return False
        self._set(record, record.fencing, appended_at, now)
        return True

    def _set(
        self, record: records.LeaseRecord, fencing: int, appended_at: float, now: float
    ) -> None:
        """Make the sender of a record the holder."""
        expires_at = appended_at + record.seconds
        holder = Holder(record.owner, fencing, expires_at, now, record.seconds)
        self._holders_by_scope[record.scope] = holder


def _may_renew(holder: Holder | None, record: records.LeaseRecord, appended_at: float) -> bool:
    """Tell whether a renewal has its effect.

    A renewal with a higher fencing number than the known holder's comes from a holder whose
    acquisition has left the log, or was before the first record that this node read.
    """
    if holder is None or record.fencing > holder.fencing:
        return True
    return record.fencing == holder.fencing and appended_at < holder.expires_at

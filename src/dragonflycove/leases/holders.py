"""Holder of each lease, derived from the log alone: nodes that read the same records agree."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.leases import records


class LeaseHolder(NamedTuple):
    """The holder of one lease."""

    owner: str
    """`host/incarnation` of the node that holds the lease."""

    fencing: int
    """Fencing token: the log offset of the acquisition."""

    expires_at: float
    """Expiry time of the lease, Unix seconds by the log's clock."""

    read_at: float
    """Loop time at which its newest acquisition or renewal was read, seconds."""

    lease_seconds: float
    """Duration of the lease, seconds."""


class LeaseHolders:
    """Holders of all leases, built by applying the records of the stream in offset order.

    Expiry is checked by the log's own clock, the append times, so that all readers agree.
    """

    def __init__(self) -> None:
        self._holders_by_scope: dict[str, LeaseHolder] = {}

    def get(self, scope: str) -> LeaseHolder | None:
        """Return the last holder of a lease, even if the lease has expired since.

        Args:
            scope: Resource that the lease protects.

        Returns:
            The holder, or `None` if there was none or it released the lease.
        """
        return self._holders_by_scope.get(scope)

    def apply(
        self, offset: int, appended_at: float, record: records.LeaseRecord, now: float
    ) -> bool:
        """Apply the next record.

        Args:
            offset: Its offset.
            appended_at: When it was appended, Unix seconds by the log's clock.
            record: The record.
            now: Loop time, seconds.

        Returns:
            Whether the requested change took effect.
        """
        holder = self._holders_by_scope.get(record.scope)
        if record.step is records.LeaseAction.ACQUIRE:
            if holder is not None and appended_at < holder.expires_at:
                return False
            self._set_holder(record, offset, appended_at, now)
            return True
        if record.step is records.LeaseAction.RELEASE:
            if holder is None or holder.fencing != record.fencing:
                return False
            del self._holders_by_scope[record.scope]
            return True
        if not _can_renew(holder, record, appended_at):
            return False
        self._set_holder(record, record.fencing, appended_at, now)
        return True

    def _set_holder(
        self, record: records.LeaseRecord, fencing: int, appended_at: float, now: float
    ) -> None:
        """Make the owner of a record the holder, with the duration counted from the append."""
        expires_at = appended_at + record.seconds
        holder = LeaseHolder(record.owner, fencing, expires_at, now, record.seconds)
        self._holders_by_scope[record.scope] = holder


def _can_renew(holder: LeaseHolder | None, record: records.LeaseRecord, appended_at: float) -> bool:
    """Return whether a renewal takes effect.

    A renewal with a higher fencing token than the known holder's comes from a holder whose
    acquisition the log has dropped, or precedes the first record that this node read.
    """
    if holder is None or record.fencing > holder.fencing:
        return True
    return record.fencing == holder.fencing and appended_at < holder.expires_at

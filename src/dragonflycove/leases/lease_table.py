"""Leases that this node holds or competes for, and the fencing tokens for orders under them.

An order is a request by which the holder changes a server; the fencing token lets the server
refuse orders of a previous holder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.leases import holders, records
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class LeaseTimings(NamedTuple):
    """Durations of the lease protocol."""

    lease_seconds: float = 15.0
    """Duration of a lease, seconds."""

    renew_after_seconds: float = 4.0
    """Time from sending the last renewal that took effect to sending the next one, seconds."""

    retry_seconds: float = 1.0
    """Time from sending a renewal or acquisition that is not read back to its retry, seconds."""

    order_margin_seconds: float = 3.0
    """Minimum remaining time of a lease for an order to be given under it, seconds."""

    pause_margin_seconds: float = 20.0
    """Time after an acquisition in which servers that ignore fencing tokens get no orders, seconds.

    It covers a pause of the previous holder between its check of the lease and the arrival of its
    order, because such servers accept late orders of a previous holder.
    """

    rank_delay_seconds: float = 2.0
    """Additional delay per rank before a node acquires a free lease, seconds."""


class Append(NamedTuple):
    """Append a record to the stream; it takes effect only when it is read back."""

    value: dict[str, Any]
    """The encoded record."""


class _OwnLease:
    """State of a lease that this node holds or competes for; all times are loop times, seconds."""

    def __init__(self) -> None:
        self.sent_at_by_record: dict[str, float] = {}
        """Sending time of each record that was not read back yet, by record identifier."""
        self.last_sent_at = float("-inf")
        """Sending time of the newest record; -inf before the first."""
        self.valid_until = float("-inf")
        """Earliest possible expiry: the duration counted from sending instead of appending."""
        self.acquired_at = float("inf")
        """Time at which the newest acquisition by this node was read back; infinite without one."""
        self.renewed_at = float("-inf")
        """Sending time of the newest acquisition or renewal that took effect; -inf before one."""

    def drop_sent_before(self, limit: float) -> None:
        """Drop records sent before a time, whose lease has expired even if they took effect."""
        kept = {key: at for key, at in self.sent_at_by_record.items() if at >= limit}
        self.sent_at_by_record = kept


class LeaseTable:
    """The leases of one node.

    Args:
        identity: Identity of this node.
        timings: Durations of the protocol.
        rng: Random generator for identifiers.
    """

    def __init__(
        self, identity: identifiers.NodeIdentity, timings: LeaseTimings, rng: random.Random
    ) -> None:
        self._identity = identity
        self._owner = str(identity)
        self._timings = timings
        self._rng = rng
        self._holders = holders.LeaseHolders()
        self._own_leases_by_scope: dict[str, _OwnLease] = {}
        self._rank_by_scope: dict[str, int] = {}
        self._active_from: float | None = None

    def on_hosts(self, scopes: Iterable[str], hosts: Iterable[str]) -> None:
        """Set the leases to compete for, and the hosts that compete for them.

        A host's rank only delays its acquisitions, so that hosts rarely compete at the same time;
        the log decides who holds a lease.

        Args:
            scopes: Resources that the leases protect.
            hosts: Names of the live hosts.
        """
        names = list(hosts)
        self._rank_by_scope = {}
        for scope in scopes:
            ranked = identifiers.rendezvous_rank(scope, names)
            if self._identity.host in ranked:
                self._rank_by_scope[scope] = ranked.index(self._identity.host)

    def on_end_reached(self, now: float) -> None:
        """Record that the stream was read from its first retained record to its end.

        Args:
            now: Loop time, seconds.
        """
        if self._active_from is None:
            # A current holder renews within this time, so its renewal is read before then.
            self._active_from = now + self._timings.lease_seconds

    def on_record(self, offset: int, appended_at: float, value: dict[str, Any], now: float) -> None:
        """Apply the next record of the stream.

        Args:
            offset: Its offset; records must be passed in offset order without omissions.
            appended_at: When it was appended, Unix seconds by the log's clock.
            value: The encoded record.
            now: Loop time, seconds.
        """
        record = records.decode(value)
        if record is None:
            return
        took_effect = self._holders.apply(offset, appended_at, record, now)
        own = self._own_leases_by_scope.get(record.scope)
        if own is None or record.owner != self._owner or not took_effect:
            return
        if record.step is records.LeaseAction.ACQUIRE:
            own.acquired_at = now
        sent_at = own.sent_at_by_record.pop(record.record_id, None)
        if sent_at is None or record.step is records.LeaseAction.RELEASE:
            return
        own.renewed_at = max(own.renewed_at, sent_at)
        # The record was appended after it was sent, so the lease expires there no earlier.
        own.valid_until = max(own.valid_until, sent_at + record.seconds)

    def fencing_token(self, scope: str, checks_fencing: bool, now: float) -> int | None:
        """Return the fencing token for an order to a server, if the node may give one now.

        Args:
            scope: Resource that the lease protects.
            checks_fencing: Whether the server refuses orders with an old token.
            now: Loop time, read immediately before the order, seconds.

        Returns:
            The fencing token, or `None` if no order may be given.
        """
        holder = self._holders.get(scope)
        own = self._own_leases_by_scope.get(scope)
        if holder is None or own is None or holder.owner != self._owner:
            return None
        if now + self._timings.order_margin_seconds > own.valid_until:
            return None
        if not checks_fencing and now < own.acquired_at + self._timings.pause_margin_seconds:
            return None
        return holder.fencing

    def tick(self, now: float) -> list[Append]:
        """Renew the leases that the node holds and acquire those that are free.

        Args:
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        if self._active_from is None or now < self._active_from:
            return []
        result: list[Append] = []
        for scope, rank in self._rank_by_scope.items():
            result += self._tick_scope(scope, rank, now)
        return result

    def release_all(self, now: float) -> list[Append]:
        """Release every lease that the node holds, and compete for none, for a planned stop.

        Args:
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        result: list[Append] = []
        for scope, own in self._own_leases_by_scope.items():
            holder = self._holders.get(scope)
            own.valid_until = float("-inf")
            if holder is not None and holder.owner == self._owner:
                result.append(
                    self._append_record(
                        own, records.LeaseAction.RELEASE, scope, holder.fencing, now
                    )
                )
        self._rank_by_scope = {}
        return result

    def _tick_scope(self, scope: str, rank: int, now: float) -> list[Append]:
        """Renew or acquire one lease, if that is due."""
        own = self._own_leases_by_scope.setdefault(scope, _OwnLease())
        if now < own.last_sent_at + self._timings.retry_seconds:
            return []
        own.drop_sent_before(now - self._timings.lease_seconds)
        holder = self._holders.get(scope)
        free_since = self._active_from or now
        if holder is not None:
            free_since = max(free_since, holder.read_at + holder.lease_seconds)
        if holder is not None and holder.owner == self._owner and now < free_since:
            if now < own.renewed_at + self._timings.renew_after_seconds:
                return []
            return [self._append_record(own, records.LeaseAction.RENEW, scope, holder.fencing, now)]
        if now < free_since + rank * self._timings.rank_delay_seconds:
            return []
        return [self._append_record(own, records.LeaseAction.ACQUIRE, scope, 0, now)]

    def _append_record(
        self, own: _OwnLease, step: records.LeaseAction, scope: str, fencing: int, now: float
    ) -> Append:
        """Return the effect that appends a record, and store the time of sending."""
        record_id = identifiers.new_id(self._rng, "lease")
        own.last_sent_at = now
        own.sent_at_by_record[record_id] = now
        record = records.LeaseRecord(
            record_id, step, scope, self._owner, self._timings.lease_seconds, fencing
        )
        return Append(records.encode(record))

"""Decides at a node which leases it holds, and whether it may still give orders under them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from dragonflycove.leases import holders, records
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable


class LeaseTimings(NamedTuple):
    """Times of the lease protocol."""

    seconds: float = 15.0
    """Length of a lease, seconds."""

    renew_after_seconds: float = 4.0
    """Time after the last renewal at which the next one is sent, seconds."""

    retry_seconds: float = 1.0
    """Time after which a renewal or acquisition that was not read back is sent again, seconds."""

    order_seconds: float = 3.0
    """Time that must be left of a lease to give an order under it, seconds."""

    pause_margin_seconds: float = 20.0
    """Time for which a new holder lets servers alone that ignore fencing numbers, seconds."""

    rank_seconds: float = 2.0
    """Time by which each lower ranked node waits longer to acquire a free lease, seconds."""


class Append(NamedTuple):
    """Append a record to the stream; only reading it back counts."""

    value: dict[str, Any]
    """Its wire form."""


class _Own:
    """What the node knows of a lease that it holds or wants."""

    def __init__(self) -> None:
        self.sent_at_by_record: dict[str, float] = {}
        self.last_sent_at = float("-inf")
        self.valid_until = float("-inf")
        self.acquired_at = float("inf")
        self.renewed_at = float("-inf")

    def forget_sent_before(self, limit: float) -> None:
        """Forget records whose effect would come too late to be of use."""
        kept = {key: at for key, at in self.sent_at_by_record.items() if at >= limit}
        self.sent_at_by_record = kept


class LeaseTable:
    """The leases of one node.

    Args:
        identity: This node.
        rules: Times of the protocol.
        rng: Generator for identifiers.
    """

    def __init__(
        self, identity: identifiers.NodeIdentity, rules: LeaseTimings, rng: random.Random
    ) -> None:
        self._identity = identity
        self._owner = str(identity)
        self._rules = rules
        self._rng = rng
        self._holders = holders.Holders()
        self._own_by_scope: dict[str, _Own] = {}
        self._rank_by_scope: dict[str, int] = {}
        self._settled_at: float | None = None

    def on_hosts(self, scopes: Iterable[str], hosts: Iterable[str]) -> None:
        """Set the leases to hold, and the hosts that compete for them.

        The rank only spreads the acquisitions in time; the log decides who holds a lease.

        Args:
            scopes: What the leases are about.
            hosts: Names of the live hosts.
        """
        names = list(hosts)
        self._rank_by_scope = {}
        for scope in scopes:
            ranked = identifiers.rendezvous_rank(scope, names)
            if self._identity.host in ranked:
                self._rank_by_scope[scope] = ranked.index(self._identity.host)

    def on_end_reached(self, now: float) -> None:
        """Note that the stream was read from its retained start to its end.

        Args:
            now: Time of the loop's clock, seconds.
        """
        if self._settled_at is None:
            # Whoever holds a lease now renews it within this time, so its record is seen.
            self._settled_at = now + self._rules.seconds

    def on_record(self, offset: int, appended_at: float, value: dict[str, Any], now: float) -> None:
        """Apply the next record of the stream.

        Args:
            offset: Its offset; records come in this order and none is left out.
            appended_at: When the log took it, Unix seconds by the log's clock.
            value: Its wire form.
            now: Time of the loop's clock, seconds.
        """
        record = records.decode(value)
        if record is None:
            return
        has_effect = self._holders.apply(offset, appended_at, record, now)
        own = self._own_by_scope.get(record.scope)
        if own is None or record.owner != self._owner or not has_effect:
            return
        if record.step is records.Step.ACQUIRE:
            own.acquired_at = now
        sent_at = own.sent_at_by_record.pop(record.record_id, None)
        if sent_at is None or record.step is records.Step.RELEASE:
            return
        own.renewed_at = max(own.renewed_at, sent_at)
        # The log took the record after it was sent, so the lease lapses there no earlier.
        own.valid_until = max(own.valid_until, sent_at + record.seconds)

    def fencing_token(self, scope: str, checks_fencing: bool, now: float) -> int | None:
        """Return the number for an order to a server now, if the node may give one.

        Args:
            scope: What the lease is about.
            checks_fencing: Whether the server refuses old numbers.
            now: Time of the loop's clock, read immediately before the order, seconds.

        Returns:
            The fencing number, or `None` if no order may be given.
        """
        holder = self._holders.get(scope)
        own = self._own_by_scope.get(scope)
        if holder is None or own is None or holder.owner != self._owner:
            return None
        if now + self._rules.order_seconds > own.valid_until:
            return None
        if not checks_fencing and now < own.acquired_at + self._rules.pause_margin_seconds:
            return None
        return holder.fencing

    def tick(self, now: float) -> list[Append]:
        """Renew the leases that the node holds and acquire those that are free.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        if self._settled_at is None or now < self._settled_at:
            return []
        result: list[Append] = []
        for scope, rank in self._rank_by_scope.items():
            result += self._tick_scope(scope, rank, now)
        return result

    def release_all(self, now: float) -> list[Append]:
        """Give up every lease that the node holds, for a planned stop.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        result: list[Append] = []
        for scope, own in self._own_by_scope.items():
            holder = self._holders.get(scope)
            own.valid_until = float("-inf")
            if holder is not None and holder.owner == self._owner:
                result.append(self._send(own, records.Step.RELEASE, scope, holder.fencing, now))
        self._rank_by_scope = {}
        return result

    def _tick_scope(self, scope: str, rank: int, now: float) -> list[Append]:
        """Renew or acquire one lease."""
        own = self._own_by_scope.setdefault(scope, _Own())
        if now < own.last_sent_at + self._rules.retry_seconds:
            return []
        own.forget_sent_before(now - self._rules.seconds)
        holder = self._holders.get(scope)
        free_since = self._settled_at or now
        if holder is not None:
            free_since = max(free_since, holder.read_at + holder.seconds)
        if holder is not None and holder.owner == self._owner and now < free_since:
            if now < own.renewed_at + self._rules.renew_after_seconds:
                return []
            return [self._send(own, records.Step.RENEW, scope, holder.fencing, now)]
        if now < free_since + rank * self._rules.rank_seconds:
            return []
        return [self._send(own, records.Step.ACQUIRE, scope, 0, now)]

    def _send(self, own: _Own, step: records.Step, scope: str, fencing: int, now: float) -> Append:
        """Return the effect that appends a record, and remember when it was sent."""
        record_id = identifiers.new_id(self._rng, "lease")
        own.last_sent_at = now
        own.sent_at_by_record[record_id] = now
        record = records.LeaseRecord(
            record_id, step, scope, self._owner, self._rules.seconds, fencing
        )
        return Append(records.encode(record))

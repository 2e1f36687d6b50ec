"""Decides what a node gives back on the engines that it looks after."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.reclaim import inventory, owners
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Mapping


class ReclaimRules(NamedTuple):
    """Times of reclaim."""

    lag_seconds: float = 3.0
    """Bound on the host list's lag, seconds."""

    silent_seconds: float = 30.0
    """Time without a sign of life after which a listed host counts as dead, seconds."""

    grace_seconds: float = 2.0
    """Time after an owner's death in which its callers may resume at another node, seconds."""

    rank_seconds: float = 1.0
    """Time by which each lower ranked node waits longer, seconds."""

    orphan_seconds: float = 10.0
    """Time after which a live node gives back what it owns and does not know, seconds."""

    ranks: int = 3
    """Nodes that look after one engine."""

    @classmethod
    def from_config(cls, lag_seconds: float, reclaim_seconds: float) -> ReclaimRules:
        """Divide the time that shares allow for reclaim among its steps.

        Args:
            lag_seconds: Bound on the host list's lag, seconds.
            reclaim_seconds: Time within which what a dead node left is given back, one reading of
                the engine included, seconds.

        Returns:
            The rules.
        """
        part = reclaim_seconds / 5.0
        return cls(lag_seconds, grace_seconds=2.0 * part, rank_seconds=part)

    @property
    def bound_seconds(self) -> float:
        """Time from a listed owner's death after which the last ranked node has acted, seconds."""
        return self.silent_seconds + self.grace_seconds + (self.ranks - 1) * self.rank_seconds


class CancelStream(NamedTuple):
    """Free a stream."""

    server_id: str
    """The engine."""

    attempt: str
    """Attempt of the stream."""


class DeleteExport(NamedTuple):
    """Drop an exported KV cache."""

    server_id: str
    """The engine."""

    export_id: str
    """Identifier of the export."""


class DeleteReservation(NamedTuple):
    """Give up a reservation."""

    server_id: str
    """The engine."""

    group: str
    """Identifier of the memory group."""


Effect = CancelStream | DeleteExport | DeleteReservation
"""Everything that reclaim asks for; each is idempotent."""


class Reclaimer:
    """Compares what engines hold with who lives.

    Args:
        identity: This node.
        rules: Times of reclaim.
    """

    def __init__(self, identity: identifiers.NodeIdentity, rules: ReclaimRules) -> None:
        self._identity = identity
        self._rules = rules
        self._owners = owners.OwnerView(rules.lag_seconds, rules.silent_seconds)
        self._hosts: frozenset[str] = frozenset()
        self._seen_at_by_server: dict[str, dict[inventory.Item, float]] = {}

    def on_members(
        self, hosts: frozenset[str], incarnation_by_host: Mapping[str, str], now: float
    ) -> None:
        """Take in who is listed, and who answered since the last time.

        Args:
            hosts: Names of the hosts on the list, leaving ones included.
            incarnation_by_host: Incarnations of the hosts that answered since the last time.
            now: Time of the loop's clock, seconds.
        """
        own = {self._identity.host: self._identity.incarnation}
        listed = hosts | {self._identity.host}
        self._owners.on_members(listed, {**incarnation_by_host, **own}, now)
        # A dead host must not keep its rank while it is still on the list.
        self._hosts = frozenset(h for h in listed if not self._owners.is_silent(h, now))

    def rank(self, server_id: str) -> int | None:
        """Tell which of the nodes that look after an engine this one is.

        Args:
            server_id: The engine.

        Returns:
            The rank, 0 for the first; `None` for a node that does not look after it.
        """
        ranked = identifiers.rendezvous_rank(server_id, self._hosts)[: self._rules.ranks]
        host = self._identity.host
        return ranked.index(host) if host in ranked else None

    def on_inventory(
        self,
        server_id: str,
        held: inventory.Inventory,
        known_ids: frozenset[str],
        now: float,
    ) -> list[Effect]:
        """Compare an engine's inventory with who lives.

        Args:
            server_id: The engine.
            held: What holds memory there, read just now.
            known_ids: Attempts, exports and groups that this node itself uses.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        before = self._seen_at_by_server.get(server_id, {})
        seen_at = {item: before.get(item, now) for item in held.items}
        self._seen_at_by_server[server_id] = seen_at
        rank = self.rank(server_id)
        result: list[Effect] = []
        for item, first in seen_at.items():
            if item.owner == self._identity:
                is_due = self._is_orphan(item, first, known_ids, now)
            else:
                is_due = rank is not None and self._is_left(item, first, rank, now)
            if is_due:
                result.append(_to_effect(server_id, item))
        return result

    def on_server_gone(self, server_id: str) -> None:
        """Forget an engine.

        Args:
            server_id: The engine.
        """
        self._seen_at_by_server.pop(server_id, None)

    def _is_orphan(
        self, item: inventory.Item, first: float, known_ids: frozenset[str], now: float
    ) -> bool:
        """Tell whether the node itself has left this behind."""
        return item.item_id not in known_ids and now >= first + self._rules.orphan_seconds

    def _is_left(self, item: inventory.Item, first: float, rank: int, now: float) -> bool:
        """Tell whether a dead owner has left this, and it is this node's turn."""
        dead_since = self._owners.dead_since(item.owner, first, now)
        if dead_since is None:
            return False
        # An item seen for the first time may have changed its owner a moment ago.
        since = max(dead_since, first)
        turn = since + self._rules.grace_seconds + rank * self._rules.rank_seconds
        return now >= turn


def _to_effect(server_id: str, item: inventory.Item) -> Effect:
    """Return the effect that gives an item back."""
    if item.kind is inventory.Kind.STREAM:
        return CancelStream(server_id, item.item_id)
    if item.kind is inventory.Kind.EXPORT:
        return DeleteExport(server_id, item.item_id)
    return DeleteReservation(server_id, item.item_id)

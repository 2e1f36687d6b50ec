"""Decides which items (see `inventory.Item`) a node frees on engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.reclaim import inventory, owners
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Mapping


class ReclaimRules(NamedTuple):
    """When items are freed on engines, and how many nodes are responsible for one engine.

    Reclaimed are the items of dead node processes and those that their live owner does not use.
    """

    lag_seconds: float = 3.0
    """Maximum lag of the host list, seconds."""

    unresponsive_seconds: float = 30.0
    """Time since its last message after which a listed host counts as dead, seconds."""

    grace_seconds: float = 2.0
    """Time after an owner's death for its callers to resume at another node, seconds."""

    rank_delay_seconds: float = 1.0
    """Additional delay per rank, so that a node acts only if those before it did not, seconds."""

    orphan_seconds: float = 10.0
    """Time from first seeing an item that this node owns but does not use to freeing it, seconds."""

    nodes_per_engine: int = 3
    """Number of nodes that are responsible for one engine."""

    @classmethod
    def from_config(cls, lag_seconds: float, reclaim_seconds: float) -> ReclaimRules:
        """Divide the time that the shares allow for reclaim among its steps.

        Args:
            lag_seconds: Maximum lag of the host list, seconds.
            reclaim_seconds: Time within which a dead node's items are freed, including one read
                of the engine's inventory, seconds.

        Returns:
            The rules.
        """
        unit_seconds = reclaim_seconds / 5.0
        return cls(lag_seconds, grace_seconds=2.0 * unit_seconds, rank_delay_seconds=unit_seconds)

    @property
    def max_delay_seconds(self) -> float:
        """Time from a listed owner's last message until the last ranked node acts, seconds."""
        return (
            self.unresponsive_seconds
            + self.grace_seconds
            + (self.nodes_per_engine - 1) * self.rank_delay_seconds
        )


class CancelStream(NamedTuple):
    """Cancel a stream."""

    server_id: str
    """Identifier of the engine."""

    attempt: str
    """Identifier of the stream's attempt."""


class DeleteExport(NamedTuple):
    """Delete an exported KV cache."""

    server_id: str
    """Identifier of the engine."""

    export_id: str
    """Identifier of the export."""


class DeleteReservation(NamedTuple):
    """Delete a reservation of a memory group."""

    server_id: str
    """Identifier of the engine."""

    group: str
    """Identifier of the memory group."""


Effect = CancelStream | DeleteExport | DeleteReservation
"""Effects for the node to carry out; each is idempotent. Their class names are logged."""


class Reclaimer:
    """Finds items on engines whose owner is dead, or is this node and does not use them.

    Args:
        identity: Identity of this node.
        rules: Delays of reclaim and number of nodes per engine.
    """

    def __init__(self, identity: identifiers.NodeIdentity, rules: ReclaimRules) -> None:
        self._identity = identity
        self._rules = rules
        self._owners = owners.OwnerView(rules.lag_seconds, rules.unresponsive_seconds)
        self._hosts: frozenset[str] = frozenset()
        self._seen_at_by_server: dict[str, dict[inventory.Item, float]] = {}

    def on_members(
        self, hosts: frozenset[str], incarnation_by_host: Mapping[str, str], now: float
    ) -> None:
        """Update the host list and the hosts that answered since the last call.

        Args:
            hosts: Names of the hosts on the list, including leaving ones.
            incarnation_by_host: Incarnations of the hosts that answered since the last call.
            now: Loop time, seconds.
        """
        own = {self._identity.host: self._identity.incarnation}
        listed = hosts | {self._identity.host}
        self._owners.on_members(listed, {**incarnation_by_host, **own}, now)
        # A dead host that is still on the list must not keep its rank.
        self._hosts = frozenset(h for h in listed if not self._owners.is_unresponsive(h, now))

    def rank(self, server_id: str) -> int | None:
        """Return this node's rank among the nodes that are responsible for an engine.

        Args:
            server_id: Identifier of the engine.

        Returns:
            The rank, 0 for the first; `None` if this node is not responsible for the engine.
        """
        ranked = identifiers.rendezvous_rank(server_id, self._hosts)[: self._rules.nodes_per_engine]
        host = self._identity.host
        return ranked.index(host) if host in ranked else None

    def on_inventory(
        self,
        server_id: str,
        reading: inventory.Inventory,
        known_ids: frozenset[str],
        now: float,
    ) -> list[Effect]:
        """Return what to free on an engine.

        Args:
            server_id: Identifier of the engine.
            reading: The engine's inventory, read just now.
            known_ids: Identifiers of the attempts, exports and groups that this node uses.
            now: Loop time, seconds.

        Returns:
            One effect for each item to free.
        """
        previous = self._seen_at_by_server.get(server_id, {})
        seen_at = {item: previous.get(item, now) for item in reading.items}
        self._seen_at_by_server[server_id] = seen_at
        rank = self.rank(server_id)
        result: list[Effect] = []
        for item, first_seen_at in seen_at.items():
            if item.owner == self._identity:
                is_due = self._is_orphan(item, first_seen_at, known_ids, now)
            else:
                is_due = rank is not None and self._is_reclaimable(item, first_seen_at, rank, now)
            if is_due:
                result.append(_make_effect(server_id, item))
        return result

    def on_engine_removed(self, server_id: str) -> None:
        """Drop the state of an engine that no longer exists.

        Args:
            server_id: Identifier of the engine.
        """
        self._seen_at_by_server.pop(server_id, None)

    def _is_orphan(
        self, item: inventory.Item, first_seen_at: float, known_ids: frozenset[str], now: float
    ) -> bool:
        """Return whether an item of this node is unused and was seen `orphan_seconds` ago or more."""
        return item.item_id not in known_ids and now >= first_seen_at + self._rules.orphan_seconds

    def _is_reclaimable(
        self, item: inventory.Item, first_seen_at: float, rank: int, now: float
    ) -> bool:
        """Return whether the item's owner is dead and the delay of this node's rank is over."""
        dead_since = self._owners.dead_since(item.owner, first_seen_at, now)
        if dead_since is None:
            return False
        # An item that is seen for the first time may have changed its owner just before.
        since = max(dead_since, first_seen_at)
        due_at = since + self._rules.grace_seconds + rank * self._rules.rank_delay_seconds
        return now >= due_at


def _make_effect(server_id: str, item: inventory.Item) -> Effect:
    """Return the effect that frees an item."""
    if item.kind is inventory.Kind.STREAM:
        return CancelStream(server_id, item.item_id)
    if item.kind is inventory.Kind.EXPORT:
        return DeleteExport(server_id, item.item_id)
    return DeleteReservation(server_id, item.item_id)

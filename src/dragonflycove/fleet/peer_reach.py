"""Which services other nodes don't reach, as they report or as relayed requests have shown."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

REPORT_RETENTION_SECONDS = 3.0
"""Time for which a report holds; nodes repeat theirs while they don't reach some service."""


class NodeKey(NamedTuple):
    """One incarnation of a node."""

    host: str
    """Host name."""

    incarnation: int
    """Incarnation of its process."""


class PeerReach:
    """The services that other nodes don't reach."""

    def __init__(self) -> None:
        """Create without reports; all nodes count as reaching all services."""
        self._until_by_node: dict[NodeKey, dict[str, float]] = {}

    def on_report(self, node: NodeKey, services: Iterable[str], now: float) -> None:
        """Record which services a node does not reach.

        Args:
            node: The node.
            services: All services that it doesn't reach; empty if it reaches each.
            now: Loop time.
        """
        until = now + REPORT_RETENTION_SECONDS
        self._until_by_node[node] = dict.fromkeys(services, until)

    def exclude(self, node: NodeKey, service: str, until: float) -> None:
        """Keep a node from being chosen for a service, after it could not serve a request.

        Args:
            node: The node.
            service: The service.
            until: Loop time until which it is not chosen.
        """
        self._until_by_node.setdefault(node, {})[service] = until

    def reaches(self, node: NodeKey, service: str, now: float) -> bool:
        """Whether nothing speaks against a node's reaching a service.

        Args:
            node: The node.
            service: The service.
            now: Loop time.
        """
        return self._until_by_node.get(node, {}).get(service, float("-inf")) <= now

    def reaches_all(self, node: NodeKey, now: float) -> bool:
        """Whether nothing speaks against a node's reaching every service.

        Args:
            node: The node.
            now: Loop time.
        """
        return all(until <= now for until in self._until_by_node.get(node, {}).values())

    def discard_expired(self, now: float) -> None:
        """Discard reports that don't hold any more.

        Args:
            now: Loop time.
        """
        self._until_by_node = {
            node: until_by_service
            for node, until_by_service in self._until_by_node.items()
            if any(until > now for until in until_by_service.values())
        }

"""Counts the nodes that may send requests to servers, among which common limits are divided.

A node that is cut off can't tell whether the others still run. It goes on counting them, so that
the shares of groups that don't reach each other add up to no more than the limit.
"""

from __future__ import annotations

SENDER_RETENTION_SECONDS = 600.0
"""Time after its last sign of life for which a node counts as one that may send requests.

Longer than any partition that the fleet has to bear without overstepping a common limit.
"""

DEPARTURE_SECONDS = 30.0
"""Time after which a node that is leaving, or that is only listed in the store, doesn't count."""

UNKNOWN_FLEET_SHARE = 0.1
"""Share of the fleet that a node assumes to be while it knows of no others."""


class SenderCounts:
    """The nodes besides this one that may send requests, by host."""

    def __init__(self) -> None:
        """Create without knowledge of other nodes."""
        self._until_by_host: dict[str, float] = {}
        self._has_learned_of_others = False

    def on_running(self, host: str, now: float, *, is_leaving: bool) -> None:
        """Record a sign of life of another node.

        Args:
            host: Its host.
            now: Loop time.
            is_leaving: Whether it is stopping.
        """
        self._has_learned_of_others = True
        retention = DEPARTURE_SECONDS if is_leaving else SENDER_RETENTION_SECONDS
        self._until_by_host[host] = now + retention

    def on_listed(self, host: str, now: float) -> None:
        """Record a node that is only known from the store's list.

        Args:
            host: Its host.
            now: Loop time.
        """
        self._until_by_host.setdefault(host, now + DEPARTURE_SECONDS)

    def on_list_read(self) -> None:
        """Record that the store's list of all nodes has been read."""
        self._has_learned_of_others = True

    def count(self, now: float) -> int:
        """Return how many nodes may send requests to servers, this one included.

        Args:
            now: Loop time.

        Returns:
            The number of nodes; 0 while this node has not learned of any others.
        """
        if not self._has_learned_of_others:
            return 0
        return 1 + sum(now < until for until in self._until_by_host.values())

    def share(self, reachable: int, now: float) -> float:
        """Return the share of a common limit that a group of nodes may use.

        Args:
            reachable: Nodes of the group.
            now: Loop time.

        Returns:
            The share, 0 to 1; `UNKNOWN_FLEET_SHARE` while no other node has been learned of.
        """
        senders = self.count(now)
        return min(1.0, reachable / senders) if senders else UNKNOWN_FLEET_SHARE

    def discard_expired(self, now: float) -> None:
        """Discard nodes that don't count any more.

        Args:
            now: Loop time.
        """
        self._until_by_host = {
            host: until for host, until in self._until_by_host.items() if now < until
        }

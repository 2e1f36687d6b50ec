"""Chooses which backend servers each node uses where there are too many to use them all."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Mapping

NODES_PER_SERVER = 12
"""Number of nodes that use each backend server."""

LOCAL_NODES_PER_SERVER = 8
"""Number of those nodes that are in the server's zone; fewer if the zone has fewer nodes."""


class ZonedServer(NamedTuple):
    """A backend server and its availability zone."""

    name: str
    """Identifier of the backend server."""

    zone: str
    """Name of the server's availability zone."""


def choose_nodes(
    server: ZonedServer,
    zone_by_host: Mapping[str, str],
    nodes_per_server: int = NODES_PER_SERVER,
    local_nodes: int = LOCAL_NODES_PER_SERVER,
) -> tuple[str, ...]:
    """Return the nodes that use a backend server.

    Removing a host changes only the subsets that it was part of (rendezvous hashing).

    Args:
        server: The backend server.
        zone_by_host: Availability zone of each host, by host name.
        nodes_per_server: Number of nodes to choose.
        local_nodes: Maximum number of them that are chosen from the server's zone first.

    Returns:
        Names of hosts: the highest ranked of the zone, then the highest ranked of the rest. All
        hosts if there are no more than `nodes_per_server`.
    """
    if len(zone_by_host) <= nodes_per_server:
        return tuple(sorted(zone_by_host))
    ranked = identifiers.rendezvous_rank(_key(server), zone_by_host)
    local = [name for name in ranked if zone_by_host[name] == server.zone][:local_nodes]
    chosen = set(local)
    others = [name for name in ranked if name not in chosen]
    return tuple(local + others[: nodes_per_server - len(local)])


class SubsetTable:
    """The backend servers that one host uses, updated incrementally."""

    def __init__(self, host: str) -> None:
        """Create a table without hosts.

        Args:
            host: Name of this node's host.
        """
        self._host = host
        self._zone_by_host: dict[str, str] = {}
        self._nodes_by_server: dict[ZonedServer, frozenset[str]] = {}

    def update(
        self, zone_by_host: Mapping[str, str], servers: frozenset[ZonedServer]
    ) -> frozenset[str]:
        """Update the table and return this host's subset.

        Args:
            zone_by_host: Availability zone of each host, by host name.
            servers: All backend servers.

        Returns:
            Identifiers of the backend servers that this host uses.
        """
        previous_zone_by_host = self._zone_by_host
        self._zone_by_host = dict(zone_by_host)
        changed = frozenset(
            name
            for name in previous_zone_by_host.keys() | zone_by_host.keys()
            if previous_zone_by_host.get(name) != zone_by_host.get(name)
        )
        previous_nodes = self._nodes_by_server
        self._nodes_by_server = {
            server: (
                previous_nodes[server]
                if server in previous_nodes
                and not _may_change_nodes(server, previous_nodes[server], changed)
                else frozenset(choose_nodes(server, self._zone_by_host))
            )
            for server in servers
        }
        return frozenset(s.name for s, n in self._nodes_by_server.items() if self._host in n)


def _may_change_nodes(server: ZonedServer, nodes: frozenset[str], changed: frozenset[str]) -> bool:
    """Return whether a change of hosts may change the nodes of a backend server."""
    if not changed:
        return False
    if changed & nodes or len(nodes) < NODES_PER_SERVER:
        return True
    key = _key(server)
    lowest_score = min(identifiers.stable_hash(key, name) for name in nodes)
    return any(identifiers.stable_hash(key, name) >= lowest_score for name in changed)


def _key(server: ZonedServer) -> str:
    """Return the rendezvous key of a backend server."""
    return f"subset/{server.name}"

"""Chooses the backend servers that one node works with, where all would be too many."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Mapping

NODES_PER_SERVER = 12
"""Nodes that work with each backend server."""

LOCAL_NODES_PER_SERVER = 8
"""How many of them are in the backend server's own zone, where it has as many."""


class ZonedServer(NamedTuple):
    """A host or backend server and its availability zone."""

    name: str
    """Name of the host, or identifier of the backend server."""

    zone: str
    """Name of its availability zone."""


def choose_nodes(
    server: ZonedServer,
    zone_by_host: Mapping[str, str],
    nodes_per_server: int = NODES_PER_SERVER,
    local_nodes: int = LOCAL_NODES_PER_SERVER,
) -> tuple[str, ...]:
    """Return the nodes that work with a backend server.

    Removing a host moves only the places that it held.

    Args:
        server: The backend server.
        zone_by_host: Zones of all hosts by name.
        nodes_per_server: Nodes wanted.
        local_nodes: How many of them should be in the backend server's zone.

    Returns:
        Names of hosts: the best local ones, then the best of the rest.
    """
    if len(zone_by_host) <= nodes_per_server:
        return tuple(sorted(zone_by_host))
    ranked = identifiers.rendezvous_rank(_key(server), zone_by_host)
    local = [name for name in ranked if zone_by_host[name] == server.zone][:local_nodes]
    chosen = set(local)
    others = [name for name in ranked if name not in chosen]
    return tuple(local + others[: nodes_per_server - len(local)])


class SubsetTable:
    """The backend servers that one host works with, kept up to date."""

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
        """Return the subset for the hosts and backend servers given.

        Args:
            zone_by_host: Zones of all hosts by name.
            servers: All backend servers.

        Returns:
            Identifiers of the backend servers that this host works with.
        """
        before = self._zone_by_host
        self._zone_by_host = dict(zone_by_host)
        changed = frozenset(
            name
            for name in before.keys() | zone_by_host.keys()
            if before.get(name) != zone_by_host.get(name)
        )
        known = self._nodes_by_server
        self._nodes_by_server = {
            server: (
                known[server]
                if server in known and not _moves(server, known[server], changed)
                else frozenset(choose_nodes(server, self._zone_by_host))
            )
            for server in servers
        }
        return frozenset(s.name for s, n in self._nodes_by_server.items() if self._host in n)


def _moves(server: ZonedServer, nodes: frozenset[str], changed: frozenset[str]) -> bool:
    """Tell whether a change of hosts may change the nodes of a backend server."""
    if not changed:
        return False
    if changed & nodes or len(nodes) < NODES_PER_SERVER:
        return True
    key = _key(server)
    worst = min(identifiers.stable_hash(key, name) for name in nodes)
    return any(identifiers.stable_hash(key, name) >= worst for name in changed)


def _key(server: ZonedServer) -> str:
    """Return the rendezvous key of a backend server."""
    return f"subset/{server.name}"

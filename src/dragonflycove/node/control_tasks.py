"""Connects the configuration, peer and membership tasks of one node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.membership import membership
from dragonflycove.node import membership_task, peer_task, snapshot_exchange

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dragonflycove.infrastructure import host_list_client
    from dragonflycove.membership import digests
    from dragonflycove.node import configuration_task
    from dragonflycove.telemetry import metrics as node_metrics
    from dragonflycove.values import identifiers


class ControlSettings(NamedTuple):
    """Identity, peer address and start time of the node."""

    identity: identifiers.NodeIdentity
    """Host name and incarnation of this process."""

    peer_address: str
    """Address at which this node listens for other nodes, `a.b.c.d:port`."""

    started_at: float
    """When the process started, Unix seconds."""


class ControlTasks:
    """The tasks by which nodes exchange the configuration and detect each other's state."""

    def __init__(
        self,
        settings: ControlSettings,
        configuration: configuration_task.ConfigurationTask,
        rng: random.Random,
        metrics: node_metrics.Metrics,
        on_member_changed: Callable[[digests.Digest], None] | None = None,
    ) -> None:
        """Create the tasks; they start with `run`.

        Args:
            settings: Identity, peer address and start time of this node.
            configuration: Follows the configuration stream.
            rng: Generator of identifiers and random choices.
            metrics: The node's metrics.
            on_member_changed: Called when a member starts, becomes unresponsive, responds again or
                leaves.
        """
        self._host = settings.identity.host
        self._configuration = configuration
        self.peers = peer_task.PeerTask(
            settings.identity, settings.peer_address, rng, metrics, configuration.header
        )
        """Exchanges messages with other nodes; tasks register their message types before `run`."""
        self.membership = membership_task.MembershipTask(
            membership.Membership(settings.identity, settings.started_at, rng),
            self.peers,
            lambda: configuration.configuration.version,
            on_member_changed,
            configuration.on_reachability,
            configuration.on_peer_answer,
        )
        """Tracks which nodes exist and which of them respond."""
        self.peers.observe_headers(configuration.on_peer_header)
        self._exchange = snapshot_exchange.SnapshotExchange(configuration, self.peers, rng)

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        await asyncio.gather(
            self._configuration.run(),
            self.peers.run(),
            self.membership.run(),
            self._exchange.run(),
        )

    def on_hosts(self, hosts: host_list_client.HostList) -> None:
        """Update all tasks with a newly read host list.

        Args:
            hosts: The host list.
        """
        entries = hosts.hosts_by_name
        self.peers.on_hosts({name: entry.peer_address for name, entry in entries.items()})
        self.membership.on_hosts(
            membership.HostEntry(name, entry.leaving) for name, entry in entries.items()
        )
        live = {name for name, entry in entries.items() if not entry.leaving}
        self._configuration.on_hosts(tuple(sorted(live | {self._host})))

    def announce_leaving(self) -> None:
        """Notify the other nodes that this node is stopping."""
        self.membership.announce_leaving()

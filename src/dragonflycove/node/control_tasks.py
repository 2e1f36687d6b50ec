"""Connects configuration, peers and membership of one node."""

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
    """What the control tasks need to know of their node."""

    identity: identifiers.NodeIdentity
    """This process."""

    peer_address: str
    """Where other nodes connect, `a.b.c.d:port`."""

    started_at: float
    """When the process started, Unix seconds."""


class ControlTasks:
    """The tasks by which nodes agree on the configuration and hear of each other."""

    def __init__(
        self,
        settings: ControlSettings,
        configuration: configuration_task.ConfigurationTask,
        rng: random.Random,
        metrics: node_metrics.Metrics,
        on_member_changed: Callable[[digests.Digest], None] | None = None,
    ) -> None:
        """Create the tasks; nothing runs yet.

        Args:
            settings: About this node.
            configuration: Follows the configuration stream.
            rng: Where identifiers and choices come from.
            metrics: The node's metrics.
            on_member_changed: Told of members that start, fall silent, answer again or leave.
        """
        self._host = settings.identity.host
        self._configuration = configuration
        self.peers = peer_task.PeerTask(
            settings.identity, settings.peer_address, rng, metrics, configuration.header
        )
        """Sends and takes messages; other tasks register theirs before `run`."""
        self.membership = membership_task.MembershipTask(
            membership.Membership(settings.identity, settings.started_at, rng),
            self.peers,
            lambda: configuration.configuration.version,
            on_member_changed,
            configuration.on_reachability,
            configuration.on_peer_answer,
        )
        """Who exists and who answers."""
        self.peers.observe_headers(configuration.on_peer_header)
        self._exchange = snapshot_exchange.SnapshotExchange(configuration, self.peers, rng)

    async def run(self) -> None:
        """Run all of them until cancelled."""
        await asyncio.gather(
            self._configuration.run(),
            self.peers.run(),
            self.membership.run(),
            self._exchange.run(),
        )

    def on_hosts(self, hosts: host_list_client.HostList) -> None:
        """Take in a reading of the host list.

        Args:
            hosts: The reading.
        """
        entries = hosts.hosts_by_name
        self.peers.on_hosts({name: entry.peer_address for name, entry in entries.items()})
        self.membership.on_hosts(
            membership.HostEntry(name, entry.leaving) for name, entry in entries.items()
        )
        live = {name for name, entry in entries.items() if not entry.leaving}
        self._configuration.on_hosts(tuple(sorted(live | {self._host})))

    def announce_leaving(self) -> None:
        """Tell the others that this node is stopping."""
        self.membership.announce_leaving()

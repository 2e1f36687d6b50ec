"""Task that chooses which backend servers this node uses where there are too many for all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.node import dispatch_messages, guard_messages, tasks
from dragonflycove.shares import subsets

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.configuration import schema
    from dragonflycove.node import node_context

MAX_INLINE_PAIRS = 10_000
"""Maximum number of host-server pairs ranked on the event loop's thread; more use another."""


class HostZonesRead(NamedTuple):
    """The host list was read."""

    zone_by_host: Mapping[str, str]
    """Availability zones of all listed hosts, by host name."""


class ConfigurationInForce(NamedTuple):
    """A configuration came into force."""

    configuration: schema.Configuration
    """Complete configuration, with all servers."""


SubsetMessage = HostZonesRead | ConfigurationInForce
"""Messages to the subset task."""


class SubsetTask:
    """Owns the subset table and posts the configuration, reduced to the subset, to other tasks."""

    def __init__(self, context: node_context.NodeContext) -> None:
        """Create the task.

        Args:
            context: State shared by the node's tasks.
        """
        self.mailbox: tasks.Mailbox[SubsetMessage] = tasks.Mailbox()
        """Messages to this task."""
        self._context = context
        self._table = subsets.SubsetTable(context.settings.host)
        self._zone_by_host: dict[str, str] = {}
        self._configuration = context.configuration

    async def run(self) -> None:
        """Process messages until cancelled, with one update for all that are queued."""
        while True:
            first = await self.mailbox.receive()
            changed = False
            for message in (first, *self.mailbox.take_ready()):
                changed = self._apply_message(message) or changed
            if changed:
                await self._update_subset()

    def _apply_message(self, message: SubsetMessage | None) -> bool:
        """Store what a message carries and return whether the subset may change."""
        if isinstance(message, ConfigurationInForce):
            self._configuration = message.configuration
            return True
        if not isinstance(message, HostZonesRead):
            return False
        settings = self._context.settings
        # This host is included even if the host list does not have it yet.
        zone_by_host = {**message.zone_by_host, settings.host: settings.zone}
        changed = zone_by_host != self._zone_by_host
        self._zone_by_host = zone_by_host
        return changed

    async def _update_subset(self) -> None:
        configuration = self._configuration
        zoned_servers = frozenset(
            subsets.ZonedServer(server_id, server.zone)
            for server_id, server in configuration.servers_by_id.items()
        )
        if len(zoned_servers) * len(self._zone_by_host) <= MAX_INLINE_PAIRS:
            names = self._table.update(self._zone_by_host, zoned_servers)
        else:
            names = await asyncio.to_thread(self._table.update, self._zone_by_host, zoned_servers)
        servers_by_id = {
            server_id: server
            for server_id, server in configuration.servers_by_id.items()
            if server_id in names
        }
        subset = configuration._replace(servers_by_id=servers_by_id)
        if subset == self._context.subset:
            return
        self._context.subset = subset
        self._context.dispatch.post(dispatch_messages.ConfigurationChanged(subset))
        self._context.guard.post(guard_messages.ConfigurationChanged(subset))

"""The task that chooses the backend servers that this node works with."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.node import dispatch_messages, guard_messages, tasks
from dragonflycove.shares import subsets

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.configuration import schema
    from dragonflycove.node import services

INLINE_PAIRS = 10_000
"""Pairs of host and server that are ranked on the loop's own thread."""


class HostZonesRead(NamedTuple):
    """The host list was read."""

    zone_by_host: Mapping[str, str]
    """Zones of all hosts by name."""


class ConfigurationInForce(NamedTuple):
    """A configuration came into force."""

    configuration: schema.Configuration
    """The configuration."""


SubsetMessage = HostZonesRead | ConfigurationInForce
"""What the subset task takes."""


class SubsetTask:
    """Owns the subset table, and hands the part of the configuration in it on."""

    def __init__(self, context: services.NodeServices) -> None:
        """Create the task.

        Args:
            context: What all tasks of the node share.
        """
        self.mailbox: tasks.Mailbox[SubsetMessage] = tasks.Mailbox()
        """Messages to this task."""
        self._context = context
        self._table = subsets.SubsetTable(context.settings.host)
        self._zone_by_host: dict[str, str] = {}
        self._configuration = context.configuration

    async def run(self) -> None:
        """Take messages until cancelled; the newest of several counts."""
        while True:
            first = await self.mailbox.receive()
            changed = False
            for message in (first, *self.mailbox.take_ready()):
                changed = self._note(message) or changed
            if changed:
                await self._choose()

    def _note(self, message: SubsetMessage | None) -> bool:
        """Take a message and tell whether the subset may change."""
        if isinstance(message, ConfigurationInForce):
            self._configuration = message.configuration
            return True
        if not isinstance(message, HostZonesRead):
            return False
        settings = self._context.settings
        # A host that was not listed yet works all the same.
        zone_by_host = {**message.zone_by_host, settings.host: settings.zone}
        changed = zone_by_host != self._zone_by_host
        self._zone_by_host = zone_by_host
        return changed

    async def _choose(self) -> None:
        configuration = self._configuration
        placed = frozenset(
            subsets.ZonedServer(server_id, server.zone)
            for server_id, server in configuration.servers_by_id.items()
        )
        if len(placed) * len(self._zone_by_host) <= INLINE_PAIRS:
            names = self._table.update(self._zone_by_host, placed)
        else:
            names = await asyncio.to_thread(self._table.update, self._zone_by_host, placed)
        servers_by_id = {
            server_id: server
            for server_id, server in configuration.servers_by_id.items()
            if server_id in names
        }
        subset = configuration._replace(servers_by_id=servers_by_id)
        if subset == self._context.subset:
            return
        self._context.subset = subset
        self._context.dispatch.post(dispatch_messages.Configured(subset))
        self._context.guard.post(guard_messages.ConfigurationChanged(subset))

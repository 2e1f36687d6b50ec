"""Task that reads the host list."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import result

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.infrastructure import host_list_client
    from dragonflycove.node import node_context

READ_INTERVAL_SECONDS = 0.5
"""Time from the end of one read of the host list to the next one."""

READ_TIMEOUT_SECONDS = 2.0
"""Timeout of one read of the host list."""


class HostListTask:
    """Reads the host list at an interval and passes it to a callback."""

    def __init__(
        self,
        context: node_context.NodeContext,
        client: host_list_client.HostListClient,
        on_hosts: Callable[[host_list_client.HostList, float], None],
    ) -> None:
        """Create the task.

        Args:
            context: State shared by the node's tasks.
            client: Client of the host list.
            on_hosts: Called with each host list that was read and its age in seconds.
        """
        self._context = context
        self._client = client
        self._on_hosts = on_hosts

    async def run(self) -> None:
        """Read the host list until cancelled; a failed read is counted and retried."""
        while True:
            response = await self._client.fetch(READ_TIMEOUT_SECONDS)
            if isinstance(response, result.Ok):
                hosts = response.ok_value
                self._context.hosts_by_name = hosts.hosts_by_name
                self._on_hosts(hosts, max(0.0, time.time() - hosts.read_at))
            else:
                self._context.metrics.count("host_list_unavailable")
            await asyncio.sleep(READ_INTERVAL_SECONDS)

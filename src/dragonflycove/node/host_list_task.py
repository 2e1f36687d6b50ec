"""The task that reads the host list."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import result

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.infrastructure import host_list_client
    from dragonflycove.node import node_context

READ_SECONDS = 0.5
"""Time between two readings, seconds."""

READ_TIMEOUT_SECONDS = 2.0
"""Longest time for one reading, seconds."""


class HostListTask:
    """Reads the host list and hands each reading on."""

    def __init__(
        self,
        context: node_context.NodeContext,
        client: host_list_client.HostListClient,
        on_hosts: Callable[[host_list_client.HostList, float], None],
    ) -> None:
        """Create the task.

        Args:
            context: What all tasks of the node share.
            client: Client of the host list.
            on_hosts: Told of each reading and its age in seconds.
        """
        self._context = context
        self._client = client
        self._on_hosts = on_hosts

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            answer = await self._client.fetch(READ_TIMEOUT_SECONDS)
            if isinstance(answer, result.Ok):
                hosts = answer.ok_value
                self._context.hosts_by_name = hosts.hosts_by_name
                self._on_hosts(hosts, max(0.0, time.time() - hosts.read_at))
            else:
                self._context.metrics.count("host_list_unavailable")
            await asyncio.sleep(READ_SECONDS)

"""Finds out which services this node reaches no server of, and exchanges that with other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages, peer_reach, server_reach
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import catalog, roster, store_view
    from dragonflycove.gateway import connection_pool, peer_socket

RECHECK_SECONDS = 0.3
"""Interval at which servers of unreached services are probed."""

REPORT_SECONDS = 0.9
"""Interval at which the unreached services are reported again; reports can be lost."""

REPEATED_REPORTS = 3
"""Reports after a change, also if every service is reached again."""


class ReachWatch:
    """Probes servers after failed connections, until it is known whether others are reached."""

    def __init__(
        self,
        nodes: roster.Roster,
        view: store_view.StoreView,
        pool: connection_pool.ConnectionPool,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the watch and register its message handler at the socket.

        Args:
            nodes: This node and the others.
            view: Servers as this node knows them.
            pool: Connections to servers.
            datagram_socket: Socket to the other nodes.
        """
        self._nodes = nodes
        self._store_view = view
        self._pool = pool
        self._peer_socket = datagram_socket
        self._reach = server_reach.ServerReach()
        self.peers = peer_reach.PeerReach()
        """What other nodes don't reach."""
        self._check_by_service: dict[str, asyncio.Task[None]] = {}
        self._reports_left = 0
        self._report_at = 0.0
        datagram_socket.register(peer_messages.ReachReport, self._on_report)

    @property
    def unreached_services(self) -> tuple[str, ...]:
        """Names of the services that this node reaches no server of."""
        return self._reach.unreached_services

    def is_unreached(self, service: str) -> bool:
        """Whether this node reaches no server of a service.

        Args:
            service: The service.
        """
        return self._reach.is_unreached(service)

    def on_opened(self, service: str) -> None:
        """Record that a server of a service accepted a connection.

        Args:
            service: The service.
        """
        self._reach.on_opened(service, asyncio.get_running_loop().time())

    async def confirm(self, service: str, since: float) -> bool:
        """Find out whether this node reaches a service, after a connection to a server failed.

        Args:
            service: The service.
            since: Loop time from which on an accepted connection shows that it does.

        Returns:
            Whether some server accepts connections, or none is usable that could be probed.
        """
        if self._reach.has_opened_since(service, since):
            return True
        if not self._reach.is_unreached(service):
            await asyncio.shield(self._start_check(service))
        return not self._reach.is_unreached(service)

    async def confirm_link(self, service: str, since: float) -> bool:
        """Find out whether this node reaches any server, after one of a service was lost.

        If none of the service accepts connections while some of others do, its servers have ended.

        Args:
            service: The service.
            since: Loop time from which on an accepted connection shows that it does.
        """
        if await self.confirm(service, since):
            return True
        others = [
            server
            for other in sorted(self._store_view.services() - {service})
            for server in self._usable_servers(other)
        ]
        sample = server_reach.spread_over_zones(others)[: server_reach.OTHER_SAMPLED_SERVERS]
        return await self._probe(sample) > 0

    def confirm_later(self, service: str) -> None:
        """Find out in the background whether this node reaches a service.

        Args:
            service: The service.
        """
        if not self._reach.is_unreached(service):
            self._start_check(service)

    def _start_check(self, service: str) -> asyncio.Task[None]:
        """Return the running check of a service, or start one."""
        task = self._check_by_service.get(service)
        if task is None:
            task = asyncio.ensure_future(self._check(service))
            self._check_by_service[service] = task
            task.add_done_callback(lambda _: self._check_by_service.pop(service, None))
        return task

    async def _check(self, service: str) -> None:
        """Probe two servers of a service, and a larger sample if both fail."""
        usable = self._usable_servers(service)
        sample = server_reach.spread_over_zones(usable)[: server_reach.MAX_SAMPLED_SERVERS]
        first = sample[: server_reach.FIRST_SAMPLED_SERVERS]
        rest = sample[server_reach.FIRST_SAMPLED_SERVERS :]
        accepted = await self._probe(first)
        if not accepted:
            accepted = await self._probe(rest)
        self._on_checked(service, len(sample), accepted)

    def _usable_servers(self, service: str) -> list[catalog.BackendServer]:
        return self._store_view.usable_servers(service, asyncio.get_running_loop().time())

    async def _probe(self, servers: Sequence[catalog.BackendServer]) -> int:
        """Return how many servers accept a connection."""
        probes = (self._pool.is_reachable(server.address) for server in servers)
        return sum(await asyncio.gather(*probes))

    def _on_checked(self, service: str, probed: int, accepted: int) -> None:
        now = asyncio.get_running_loop().time()
        if not self._reach.on_checked(service, probed=probed, accepted=accepted, now=now):
            return
        if self._reach.is_unreached(service):
            # Connections from before the cut may hang after its end.
            for server in self._usable_servers(service):
                self._pool.discard(server.address)
            logs.event("service_unreached", service=service, probed=probed)
        else:
            logs.event("service_reached", service=service, accepted=accepted)
        self._reports_left = REPEATED_REPORTS
        self._send_report(now)

    async def run(self) -> None:
        """Probe unreached services and repeat reports at intervals; runs until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(RECHECK_SECONDS)
            await asyncio.gather(*(self._recheck(one) for one in self._reach.unreached_services))
            if loop.time() >= self._report_at and (
                self._reports_left > 0 or self._reach.unreached_services
            ):
                self._send_report(loop.time())
            self.peers.discard_expired(loop.time())

    async def _recheck(self, service: str) -> None:
        sample = self._reach.recheck_sample(self._usable_servers(service))
        accepted = await self._probe(sample)
        self._on_checked(service, len(sample), accepted)

    def _send_report(self, now: float) -> None:
        self._reports_left -= 1
        self._report_at = now + REPORT_SECONDS
        own = self._nodes.own
        report = peer_messages.ReachReport(
            own.host, own.incarnation, self._reach.unreached_services
        )
        for status in self._nodes.alive(now):
            self._peer_socket.send(status.member.peer_address, report)

    def _on_report(self, report: peer_messages.ReachReport, sender: catalog.Address) -> None:
        key = peer_reach.NodeKey(report.host, report.incarnation)
        self.peers.on_report(key, report.services, asyncio.get_running_loop().time())

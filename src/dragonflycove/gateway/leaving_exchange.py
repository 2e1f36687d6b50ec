"""Exchanges with the other nodes which servers have said that they leave."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import leaving_servers, peer_messages
from dragonflycove.gateway import digest_gossip
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dragonflycove.fleet import catalog, roster
    from dragonflycove.gateway import connection_pool, peer_socket


class LeavingExchange:
    """Keeps the leaving servers that this node hears of, and tells them to the other nodes."""

    def __init__(
        self,
        nodes: roster.Roster,
        leaving: leaving_servers.LeavingServers,
        pool: connection_pool.ConnectionPool,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the exchange and register its message handlers at the socket.

        Args:
            nodes: This node and the others.
            leaving: Leaving servers that this node knows.
            pool: Connections to servers.
            datagram_socket: Socket to the other nodes.
        """
        self._leaving = leaving
        self._pool = pool
        self._gossip = digest_gossip.DigestGossip(
            nodes,
            datagram_socket,
            lambda _: leaving.digest(),
            peer_messages.LeavingDigest,
            lambda now, wants_all: _encode(leaving.items(), now, wants_all=wants_all),
        )
        datagram_socket.register(peer_messages.LeavingReport, self._on_report)
        datagram_socket.register(peer_messages.LeavingDigest, self._on_digest)

    async def run(self) -> None:
        """Send digests at intervals; runs until cancelled."""
        await self._gossip.run()

    def on_leaving(self, server: catalog.BackendServer) -> None:
        """Record that a server has said in a response that it leaves, and tell the other nodes.

        Args:
            server: The server.
        """
        now = asyncio.get_running_loop().time()
        if self._leaving.add(server.instance, now):
            self._pool.discard(server.address)
            _log(server.instance, "response", 0.0)
            self._gossip.broadcast(_encode([(server.instance, now)], now, wants_all=False))

    def _on_digest(self, message: peer_messages.LeavingDigest, sender: catalog.Address) -> None:
        self._gossip.on_digest(message.digest, sender)

    def _on_report(self, message: peer_messages.LeavingReport, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        for record in message.servers:
            if self._leaving.add(record.instance, now - record.age_seconds):
                _log(record.instance, str(sender), record.age_seconds)
        if message.wants_all:
            self._gossip.report_all(sender, wants_all=False)


def _log(instance: catalog.Instance, source: str, age_seconds: float) -> None:
    logs.event(
        "server_leaves",
        server=instance.server_id,
        born=instance.started_at_ms,
        source=source,
        age=age_seconds,
    )


def _encode(
    servers: Sequence[tuple[catalog.Instance, float]], now: float, *, wants_all: bool
) -> Iterable[peer_messages.LeavingReport]:
    """Divide servers among messages; one message if there are none."""
    records = tuple(
        peer_messages.LeavingRecord(instance, round(max(0.0, now - since), 3))
        for instance, since in servers
    )
    for start in range(0, max(1, len(records)), digest_gossip.RECORDS_PER_DATAGRAM):
        part = records[start : start + digest_gossip.RECORDS_PER_DATAGRAM]
        yield peer_messages.LeavingReport(part, wants_all)

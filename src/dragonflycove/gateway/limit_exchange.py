"""Exchanges with the other nodes which limits servers have stated, as each binds all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages, server_limits
from dragonflycove.gateway import digest_gossip
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dragonflycove.fleet import catalog, roster
    from dragonflycove.gateway import peer_socket


class LimitExchange:
    """Tells this node's limits, and keeps them equal to those of the hubs."""

    def __init__(
        self,
        nodes: roster.Roster,
        limits: server_limits.ServerLimits,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the exchange and register its message handlers at the socket.

        Args:
            nodes: This node and the others.
            limits: Limits that this node knows.
            datagram_socket: Socket to the other nodes.
        """
        self._limits = limits
        self._gossip = digest_gossip.DigestGossip(
            nodes,
            datagram_socket,
            lambda _: limits.digest(),
            peer_messages.LimitDigest,
            lambda now, wants_all: _encode(limits.statements(), now, wants_all=wants_all),
        )
        datagram_socket.register(peer_messages.LimitReport, self._on_report)
        datagram_socket.register(peer_messages.LimitDigest, self._on_digest)

    async def run(self) -> None:
        """Send digests at intervals; runs until cancelled."""
        await self._gossip.run()

    def report(self, statement: server_limits.Statement) -> None:
        """Tell all nodes of a changed limit.

        Args:
            statement: What the server stated.
        """
        now = asyncio.get_running_loop().time()
        self._gossip.broadcast(_encode([statement], now, wants_all=False))

    def _on_digest(self, message: peer_messages.LimitDigest, sender: catalog.Address) -> None:
        self._gossip.on_digest(message.digest, sender)

    def _on_report(self, message: peer_messages.LimitReport, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        for record in message.limits:
            statement = server_limits.Statement(
                record.instance, record.requests_per_second, now - record.age_seconds
            )
            if self._limits.add(statement):
                logs.event(
                    "server_limit_told",
                    sender=sender,
                    server=record.instance.server_id,
                    born=record.instance.started_at_ms,
                    limit=record.requests_per_second,
                    age=record.age_seconds,
                )
        if message.wants_all:
            self._gossip.report_all(sender, wants_all=False)


def _encode(
    statements: Sequence[server_limits.Statement], now: float, *, wants_all: bool
) -> Iterable[peer_messages.LimitReport]:
    """Divide statements among messages; one message if there are none."""
    records = tuple(
        peer_messages.LimitRecord(
            one.instance, one.requests_per_second, round(max(0.0, now - one.at), 3)
        )
        for one in statements
    )
    for start in range(0, max(1, len(records)), digest_gossip.RECORDS_PER_DATAGRAM):
        part = records[start : start + digest_gossip.RECORDS_PER_DATAGRAM]
        yield peer_messages.LimitReport(part, wants_all)

"""Keeps facts equal at all nodes: new ones are sent at once, and digests find what is missing.

Datagrams can be lost, and nodes can be cut off or start later. So nodes also compare digests with
the hubs at intervals and exchange all facts where they differ.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.fleet import catalog, peer_messages, roster
    from dragonflycove.gateway import peer_socket

DIGEST_INTERVAL_SECONDS = 0.9
"""Interval at which digests are sent, as long as there are facts."""

FULL_REPORT_INTERVAL_SECONDS = 0.5
"""Minimum time between two reports of all facts to one node."""

RECORDS_PER_DATAGRAM = 12
"""Records of each kind in one datagram; keeps it under 1,400 bytes, as any network path carries."""


class DigestGossip:
    """Sends the facts of one kind to the other nodes."""

    def __init__(
        self,
        nodes: roster.Roster,
        datagram_socket: peer_socket.PeerSocket,
        digest: Callable[[float], int],
        encode_digest: Callable[[int], peer_messages.Message],
        encode_all: Callable[[float, bool], Iterable[peer_messages.Message]],
    ) -> None:
        """Create the exchange of one kind of facts.

        Args:
            nodes: This node and the others.
            datagram_socket: Socket to the other nodes.
            digest: Returns the hash of this node's facts at a loop time; 0 for none.
            encode_digest: Returns the message that tells a digest.
            encode_all: Returns messages with all facts at a loop time, and whether the receiver is
                asked for all of its facts.
        """
        self._nodes = nodes
        self._peer_socket = datagram_socket
        self._digest = digest
        self._encode_digest = encode_digest
        self._encode_all = encode_all
        self._reported_all_at_by_address: dict[catalog.Address, float] = {}

    def broadcast(self, messages: Iterable[peer_messages.Message]) -> None:
        """Send messages to all nodes.

        Args:
            messages: The messages.
        """
        addresses = self._other_addresses(asyncio.get_running_loop().time())
        for message in messages:
            for address in addresses:
                self._peer_socket.send(address, message)

    async def run(self) -> None:
        """Send digests at intervals; runs until cancelled."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_SECONDS)
            self._send_digests()

    def _send_digests(self) -> None:
        """Send the digest to the hubs, and as the first hub to all nodes."""
        now = asyncio.get_running_loop().time()
        digest = self._digest(now)
        if not digest:
            return
        addresses = {hub.peer_address for hub in self._nodes.hubs(now)}
        if self._nodes.is_first_hub(now):
            addresses.update(self._other_addresses(now))
        for address in addresses - {self._nodes.own.peer_address}:
            self._peer_socket.send(address, self._encode_digest(digest))

    def _other_addresses(self, now: float) -> list[catalog.Address]:
        members = [status.member for status in self._nodes.alive(now)]
        return [member.peer_address for member in [*members, *self._nodes.unconfirmed(now)]]

    def on_digest(self, digest: int, sender: catalog.Address) -> None:
        """Exchange all facts with a node whose digest differs.

        Args:
            digest: The node's digest.
            sender: The node.
        """
        if digest != self._digest(asyncio.get_running_loop().time()):
            self.report_all(sender, wants_all=True)

    def report_all(self, address: catalog.Address, *, wants_all: bool) -> None:
        """Send all facts to a node, at most every `FULL_REPORT_INTERVAL_SECONDS`.

        Args:
            address: The node.
            wants_all: Whether it is asked for all of its facts.
        """
        now = asyncio.get_running_loop().time()
        reported_at = self._reported_all_at_by_address.get(address, float("-inf"))
        if now - reported_at < FULL_REPORT_INTERVAL_SECONDS:
            return
        self._reported_all_at_by_address = {
            known: at
            for known, at in self._reported_all_at_by_address.items()
            if now - at < FULL_REPORT_INTERVAL_SECONDS
        }
        self._reported_all_at_by_address[address] = now
        for message in self._encode_all(now, wants_all):
            self._peer_socket.send(address, message)

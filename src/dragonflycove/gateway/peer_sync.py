"""Keeps this node's store records as new as those of the nodes that send it messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import peer_messages
from dragonflycove.gateway import peer_transfer
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import roster
    from dragonflycove.gateway import store_follower

TRANSIT_SECONDS = 0.05
"""Time added to the age of records that another node reports, for transit and slow hosts."""


class PeerSync:
    """Compares record offsets with other nodes and fetches missing records."""

    def __init__(self, follower: store_follower.StoreFollower) -> None:
        """Create the synchronization; no transfer is in flight.

        Args:
            follower: Store records of this node.
        """
        self._follower = follower
        self._pull_task: asyncio.Task[None] | None = None

    def freshness(self, now: float) -> peer_messages.Freshness:
        """Return newest offsets and ages of this node's records.

        Args:
            now: Loop time.
        """
        store_view = self._follower.view
        return peer_messages.Freshness(
            store_view.operator_revision,
            round(now - self._follower.operators.fresh_as_of, 3),
            store_view.server_revision,
            round(now - self._follower.servers.fresh_as_of, 3),
        )

    def compare(self, member: roster.Member, theirs: peer_messages.Freshness, now: float) -> None:
        """Fetch records from another node if it has newer ones; else adopt its freshness.

        Args:
            member: The other node.
            theirs: Newest offsets and ages of its records.
            now: Loop time.
        """
        store_view = self._follower.view
        is_behind = (
            theirs.operator_revision > store_view.operator_revision
            or theirs.server_revision > store_view.server_revision
            or (self._follower.is_incomplete and theirs.operator_revision >= 0)
        )
        if is_behind:
            if self._pull_task is None or self._pull_task.done():
                self._pull_task = asyncio.ensure_future(self._pull(member))
            return
        self._follower.mark_fresh(
            now - theirs.operator_age_seconds - TRANSIT_SECONDS,
            now - theirs.server_age_seconds - TRANSIT_SECONDS,
        )

    async def _pull(self, member: roster.Member) -> None:
        store_view = self._follower.view
        fetch_all = self._follower.is_incomplete
        request = peer_transfer.Request(
            peer_transfer.TopicRequest(-1 if fetch_all else store_view.operator_revision),
            peer_transfer.TopicRequest(-1 if fetch_all else store_view.server_revision),
        )
        fetched = await peer_transfer.fetch(member.peer_address, request)
        if isinstance(fetched, result.Err):
            logs.warning("transfer_failed", side="client", node=member.host, why=fetched.err_value)
            return
        response = fetched.ok_value
        positions = (self._follower.operators, self._follower.servers)
        offsets_before = [position.next_offset for position in positions]
        self._follower.merge(self._follower.operators, response.operators)
        self._follower.merge(self._follower.servers, response.servers)
        logs.event(
            "transferred",
            node=member.host,
            operators=len(response.operators.records),
            servers=len(response.servers.records),
            operators_from=offsets_before[0],
            operators_to=positions[0].next_offset,
            servers_from=offsets_before[1],
            servers_to=positions[1].next_offset,
        )

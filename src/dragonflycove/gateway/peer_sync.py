"""Keeps this node's store records as new as those of the nodes that send it messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import peer_messages
from dragonflycove.gateway import peer_transfer, topic_position
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
        operators, servers = self._follower.operators, self._follower.servers
        return peer_messages.Freshness(
            operators.revision,
            round(now - operators.fresh_as_of, 3),
            servers.revision,
            round(now - servers.fresh_as_of, 3),
        )

    def compare(self, member: roster.Member, theirs: peer_messages.Freshness, now: float) -> None:
        """Fetch records from another node if it has newer ones; else adopt its freshness.

        Args:
            member: The other node.
            theirs: Newest offsets and ages of its records.
            now: Loop time.
        """
        is_behind = False
        for position, revision, age in (
            (self._follower.operators, theirs.operator_revision, theirs.operator_age_seconds),
            (self._follower.servers, theirs.server_revision, theirs.server_age_seconds),
        ):
            if revision > position.revision:
                is_behind = True
            elif position.next_offset is not None:
                self._follower.mark_fresh(position, now - age - TRANSIT_SECONDS)
        if is_behind and (self._pull_task is None or self._pull_task.done()):
            self._pull_task = asyncio.ensure_future(self._pull(member, theirs))

    async def _pull(self, member: roster.Member, theirs: peer_messages.Freshness) -> None:
        """Fetch what another node knows; all keys of the topics that it doesn't know since then."""
        request = peer_transfer.Request(
            peer_transfer.TopicRequest(self._follower.operators.newest_known),
            peer_transfer.TopicRequest(self._follower.servers.newest_known),
        )
        are_complete = await self._fetch(member, request, theirs)
        if are_complete is None or all(are_complete):
            return
        whole = peer_transfer.TopicRequest(topic_position.NOTHING_KNOWN)
        await self._fetch(
            member,
            peer_transfer.Request(
                request.operators if are_complete[0] else whole,
                request.servers if are_complete[1] else whole,
            ),
            theirs,
        )

    async def _fetch(
        self, member: roster.Member, request: peer_transfer.Request, theirs: peer_messages.Freshness
    ) -> tuple[bool, bool] | None:
        """Fetch and apply records; returns which topics are complete, None after a failure."""
        requested_at = asyncio.get_running_loop().time()
        fetched = await peer_transfer.fetch(member.peer_address, request)
        if isinstance(fetched, result.Err):
            logs.warning("transfer_failed", side="client", node=member.host, why=fetched.err_value)
            return None
        response = fetched.ok_value
        operators, servers = self._follower.operators, self._follower.servers
        operators_from, servers_from = operators.next_offset, servers.next_offset
        are_complete = (
            self._follower.merge(
                operators,
                request.operators,
                response.operators,
                theirs.operator_revision,
                requested_at,
            ),
            self._follower.merge(
                servers,
                request.servers,
                response.servers,
                theirs.server_revision,
                requested_at,
            ),
        )
        logs.event(
            "transferred",
            node=member.host,
            operators=len(response.operators.records),
            servers=len(response.servers.records),
            operators_from=operators_from,
            operators_to=operators.next_offset,
            servers_from=servers_from,
            servers_to=servers.next_offset,
            complete=all(are_complete),
        )
        return are_complete

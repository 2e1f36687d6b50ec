"""Keeps this node's records as new as those of the nodes that it hears."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import peer_messages
from dragonflycove.gateway import peer_transfer
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import roster
    from dragonflycove.gateway import knowledge_task

TRANSIT_SECONDS = 0.05
"""Age added to a belief that another node confirms, for the way and for slow hosts."""


class PeerRecords:
    """Compares beliefs and fetches what is missing."""

    def __init__(self, known: knowledge_task.KnowledgeTask) -> None:
        """Create without a transfer.

        Args:
            known: Records of this node.
        """
        self._known = known
        self._pulling: asyncio.Task[None] | None = None

    def freshness(self, now: float) -> peer_messages.Freshness:
        """Return how new this node's belief is.

        Args:
            now: Loop time.
        """
        belief = self._known.belief
        return peer_messages.Freshness(
            belief.operator_revision,
            round(now - self._known.operators.read_at, 3),
            belief.server_revision,
            round(now - self._known.servers.read_at, 3),
        )

    def compare(self, member: roster.Member, theirs: peer_messages.Freshness, now: float) -> None:
        """Refresh this node's belief by what another one says of its own.

        Args:
            member: The other node.
            theirs: How new its belief is.
            now: Loop time.
        """
        belief = self._known.belief
        behind = (
            theirs.operator_revision > belief.operator_revision
            or theirs.server_revision > belief.server_revision
            or (self._known.is_incomplete and theirs.operator_revision >= 0)
        )
        if behind:
            if self._pulling is None or self._pulling.done():
                self._pulling = asyncio.ensure_future(self._pull(member))
            return
        self._known.confirm(
            now - theirs.operator_age_seconds - TRANSIT_SECONDS,
            now - theirs.server_age_seconds - TRANSIT_SECONDS,
        )

    async def _pull(self, member: roster.Member) -> None:
        belief = self._known.belief
        is_whole = self._known.is_incomplete
        request = peer_transfer.Request(
            peer_transfer.TopicRequest(-1 if is_whole else belief.operator_revision),
            peer_transfer.TopicRequest(-1 if is_whole else belief.server_revision),
        )
        fetched = await peer_transfer.fetch(member.peer_address, request)
        if isinstance(fetched, result.Err):
            logs.warning("transfer_failed", side="client", node=member.host, why=fetched.err_value)
            return
        answer = fetched.ok_value
        self._known.merge(self._known.operators, answer.operators)
        self._known.merge(self._known.servers, answer.servers)
        logs.event(
            "transferred",
            node=member.host,
            operators=len(answer.operators.records),
            servers=len(answer.servers.records),
        )

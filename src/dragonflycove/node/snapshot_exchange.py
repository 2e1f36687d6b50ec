"""Gives and takes configuration snapshots, where a peer is ahead of what the log shows here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import freshness
from dragonflycove.peering import messages, snapshots
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random

    from dragonflycove.configuration import records
    from dragonflycove.node import configuration_task, peer_task

CHECK_SECONDS = 0.25
"""Time between checks whether a peer is to be asked, seconds."""

GRACE_SECONDS = 1.0
"""Time in which the log may show what a peer has, before the peer is asked, seconds."""

POSITION_SECONDS = 20.0
"""Age of what a peer said of its position after which it is not asked, seconds."""

REQUEST_SECONDS = 3.0
"""Time after which an unanswered request for a snapshot is given up, seconds."""


class PeerPosition(NamedTuple):
    """How far a peer has applied the configuration stream."""

    next_offset: int
    """Offset of the first record that it has not applied."""

    seen_at: float
    """When it said so, seconds."""


class SnapshotExchange:
    """Asks the peer that is furthest ahead, and answers those that ask."""

    def __init__(
        self,
        configuration: configuration_task.ConfigurationTask,
        peers: peer_task.PeerTask,
        rng: random.Random,
    ) -> None:
        """Create the exchange and register for its messages.

        Args:
            configuration: Owner of the acceptance state.
            peers: The peer connections.
            rng: Where identifiers and choices come from.
        """
        self._configuration = configuration
        self._peers = peers
        self._rng = rng
        self._position_by_host: dict[str, PeerPosition] = {}
        self._assembler: snapshots.SnapshotAssembler | None = None
        self._asked_at = float("-inf")
        self._offered: asyncio.Queue[records.Snapshot] = asyncio.Queue()
        peers.observe_headers(self._on_header)
        peers.handle(snapshots.SnapshotRequested, self._on_requested)
        peers.handle(snapshots.SnapshotPart, self._on_part)

    async def run(self) -> None:
        """Ask and take over until cancelled."""
        await asyncio.gather(self._ask_when_behind(), self._take_over())

    async def _ask_when_behind(self) -> None:
        behind_since: float | None = None
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            ahead = self._find_host_ahead()
            if ahead is None:
                behind_since = None
                continue
            now = _now()
            behind_since = now if behind_since is None else behind_since
            is_fresh = self._configuration.evaluate_freshness() is freshness.Freshness.FRESH
            is_late = now - behind_since >= GRACE_SECONDS or not is_fresh
            if is_late and now - self._asked_at > REQUEST_SECONDS:
                self._ask(ahead, now)

    async def _take_over(self) -> None:
        while True:
            await self._configuration.adopt(await self._offered.get())

    def _find_host_ahead(self) -> str | None:
        ours = self._configuration.state.snapshot.next_offset
        recent = _now() - POSITION_SECONDS
        offset_by_host = {
            host: position.next_offset
            for host, position in self._position_by_host.items()
            if position.next_offset > ours and position.seen_at > recent
        }
        furthest = max(offset_by_host.values(), default=0)
        ahead = sorted(host for host, offset in offset_by_host.items() if offset == furthest)
        return self._rng.choice(ahead) if ahead else None

    def _ask(self, host: str, now: float) -> None:
        request_id = identifiers.new_id(self._rng, "snapshot")
        self._assembler = snapshots.SnapshotAssembler(request_id)
        self._asked_at = now
        self._peers.send(host, snapshots.SnapshotRequested(request_id))

    def _on_header(self, header: messages.Header) -> None:
        host = identifiers.NodeIdentity.parse(header.sender).host
        self._position_by_host[host] = PeerPosition(header.next_offset, _now())

    def _on_requested(
        self, sender: identifiers.NodeIdentity, message: snapshots.SnapshotRequested
    ) -> None:
        snapshot = self._configuration.state.snapshot
        for part in snapshots.split(snapshot, message.request_id):
            self._peers.send(sender.host, part)

    def _on_part(self, sender: identifiers.NodeIdentity, message: snapshots.SnapshotPart) -> None:
        if self._assembler is None or message.request_id != self._assembler.request_id:
            return
        added = self._assembler.add(message)
        if isinstance(added, result.Err):
            logs.warning("snapshot_refused", host=sender.host, reason=added.err_value)
            self._assembler = None
        elif added.ok_value is not None:
            self._assembler = None
            self._asked_at = float("-inf")
            self._offered.put_nowait(added.ok_value)


def _now() -> float:
    return asyncio.get_running_loop().time()

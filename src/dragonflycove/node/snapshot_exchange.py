"""Requests configuration snapshots from peers that are ahead, and sends them to those behind."""

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

CHECK_INTERVAL_SECONDS = 0.25
"""Interval between checks whether a snapshot must be requested."""

LOG_GRACE_SECONDS = 1.0
"""Time to wait for the log to deliver what a peer has already applied, before asking the peer."""

MAX_POSITION_AGE_SECONDS = 20.0
"""Maximum age of a peer's last known position for a request to that peer."""

REQUEST_TIMEOUT_SECONDS = 3.0
"""Timeout of a request for a snapshot."""


class PeerPosition(NamedTuple):
    """Position of a peer in the configuration stream, from the header of its last frame."""

    next_offset: int
    """Offset of the first record that the peer has not applied."""

    received_at: float
    """Loop time at which the frame was received, seconds."""


class SnapshotExchange:
    """Requests a snapshot from a peer with the highest position, and answers such requests.

    Nodes that can't read the log, or whose reads lag behind, get new configurations this way.
    """

    def __init__(
        self,
        configuration: configuration_task.ConfigurationTask,
        peers: peer_task.PeerTask,
        rng: random.Random,
    ) -> None:
        """Create the exchange and register the handlers of its messages.

        Args:
            configuration: Owner of the acceptance state; installs the snapshots.
            peers: Connections to the other nodes.
            rng: Generator for identifiers and for the choice of a peer.
        """
        self._configuration = configuration
        self._peers = peers
        self._rng = rng
        self._position_by_host: dict[str, PeerPosition] = {}
        self._assembler: snapshots.SnapshotAssembler | None = None
        self._requested_at = float("-inf")
        self._received: asyncio.Queue[records.Snapshot] = asyncio.Queue()
        peers.observe_headers(self._on_header)
        peers.handle(snapshots.SnapshotRequested, self._on_requested)
        peers.handle(snapshots.SnapshotPart, self._on_part)

    async def run(self) -> None:
        """Request snapshots when behind and install those received, until cancelled."""
        await asyncio.gather(self._request_when_behind(), self._install_received())

    async def _request_when_behind(self) -> None:
        behind_since: float | None = None
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            host_ahead = self._choose_host_ahead()
            if host_ahead is None:
                behind_since = None
                continue
            now = _now()
            behind_since = now if behind_since is None else behind_since
            is_fresh = self._configuration.evaluate_freshness() is freshness.Freshness.FRESH
            is_due = now - behind_since >= LOG_GRACE_SECONDS or not is_fresh
            if is_due and now - self._requested_at > REQUEST_TIMEOUT_SECONDS:
                self._request_snapshot(host_ahead, now)

    async def _install_received(self) -> None:
        while True:
            await self._configuration.install_snapshot(await self._received.get())

    def _choose_host_ahead(self) -> str | None:
        own_offset = self._configuration.state.snapshot.next_offset
        oldest_received_at = _now() - MAX_POSITION_AGE_SECONDS
        offset_by_host = {
            host: position.next_offset
            for host, position in self._position_by_host.items()
            if position.next_offset > own_offset and position.received_at > oldest_received_at
        }
        max_offset = max(offset_by_host.values(), default=0)
        hosts_ahead = sorted(
            host for host, offset in offset_by_host.items() if offset == max_offset
        )
        return self._rng.choice(hosts_ahead) if hosts_ahead else None

    def _request_snapshot(self, host: str, now: float) -> None:
        request_id = identifiers.new_id(self._rng, "snapshot")
        self._assembler = snapshots.SnapshotAssembler(request_id)
        self._requested_at = now
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
            self._requested_at = float("-inf")
            self._received.put_nowait(added.ok_value)


def _now() -> float:
    return asyncio.get_running_loop().time()

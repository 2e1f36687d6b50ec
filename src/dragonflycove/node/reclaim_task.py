"""Task that reads the inventories of engines and frees what dead nodes hold there."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

import result

from dragonflycove.backends import engine_client
from dragonflycove.reclaim import inventory, reclaimer
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.backends import engine_values
    from dragonflycove.configuration import schema

INVENTORY_INTERVAL_SECONDS = 1.0
"""Interval at which the inventory of each engine is read."""

ENGINE_TIMEOUT_SECONDS = 2.0
"""Timeout of one call to an engine."""


class ReclaimTask:
    """Reclaims streams, exports and reservations of dead owners on this node's engines.

    Those are the engines that the reclaimer assigns to this node, and those with attempts that this
    node left running because it could not cancel them.
    """

    def __init__(
        self,
        engines: engine_client.EngineClient,
        identity: identifiers.NodeIdentity,
        get_configuration: Callable[[], schema.Configuration],
        get_known_ids: Callable[[], frozenset[str]],
        get_servers_with_abandoned_attempts: Callable[[], frozenset[str]],
        timings: reclaimer.ReclaimRules | None = None,
    ) -> None:
        """Create the task.

        Args:
            engines: Client of engines.
            identity: Identity of this node.
            get_configuration: Returns the configuration in force.
            get_known_ids: Returns the attempts, exports and groups that this node uses.
            get_servers_with_abandoned_attempts: Returns the engines with attempts that this node
                left running; they are read even if the reclaimer does not assign them to this
                node.
            timings: Time limits of reclaim; `None` for the defaults.
        """
        self._engines = engines
        self._reclaimer = reclaimer.Reclaimer(identity, timings or reclaimer.ReclaimRules())
        self._get_configuration = get_configuration
        self._get_known_ids = get_known_ids
        self._get_servers_with_abandoned_attempts = get_servers_with_abandoned_attempts
        self._seen_incarnation_by_host: dict[str, str] = {}
        self._read_task_by_server: dict[str, asyncio.Task[None]] = {}
        self.reclaimed_count = 0
        """Number of streams, exports and reservations reclaimed since the start."""

    def on_hosts(self, hosts: frozenset[str]) -> None:
        """Process a host list; it must be no older than the host list's maximum lag.

        Args:
            hosts: Names of the listed hosts, including leaving ones.
        """
        seen_incarnation_by_host = self._seen_incarnation_by_host
        self._seen_incarnation_by_host = {}
        self._reclaimer.on_members(hosts, seen_incarnation_by_host, _now())

    def on_peer_frame(self, peer: identifiers.NodeIdentity) -> None:
        """Record that a frame from a node was received, so its process is alive.

        Args:
            peer: Host and incarnation of the node.
        """
        self._seen_incarnation_by_host[peer.host] = peer.incarnation

    async def run(self) -> None:
        """Read the engines' inventories regularly and reclaim what is due, until cancelled."""
        try:
            while True:
                self._start_reads()
                await asyncio.sleep(INVENTORY_INTERVAL_SECONDS)
        finally:
            for read_task in self._read_task_by_server.values():
                read_task.cancel()

    def _start_reads(self) -> None:
        servers_with_abandoned_attempts = self._get_servers_with_abandoned_attempts()
        for server in self._get_configuration().servers_by_id.values():
            if server.memory_tokens == 0 or server.server_id in self._read_task_by_server:
                continue
            if (
                server.server_id in servers_with_abandoned_attempts
                or self._reclaimer.rank(server.server_id) is not None
            ):
                read_task = asyncio.create_task(self._read_inventory(server))
                self._read_task_by_server[server.server_id] = read_task

    async def _read_inventory(self, server: schema.Server) -> None:
        try:
            response = await self._engines.streams(server.address, ENGINE_TIMEOUT_SECONDS)
            if isinstance(response, result.Ok):
                engine_inventory = _to_inventory(response.ok_value)
                known_ids = self._get_known_ids()
                for effect in self._reclaimer.on_inventory(
                    server.server_id, engine_inventory, known_ids, _now()
                ):
                    await self._reclaim(effect, server.address)
        finally:
            self._read_task_by_server.pop(server.server_id, None)

    async def _reclaim(self, effect: reclaimer.Effect, address: str) -> None:
        response = await _perform(effect, self._engines, address)
        if isinstance(response, result.Ok):
            self.reclaimed_count += 1
        logs.event("given_back", kind=type(effect).__name__, address=address, done=response.is_ok())


@functools.singledispatch
async def _perform(
    effect: object, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    """Call the engine to carry out an effect of the reclaimer."""
    raise TypeError(f"unknown effect {effect!r}")


@_perform.register
async def _(
    effect: reclaimer.CancelStream, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    return await engines.cancel(address, effect.attempt, ENGINE_TIMEOUT_SECONDS)


@_perform.register
async def _(
    effect: reclaimer.DeleteExport, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    return await engines.delete_export(address, effect.export_id, ENGINE_TIMEOUT_SECONDS)


@_perform.register
async def _(
    effect: reclaimer.DeleteReservation, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    return await engines.delete_reservation(address, effect.group, ENGINE_TIMEOUT_SECONDS)


def _to_inventory(engine_streams: engine_values.EngineStreams) -> inventory.Inventory:
    """Convert an engine's list of streams, exports and reservations for the reclaimer."""
    parse = identifiers.NodeIdentity.parse
    streams = [
        inventory.Item(inventory.Kind.STREAM, entry.attempt, parse(entry.owner))
        for entry in engine_streams.streams
    ]
    exports = [
        inventory.Item(inventory.Kind.EXPORT, entry.export_id, parse(entry.owner))
        for entry in engine_streams.exports
    ]
    reservations = [
        inventory.Item(inventory.Kind.RESERVATION, entry.group, parse(entry.owner))
        for entry in engine_streams.reservations
    ]
    return inventory.Inventory(engine_streams.start_id, (*streams, *exports, *reservations))


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Reads what engines hold, and gives back what dead owners left there."""

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

INVENTORY_SECONDS = 1.0
"""Time between readings of what an engine holds, seconds."""

CALL_SECONDS = 2.0
"""Bound on one call to an engine, seconds."""


class ReclaimTask:
    """Owns the node's reclaimer and looks after its share of the engines."""

    def __init__(
        self,
        engines: engine_client.EngineClient,
        identity: identifiers.NodeIdentity,
        get_configuration: Callable[[], schema.Configuration],
        get_known_ids: Callable[[], frozenset[str]],
        get_used_servers: Callable[[], frozenset[str]],
        rules: reclaimer.ReclaimRules | None = None,
    ) -> None:
        """Create the task.

        Args:
            engines: Client of engines.
            identity: This node.
            get_configuration: Returns the configuration in force.
            get_known_ids: Returns the attempts, exports and groups that the node uses.
            get_used_servers: Returns the engines at which the node has left a failed
                cancellation, besides those that it looks after.
            rules: Times of reclaim.
        """
        self._engines = engines
        self._reclaimer = reclaimer.Reclaimer(identity, rules or reclaimer.ReclaimRules())
        self._get_configuration = get_configuration
        self._get_known_ids = get_known_ids
        self._get_used_servers = get_used_servers
        self._incarnation_by_host: dict[str, str] = {}
        self._readings_by_server: dict[str, asyncio.Task[None]] = {}
        self.reclaimed_count = 0
        """Things given back since the start."""

    def on_hosts(self, hosts: frozenset[str]) -> None:
        """Take in a reading of the host list that is within its lag.

        Args:
            hosts: Names of the hosts on it, leaving ones included.
        """
        heard = self._incarnation_by_host
        self._incarnation_by_host = {}
        self._reclaimer.on_members(hosts, heard, _now())

    def on_peer_frame(self, peer: identifiers.NodeIdentity) -> None:
        """Take note that a node answered on a connection of its own.

        Args:
            peer: The node.
        """
        self._incarnation_by_host[peer.host] = peer.incarnation

    async def run(self) -> None:
        """Look at the engines until cancelled."""
        try:
            while True:
                self._start_readings()
                await asyncio.sleep(INVENTORY_SECONDS)
        finally:
            for reading in self._readings_by_server.values():
                reading.cancel()

    def _start_readings(self) -> None:
        used = self._get_used_servers()
        for server in self._get_configuration().servers_by_id.values():
            if server.memory_tokens == 0 or server.server_id in self._readings_by_server:
                continue
            if server.server_id in used or self._reclaimer.rank(server.server_id) is not None:
                reading = asyncio.create_task(self._read(server))
                self._readings_by_server[server.server_id] = reading

    async def _read(self, server: schema.Server) -> None:
        try:
            answer = await self._engines.streams(server.address, CALL_SECONDS)
            if isinstance(answer, result.Ok):
                held = _to_inventory(answer.ok_value)
                known_ids = self._get_known_ids()
                for effect in self._reclaimer.on_inventory(
                    server.server_id, held, known_ids, _now()
                ):
                    await self._give_back(effect, server.address)
        finally:
            self._readings_by_server.pop(server.server_id, None)

    async def _give_back(self, effect: reclaimer.Effect, address: str) -> None:
        done = await _perform(effect, self._engines, address)
        if isinstance(done, result.Ok):
            self.reclaimed_count += 1
        logs.event("given_back", kind=type(effect).__name__, address=address, done=done.is_ok())


@functools.singledispatch
async def _perform(
    effect: object, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    """Carry out an effect."""
    raise TypeError(f"unknown effect {effect!r}")


@_perform.register
async def _(
    effect: reclaimer.CancelStream, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    return await engines.cancel(address, effect.attempt, CALL_SECONDS)


@_perform.register
async def _(
    effect: reclaimer.DeleteExport, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    return await engines.delete_export(address, effect.export_id, CALL_SECONDS)


@_perform.register
async def _(
    effect: reclaimer.DeleteReservation, engines: engine_client.EngineClient, address: str
) -> result.Result[None, engine_client.Error]:
    return await engines.delete_reservation(address, effect.group, CALL_SECONDS)


def _to_inventory(held: engine_values.EngineStreams) -> inventory.Inventory:
    """Return the deciding module's form of what an engine holds."""
    parse = identifiers.NodeIdentity.parse
    streams = [
        inventory.Item(inventory.Kind.STREAM, entry.attempt, parse(entry.owner))
        for entry in held.streams
    ]
    exports = [
        inventory.Item(inventory.Kind.EXPORT, entry.export_id, parse(entry.owner))
        for entry in held.exports
    ]
    reservations = [
        inventory.Item(inventory.Kind.RESERVATION, entry.group, parse(entry.owner))
        for entry in held.reservations
    ]
    return inventory.Inventory(held.start_id, (*streams, *exports, *reservations))


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Owns the node's leases, and orders engines into their end states while it holds one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import result

from dragonflycove.backends import engine_values
from dragonflycove.configuration import schema
from dragonflycove.leases import lease_table, records
from dragonflycove.placement import load_planner, states
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from dragonflycove.backends import engine_client
    from dragonflycove.infrastructure import log_client
    from dragonflycove.values import identifiers

PAGE_RECORDS = 500
"""Most records read at once."""

POLL_SECONDS = 2.0
"""Time for which the log may hold a reading that finds nothing new, seconds."""

CALL_SECONDS = 5.0
"""Bound on one reading of the log, seconds."""

APPEND_SECONDS = 2.0
"""Bound on one append to the log, seconds."""

ORDER_SECONDS = 2.0
"""Bound on one call to an engine, seconds; less than the time that must be left of a lease."""

RETRY_SECONDS = 0.5
"""Pause before the log is read again after a failure, seconds."""

TICK_SECONDS = 0.25
"""Time between looks at the leases, seconds."""

ROUND_SECONDS = 2.0
"""Time between readings of the engines' states by a holder, seconds."""

DEFAULT_UNITS_PER_SECOND = 1.0
"""Share of the weight store's rate of one lease holder, units a second."""


class LeaseTask:
    """Competes for one lease for each model service and gives orders under those it holds."""

    def __init__(
        self,
        log: log_client.LogClient,
        engines: engine_client.EngineClient,
        identity: identifiers.NodeIdentity,
        rng: random.Random,
        get_configuration: Callable[[], schema.Configuration],
        get_waiting_by_model: Callable[[], Mapping[str, int]],
        rules: lease_table.LeaseTimings | None = None,
        units_per_second: float = DEFAULT_UNITS_PER_SECOND,
    ) -> None:
        """Create the task.

        Args:
            log: The log service.
            engines: Client of engines.
            identity: This node.
            rng: Generator for identifiers.
            get_configuration: Returns the configuration in force.
            get_waiting_by_model: Returns how many requests wait, by model.
            rules: Times of the lease protocol.
            units_per_second: Share of the weight store's rate for each lease that is held.
        """
        rules = rules or lease_table.LeaseTimings()
        self.leases = lease_table.LeaseTable(identity, rules, rng)
        """The leases of this node."""
        self._log = log
        self._engines = engines
        self._get_configuration = get_configuration
        self._get_waiting_by_model = get_waiting_by_model
        self._units_per_second = units_per_second
        self._hosts: frozenset[str] = frozenset()
        self._planner_by_service: dict[str, load_planner.LoadPlanner] = {}
        self._appends: set[asyncio.Task[None]] = set()

    def on_hosts(self, hosts: frozenset[str]) -> None:
        """Take in the hosts that are live and not leaving.

        Args:
            hosts: Their names.
        """
        self._hosts = hosts

    def set_rate(self, units_per_second: float) -> None:
        """Change the share of the weight store's rate for each lease that is held.

        Args:
            units_per_second: The new share.
        """
        self._units_per_second = units_per_second

    async def run(self) -> None:
        """Follow the log and give orders until cancelled."""
        try:
            await asyncio.gather(self._follow_log(), self._keep_leases(), self._keep_placement())
        finally:
            for append in self._appends:
                append.cancel()

    async def release(self) -> None:
        """Give up the leases for a planned stop."""
        for effect in self.leases.release_all(_now()):
            await self._append(effect)

    async def _follow_log(self) -> None:
        offset = 0
        while True:
            page = await self._log.read(
                records.STREAM, offset, PAGE_RECORDS, POLL_SECONDS, CALL_SECONDS
            )
            if isinstance(page, result.Err):
                logs.warning("leases_read_failed", reason=page.err_value.reason)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            for record in page.ok_value.records:
                self.leases.on_record(record.offset, record.appended_at, record.value, _now())
            offset = page.ok_value.next_offset
            if len(page.ok_value.records) < PAGE_RECORDS:
                self.leases.on_end_reached(_now())

    async def _keep_leases(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.leases.on_hosts(map(_scope, self._model_services()), self._hosts)
            for effect in self.leases.tick(_now()):
                append = asyncio.create_task(self._append(effect))
                self._appends.add(append)
                append.add_done_callback(self._appends.discard)

    async def _append(self, effect: lease_table.Append) -> None:
        """Append a record; whether it took effect is learned by reading it back."""
        answer = await self._log.append(records.STREAM, [effect.value], APPEND_SECONDS)
        if isinstance(answer, result.Err):
            logs.warning("lease_append_failed", reason=answer.err_value.reason)

    def _model_services(self) -> list[str]:
        """Return the names of the model services."""
        services = self._get_configuration().services_by_name.values()
        return [one.name for one in services if one.kind is schema.ServiceKind.MODEL]

    async def _keep_placement(self) -> None:
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            for service in self._model_services():
                if self.leases.fencing_token(_scope(service), True, _now()) is not None:
                    await self._place(service)

    async def _place(self, service: str) -> None:
        """Read the states of a service's engines and give the orders that are due."""
        configuration = self._get_configuration()
        servers_by_id = {
            server_id: server
            for server_id, server in configuration.servers_by_id.items()
            if server.service == service
            and configuration.accepts_new_work(server_id)
            and self._number(server) is not None
        }
        observed = await asyncio.gather(*map(self._observe, servers_by_id.values()))
        engines = [engine for engine in observed if engine is not None]
        planner = self._planner_by_service.setdefault(
            service, load_planner.LoadPlanner(self._units_per_second)
        )
        planner.set_rate(self._units_per_second)
        fencing_by_id = {engine.server_id: engine.fencing_token for engine in engines}
        for order in planner.plan(servers_by_id, engines, self._get_waiting_by_model(), _now()):
            server = servers_by_id[order.server_id]
            await self._give(order, server, fencing_by_id[order.server_id])

    async def _observe(self, server: schema.Server) -> states.ObservedEngine | None:
        """Read the state and the load of an engine."""
        state = await self._engines.get_state(server.address, ORDER_SECONDS)
        load = await self._engines.load(server.address, ORDER_SECONDS)
        if isinstance(state, result.Err) or isinstance(load, result.Err):
            return None
        read = state.ok_value
        end_state = states.EngineState(
            frozenset(read.models),
            frozenset(read.adapters),
            tuple(sorted(read.versions.items())),
            read.role,
        )
        running = load.ok_value.running + load.ok_value.waiting
        return states.ObservedEngine(server.server_id, end_state, read.fencing, running)

    async def _give(self, order: states.Order, server: schema.Server, last_fencing: int) -> None:
        """Give an order, if the lease still allows it."""
        state = engine_values.EngineState(
            0,
            tuple(sorted(order.state.models)),
            tuple(sorted(order.state.adapters)),
            dict(order.state.versions),
            order.state.role,
        )
        # Nothing may be awaited between this check and the order.
        number = self._number(server)
        if number is None or number < last_fencing:
            return
        state = state._replace(fencing=number)
        answer = await self._engines.put_state(server.address, state, ORDER_SECONDS)
        logs.event(
            "order_given",
            server=server.server_id,
            fencing=number,
            models=",".join(state.models),
            done=answer.is_ok(),
        )

    def _number(self, server: schema.Server) -> int | None:
        """Return the fencing number for an order to a server now, if one may be given."""
        return self.leases.fencing_token(_scope(server.service), server.checks_fencing, _now())


def _scope(service: str) -> str:
    """Return what the lease for a service's engines is about."""
    return f"placement/{service}"


def _now() -> float:
    return asyncio.get_running_loop().time()

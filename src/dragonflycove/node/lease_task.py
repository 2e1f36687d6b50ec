"""Task that competes for placement leases and loads models on engines while it holds one."""

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

MAX_PAGE_RECORDS = 500
"""Maximum number of records per read of the log."""

LONG_POLL_SECONDS = 2.0
"""Time for which the log may delay the response to a read while it has no new records."""

READ_TIMEOUT_SECONDS = 5.0
"""Timeout of one read of the log."""

APPEND_TIMEOUT_SECONDS = 2.0
"""Timeout of one append to the log."""

ENGINE_TIMEOUT_SECONDS = 2.0
"""Timeout of one call to an engine; less than the remaining lease time that an order requires."""

RETRY_DELAY_SECONDS = 0.5
"""Delay before a failed read of the log is retried."""

TICK_INTERVAL_SECONDS = 0.25
"""Interval at which leases are acquired and renewed."""

PLACEMENT_INTERVAL_SECONDS = 2.0
"""Interval at which a lease holder reads its engines' states and sends orders."""

DEFAULT_UNITS_PER_SECOND = 1.0
"""Initial share of the weight store's rate for each lease that is held."""


class LeaseTask:
    """Competes for one lease per model service and sends orders under the leases that it holds.

    An order sets the models, adapters, versions and role of an engine. It carries the lease's
    fencing token; engines that check it reject the orders of earlier holders.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        engines: engine_client.EngineClient,
        identity: identifiers.NodeIdentity,
        rng: random.Random,
        get_configuration: Callable[[], schema.Configuration],
        get_queued_by_model: Callable[[], Mapping[str, int]],
        timings: lease_table.LeaseTimings | None = None,
        units_per_second: float = DEFAULT_UNITS_PER_SECOND,
    ) -> None:
        """Create the task.

        Args:
            log: The log service.
            engines: Client of engines.
            identity: Identity of this node.
            rng: Generator for identifiers.
            get_configuration: Returns the configuration in force.
            get_queued_by_model: Returns the number of queued requests by model.
            timings: Time limits of the lease protocol; `None` for the defaults.
            units_per_second: Initial share of the weight store's rate for each lease that is held.
        """
        timings = timings or lease_table.LeaseTimings()
        self.leases = lease_table.LeaseTable(identity, timings, rng)
        """Leases of all nodes, as read from the log, and those that this node holds."""
        self._log = log
        self._engines = engines
        self._get_configuration = get_configuration
        self._get_queued_by_model = get_queued_by_model
        self._units_per_second = units_per_second
        self._hosts: frozenset[str] = frozenset()
        self._planner_by_service: dict[str, load_planner.LoadPlanner] = {}
        self._append_tasks: set[asyncio.Task[None]] = set()

    def on_hosts(self, hosts: frozenset[str]) -> None:
        """Set the hosts whose nodes may compete for leases.

        Args:
            hosts: Names of the hosts that are listed and not leaving.
        """
        self._hosts = hosts

    def set_rate(self, units_per_second: float) -> None:
        """Set the share of the weight store's rate for each lease that is held.

        Args:
            units_per_second: Share, in units per second.
        """
        self._units_per_second = units_per_second

    async def run(self) -> None:
        """Follow the log, compete for leases and send orders until cancelled."""
        try:
            await asyncio.gather(self._follow_log(), self._run_leases(), self._run_placement())
        finally:
            for append in self._append_tasks:
                append.cancel()

    async def release(self) -> None:
        """Release all leases before a planned stop, so that other nodes can acquire them."""
        for effect in self.leases.release_all(_now()):
            await self._append(effect)

    async def _follow_log(self) -> None:
        offset = 0
        while True:
            page = await self._log.read(
                records.STREAM, offset, MAX_PAGE_RECORDS, LONG_POLL_SECONDS, READ_TIMEOUT_SECONDS
            )
            if isinstance(page, result.Err):
                logs.warning("leases_read_failed", reason=page.err_value.reason)
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            for record in page.ok_value.records:
                self.leases.on_record(record.offset, record.appended_at, record.value, _now())
            offset = page.ok_value.next_offset
            if len(page.ok_value.records) < MAX_PAGE_RECORDS:
                self.leases.on_end_reached(_now())

    async def _run_leases(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self.leases.on_hosts(map(_lease_scope, self._model_services()), self._hosts)
            for effect in self.leases.tick(_now()):
                append = asyncio.create_task(self._append(effect))
                self._append_tasks.add(append)
                append.add_done_callback(self._append_tasks.discard)

    async def _append(self, effect: lease_table.Append) -> None:
        """Append a record; whether it took effect is known only once it is read back."""
        response = await self._log.append(records.STREAM, [effect.value], APPEND_TIMEOUT_SECONDS)
        if isinstance(response, result.Err):
            logs.warning("lease_append_failed", reason=response.err_value.reason)

    def _model_services(self) -> list[str]:
        """Return the names of the model services."""
        services = self._get_configuration().services_by_name.values()
        return [service.name for service in services if service.kind is schema.ServiceKind.MODEL]

    async def _run_placement(self) -> None:
        while True:
            await asyncio.sleep(PLACEMENT_INTERVAL_SECONDS)
            for service in self._model_services():
                if self.leases.fencing_token(_lease_scope(service), True, _now()) is not None:
                    await self._send_due_orders(service)

    async def _send_due_orders(self, service: str) -> None:
        """Read the states of a service's engines and send the orders that are due."""
        configuration = self._get_configuration()
        servers_by_id = {
            server_id: server
            for server_id, server in configuration.servers_by_id.items()
            if server.service == service
            and configuration.accepts_new_work(server_id)
            and self._fencing_token(server) is not None
        }
        observed = await asyncio.gather(*map(self._observe, servers_by_id.values()))
        engines = [engine for engine in observed if engine is not None]
        planner = self._planner_by_service.setdefault(
            service, load_planner.LoadPlanner(self._units_per_second)
        )
        planner.set_rate(self._units_per_second)
        fencing_by_id = {engine.server_id: engine.fencing_token for engine in engines}
        for order in planner.plan(servers_by_id, engines, self._get_queued_by_model(), _now()):
            server = servers_by_id[order.server_id]
            await self._send_order(order, server, fencing_by_id[order.server_id])

    async def _observe(self, server: schema.Server) -> states.ObservedEngine | None:
        """Read the state and the load of an engine; return `None` if either can't be read."""
        state = await self._engines.get_state(server.address, ENGINE_TIMEOUT_SECONDS)
        load = await self._engines.load(server.address, ENGINE_TIMEOUT_SECONDS)
        if isinstance(state, result.Err) or isinstance(load, result.Err):
            return None
        reported = state.ok_value
        end_state = states.EngineState(
            frozenset(reported.models),
            frozenset(reported.adapters),
            tuple(sorted(reported.versions.items())),
            reported.role,
        )
        running = load.ok_value.running + load.ok_value.waiting
        return states.ObservedEngine(server.server_id, end_state, reported.fencing, running)

    async def _send_order(
        self, order: states.Order, server: schema.Server, last_fencing: int
    ) -> None:
        """Send an order to an engine, unless the lease is lost or a newer holder sent one."""
        state = engine_values.EngineState(
            0,
            tuple(sorted(order.state.models)),
            tuple(sorted(order.state.adapters)),
            dict(order.state.versions),
            order.state.role,
        )
        # There must be no `await` between this check and the call.
        token = self._fencing_token(server)
        if token is None or token < last_fencing:
            return
        state = state._replace(fencing=token)
        response = await self._engines.put_state(server.address, state, ENGINE_TIMEOUT_SECONDS)
        logs.event(
            "order_given",
            server=server.server_id,
            fencing=token,
            models=",".join(state.models),
            done=response.is_ok(),
        )

    def _fencing_token(self, server: schema.Server) -> int | None:
        """Return the fencing token for an order to a server; `None` if no order may be sent now."""
        return self.leases.fencing_token(
            _lease_scope(server.service), server.checks_fencing, _now()
        )


def _lease_scope(service: str) -> str:
    """Return the scope of the lease on placement for a service's engines."""
    return f"placement/{service}"


def _now() -> float:
    return asyncio.get_running_loop().time()

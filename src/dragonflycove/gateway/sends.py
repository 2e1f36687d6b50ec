"""Runs one attempt: sends a request to a backend server once and relays the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import result

from dragonflycove.fleet import catalog, forwarding, server_health
from dragonflycove.gateway import exchanges, response_bodies, send_values
from dragonflycove.platform import requests

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.fleet import store_view
    from dragonflycove.gateway import (
        caller_responses,
        connection_pool,
        pace_meter,
        request_context,
    )
    from dragonflycove.telemetry import fleet_metrics
    from dragonflycove.transport import http1

_T = TypeVar("_T")


class Sender:
    """Sends requests to backend servers and relays their responses."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        view: store_view.StoreView,
        metrics: fleet_metrics.FleetMetrics,
        on_opened: Callable[[str], None] = lambda _: None,
        meter: pace_meter.PaceMeter | None = None,
    ) -> None:
        """Create a sender.

        Args:
            pool: Connections to servers.
            view: Servers as this node knows them.
            metrics: Records response times and gaps.
            on_opened: Called with a service when one of its servers accepts a new connection.
            meter: Measures the servers' speed; None if it isn't learned.
        """
        self._meter = meter
        self._on_opened = on_opened
        self._pool = pool
        self._store_view = view
        self._metrics = metrics
        self._bodies = response_bodies.ResponseBodies()

    async def send(
        self,
        context: request_context.RequestContext,
        plan: send_values.AttemptPlan,
        response: caller_responses.CallerResponse,
        progress: send_values.StreamProgress,
    ) -> send_values.AttemptResult:
        """Run one attempt of a request.

        Args:
            context: The request.
            plan: Servers and timing of the attempt.
            response: The response to the caller.
            progress: Position in the caller's stream over all attempts.

        Returns:
            How the attempt ended.
        """
        server = plan.grant.lead
        loop = asyncio.get_running_loop()
        taken = await self._take_connection(context, server.address, plan.needs_fresh_connection)
        if isinstance(taken, result.Err):
            return send_values.AttemptResult(
                forwarding.AttemptEnd.NOT_SENT,
                server_health.Outcome.UNREACHABLE,
                failure=taken.err_value,
            )
        connection = taken.ok_value
        if not connection.completed_responses:
            self._on_opened(context.service)
        seconds_left = context.deadline_at - loop.time()
        is_usable = self._store_view.is_usable(server.instance, loop.time())
        if seconds_left <= 0 or not is_usable or not plan.may_send():
            connection.close()
            return send_values.AttemptResult(
                forwarding.AttemptEnd.NOT_SENT, server_health.Outcome.ABANDONED
            )
        exchange = _ServerExchange(
            context,
            plan,
            response,
            progress,
            connection,
            self._pool,
            self._metrics,
            self._bodies,
            self._meter,
        )
        plan.on_sending()
        try:
            return await exchange.run(exchange.encode(seconds_left))
        finally:
            if not exchange.is_pooled:
                connection.close()

    async def _take_connection(
        self, context: request_context.RequestContext, address: catalog.Address, is_fresh: bool
    ) -> result.Result[http1.Connection, str]:
        """Take a connection on which the server has not refused this request before."""
        while True:
            seconds_left = context.deadline_at - asyncio.get_running_loop().time()
            taken = await self._pool.take(
                address, fresh=is_fresh, connect_seconds=max(0.01, seconds_left)
            )
            if isinstance(taken, result.Err):
                return taken
            if context.request.attempt_id not in taken.ok_value.refused_request_ids:
                return taken
            taken.ok_value.close()


class _ServerExchange(exchanges.Exchange):
    """A request and its response on a connection to a backend server."""

    def __init__(
        self,
        context: request_context.RequestContext,
        plan: send_values.AttemptPlan,
        response: caller_responses.CallerResponse,
        progress: send_values.StreamProgress,
        connection: http1.Connection,
        pool: connection_pool.ConnectionPool,
        metrics: fleet_metrics.FleetMetrics,
        bodies: response_bodies.ResponseBodies,
        meter: pace_meter.PaceMeter | None,
    ) -> None:
        address = plan.grant.lead.address
        super().__init__(
            context,
            plan.callbacks,
            response,
            progress,
            connection,
            address,
            pool,
            metrics,
            bodies,
        )
        self._plan = plan
        self._meter = meter

    def _on_gap(self, seconds: float, writing_seconds: float) -> None:
        if self._meter is not None:
            self._meter.on_gap(self._plan.grant, seconds, writing_seconds)

    def _on_response(self, seconds: float) -> None:
        if self._meter is not None:
            self._meter.on_response(self._plan.grant, seconds)

    def encode(self, seconds_left: float) -> http1.Request:
        context = self._context
        parameters = requests.AttemptParameters(
            server=self._plan.grant.lead,
            seconds_left=seconds_left,
            organisation=context.organisation.name if context.organisation else None,
            priority=context.priority,
            helpers=self._plan.helpers,
            last_event_id=self._progress.position.last_id,
        )
        return requests.encode_for_server(context.request, parameters)

    def _first_event_timeout(self) -> float:
        route = self._context.route
        if route.kind is catalog.CallKind.STREAMING and route.is_resumable:
            return forwarding.first_event_timeout_seconds(route, self._plan.predicted_seconds)
        return forwarding.retry_timeout_seconds(route) or float("inf")

    async def _read_with_timeout(
        self, seconds: float, read_operation: Awaitable[result.Result[_T, object]]
    ) -> result.Result[_T, forwarding.AttemptEnd]:
        """Wait as usual, and end the attempt as well if the server is lost meanwhile."""
        reading = super()._read_with_timeout(seconds, read_operation)
        if self._plan.wait_until_lost is None:
            return await reading
        read = asyncio.ensure_future(reading)
        lost = asyncio.ensure_future(self._plan.wait_until_lost())
        try:
            await asyncio.wait({read, lost}, return_when=asyncio.FIRST_COMPLETED)
            if read.done():
                return read.result()
            lost.result()  # Raises if the watch has failed.
            return result.Err(forwarding.AttemptEnd.TIMEOUT)
        finally:
            lost.cancel()
            if not read.done():
                read.cancel()
                await asyncio.wait({read})

    def _handle_not_executed(self, head: forwarding.ResponseHead) -> send_values.AttemptResult:
        for part in self._plan.grant.helpers:
            if part.server.address == head.faulty_address:
                return send_values.AttemptResult(
                    forwarding.AttemptEnd.NOT_EXECUTED,
                    server_health.Outcome.ABANDONED,
                    refusing_helper_id=part.server.instance.server_id,
                )
        return super()._handle_not_executed(head)

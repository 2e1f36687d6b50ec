"""One node: builds its tasks, connects them and runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette import applications, responses, routing

from dragonflycove.admission import dispatcher as dispatching
from dragonflycove.backends import engine_client, plain_client
from dragonflycove.callers import app as caller_app
from dragonflycove.configuration import schema
from dragonflycove.node import (
    claim_task,
    configuration_task,
    dispatch_task,
    drain,
    engine_poll_task,
    host_list_task,
    http_server,
    model_request_task,
    node_gateway,
    plain_calls,
    services,
    tasks,
)
from dragonflycove.platform import host_list_client, log_client
from dragonflycove.routing import policies
from dragonflycove.telemetry import logs, metrics
from dragonflycove.transport import sessions
from dragonflycove.values import identifiers, outcomes

if TYPE_CHECKING:
    import random

    from starlette import requests as http_requests

    from dragonflycove.routing import load_view
    from dragonflycove.settings import node as node_settings


class Node:
    """The whole of one node process."""

    def __init__(self, settings: node_settings.NodeSettings, rng: random.Random) -> None:
        """Build the node inside a running loop; sockets are bound, nothing runs yet.

        Args:
            settings: The node's settings.
            rng: Generator for identifiers and choices.

        Raises:
            OSError: An address cannot be bound.
        """
        incarnation = identifiers.new_id(rng, "start")
        self._broken = asyncio.Event()
        self._core = tasks.TaskGroup(self._broken)
        self._session = sessions.open_pooled()
        dispatcher = dispatching.Dispatcher.from_config(
            schema.EMPTY, settings.zone, policies.Policy.BORROWING, rng
        )
        self._dispatch = dispatch_task.DispatchTask(dispatcher)
        self._context = services.NodeServices(
            settings,
            identifiers.NodeIdentity(settings.host, incarnation),
            rng,
            metrics.Metrics(),
            engine_client.EngineClient(self._session),
            plain_client.PlainClient(self._session),
            self._dispatch.mailbox,
            self._broken,
        )
        self._log = log_client.LogClient(self._session, settings.log_address)
        self._calls = plain_calls.PlainCalls(self._context)
        self._build_tasks(settings)
        self._gateway = node_gateway.NodeGateway(
            self._context, self._calls, self._run_once, self._find_fault
        )
        self._server = http_server.HttpServer(self._build_app(), settings.caller_address)

    @classmethod
    def from_config(cls, settings: node_settings.NodeSettings, rng: random.Random) -> Node:
        """Build the node from its settings; see the constructor."""
        return cls(settings, rng)

    def _build_tasks(self, settings: node_settings.NodeSettings) -> None:
        self._configuration = configuration_task.ConfigurationTask(self._log)
        self._configuration.subscribe(self._on_configuration)
        self._claims = claim_task.ClaimTask(
            self._log, self._context.plain, self._context.identity, self._context.rng
        )
        self._engines = engine_poll_task.EnginePollTask(self._context, self._on_report)
        hosts = host_list_client.HostListClient(self._session, settings.host_list_address)
        self._hosts = host_list_task.HostListTask(self._context, hosts, self._on_hosts)

    async def run(self, stop: asyncio.Event, hurry: asyncio.Event) -> bool:
        """Run until told to stop, then drain.

        Args:
            stop: Set to begin a graceful stop.
            hurry: Set to end it at once.

        Returns:
            Whether no invariant was broken.
        """
        self._start_tasks()
        settings = self._context.settings
        logs.event("node_started", host=settings.host, address=settings.caller_address)
        await _first_of(stop, self._broken)
        if not self._broken.is_set():
            draining = asyncio.create_task(drain.Drain(self._context).run())
            hurrying = asyncio.create_task(hurry.wait())
            await asyncio.wait({draining, hurrying}, return_when=asyncio.FIRST_COMPLETED)
            draining.cancel()
            hurrying.cancel()
        await self._close()
        logs.event("node_stopped", whole=not self._broken.is_set())
        return not self._broken.is_set()

    def _start_tasks(self) -> None:
        self._core.start("dispatch", self._dispatch.run())
        self._core.start("configuration", self._configuration.run())
        self._core.start("claims", self._claims.run())
        self._core.start("engines", self._engines.run())
        self._core.start("hosts", self._hosts.run())
        self._core.start("http", self._server.run())

    async def _close(self) -> None:
        self._server.stop()
        await asyncio.sleep(0.2)
        await self._context.background.stop()
        await self._core.stop()
        await self._context.engines.close()
        await self._context.plain.close()
        await self._session.close()

    def _on_configuration(self, configuration: schema.Configuration) -> None:
        self._context.configuration = configuration
        self._context.dispatch.post(dispatch_task.Configured(configuration))
        logs.event(
            "configuration_in_force",
            version=configuration.version,
            zones_out=",".join(sorted(configuration.zones_out)),
        )
        self._move_requests(configuration)

    def _move_requests(self, configuration: schema.Configuration) -> None:
        """Move what runs at servers that may get no new work."""
        for task in list(self._context.requests_by_id.values()):
            server = task.current_server
            if server and not configuration.accepts_new_work(server):
                task.mailbox.post(model_request_task.Moved(outcomes.Reason.SERVER_LEAVING))

    def _on_hosts(self, hosts: host_list_client.HostList, age_seconds: float) -> None:
        """Take in a reading of the host list."""

    def _on_report(self, report: load_view.EngineReport) -> None:
        """Take in a load report."""

    def _find_fault(self) -> str | None:
        if self._context.configuration.version == 0:
            return "no configuration is in force at this node yet"
        return None

    def _build_app(self) -> applications.Starlette:
        settings = self._context.settings
        routes = caller_app.build_routes(
            self._gateway, settings.default_deadline_seconds, settings.heartbeat_seconds
        )
        routes.extend(
            [
                routing.Route("/healthz", self._show_health),
                routing.Route("/readyz", self._show_readiness),
                routing.Route("/metrics", self._show_metrics),
            ]
        )
        return applications.Starlette(routes=routes)

    async def _show_health(self, request: http_requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    async def _show_readiness(self, request: http_requests.Request) -> responses.Response:
        fault = "stopping" if self._context.withdrawn else self._find_fault()
        if fault is not None:
            return responses.PlainTextResponse(f"{fault}\n", 503)
        return responses.PlainTextResponse("ready\n")

    async def _show_metrics(self, request: http_requests.Request) -> responses.Response:
        accept = request.headers.getlist("accept")
        content, media_type = self._context.metrics.render(accept)
        return responses.Response(content, media_type=media_type)


async def _first_of(*events: asyncio.Event) -> None:
    """Wait until one of the events is set."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()

"""Builds the tasks of one node, connects them and runs them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from starlette import applications, responses, routing

from dragonflycove.admission import dispatcher as dispatching
from dragonflycove.backends import engine_client, plain_client
from dragonflycove.callers import app as caller_app
from dragonflycove.callers import gateway
from dragonflycove.configuration import freshness, schema
from dragonflycove.infrastructure import host_list_client, log_client
from dragonflycove.membership import digests
from dragonflycove.node import (
    claim_task,
    configuration_task,
    control_tasks,
    dispatch_task,
    drain,
    engine_poll_task,
    guard_messages,
    guard_task,
    handover,
    host_list_task,
    http_server,
    lease_task,
    node_context,
    node_gateway,
    peer_exchange_task,
    plain_calls,
    quarantine_log_task,
    reclaim_task,
    request_messages,
    status_source,
    subset_task,
    tasks,
)
from dragonflycove.operators import app as operator_app
from dragonflycove.reclaim import reclaimer
from dragonflycove.routing import policies
from dragonflycove.telemetry import logs, metrics
from dragonflycove.transport import sessions
from dragonflycove.values import identifiers, outcomes

if TYPE_CHECKING:
    import random

    from starlette import requests as http_requests

    from dragonflycove.peering import messages
    from dragonflycove.routing import load_view
    from dragonflycove.settings import node as node_settings
    from dragonflycove.values import requests


class Node:
    """All tasks of one node process."""

    def __init__(self, settings: node_settings.NodeSettings, rng: random.Random) -> None:
        """Build the node inside a running event loop; sockets are bound, tasks start with `run`.

        Args:
            settings: The node's settings.
            rng: Generator of identifiers and random choices.

        Raises:
            OSError: An address cannot be bound.
        """
        incarnation = identifiers.new_id(rng, "start")
        self._task_failed = asyncio.Event()
        self._known_incarnations_by_host: dict[str, str] = {}
        self._core = tasks.TaskGroup(self._task_failed)
        self._session = sessions.open_pooled()
        dispatcher = dispatching.Dispatcher.from_config(
            schema.EMPTY, settings.zone, policies.Policy.BORROWING, rng, settings.host
        )
        self._dispatch = dispatch_task.DispatchTask(dispatcher)
        self._context = node_context.NodeContext(
            settings,
            identifiers.NodeIdentity(settings.host, incarnation),
            rng,
            metrics.Metrics(),
            engine_client.EngineClient(self._session),
            plain_client.PlainClient(self._session),
            self._dispatch.mailbox,
            tasks.Mailbox(),
            tasks.TaskGroup(self._task_failed),
        )
        self._log = log_client.LogClient(self._session, settings.log_address)
        self._calls = plain_calls.PlainCalls(self._context)
        self._build_tasks(settings)
        self._status = status_source.NodeStatusSource(
            self._context,
            self._configuration,
            self._control,
            self._guard,
            lambda: self._find_unready_reason() is None and not self._context.hidden_from_lookup,
        )
        self._gateway = node_gateway.NodeGateway(
            self._context,
            self._guard,
            self._calls,
            self._run_non_idempotent,
            self._find_unready_reason,
        )
        self._server = http_server.HttpServer(self._build_app(), settings.caller_address)

    @classmethod
    def from_config(cls, settings: node_settings.NodeSettings, rng: random.Random) -> Node:
        """Build the node from its settings; see the constructor."""
        return cls(settings, rng)

    def _build_tasks(self, settings: node_settings.NodeSettings) -> None:
        self._configuration = configuration_task.ConfigurationTask(
            self._log,
            configuration_task.ConfigurationTaskSettings(
                settings.host, settings.log_retention_seconds
            ),
            self._context.rng,
        )
        self._subset = subset_task.SubsetTask(self._context)
        self._configuration.subscribe(self._on_configuration)
        self._control = control_tasks.ControlTasks(
            control_tasks.ControlSettings(
                self._context.identity, settings.peer_address, time.time()
            ),
            self._configuration,
            self._context.rng,
            self._context.metrics,
            self._on_member_changed,
        )
        self._peer_exchange = peer_exchange_task.PeerExchangeTask(
            self._context, self._control.peers, self._control.membership.members.live_hosts
        )
        self._handover = handover.Handover(self._context, self._control.peers)
        self._build_log_tasks()
        self._build_engine_tasks(settings)
        hosts = host_list_client.HostListClient(self._session, settings.host_list_address)
        self._hosts = host_list_task.HostListTask(self._context, hosts, self._on_hosts)

    def _build_log_tasks(self) -> None:
        self._claims = claim_task.ClaimTask(
            self._log, self._context.plain, self._context.identity, self._context.rng
        )
        self._quarantine_log = quarantine_log_task.QuarantineLogTask(self._log, self._context.guard)

    def _build_engine_tasks(self, settings: node_settings.NodeSettings) -> None:
        self._reclaim = reclaim_task.ReclaimTask(
            self._context.engines,
            self._context.identity,
            lambda: self._context.configuration,
            self._context.known_ids,
            self._context.servers_with_abandoned_attempts,
            reclaimer.ReclaimRules.from_config(
                settings.host_list_lag_seconds, settings.reclaim_seconds
            ),
        )
        self._control.peers.observe_headers(self._on_peer_header)
        self._leases = lease_task.LeaseTask(
            self._log,
            self._context.engines,
            self._context.identity,
            self._context.rng,
            lambda: self._context.configuration,
            self._context.waiting_by_model,
        )
        callbacks = guard_task.GuardCallbacks(
            self._claims.table.set_rate,
            self._leases.set_rate,
            self._peer_exchange.broadcast_cold,
            self._peer_exchange.broadcast_record,
            self._peer_exchange.send_record,
            self._peer_exchange.request_permission,
            self._peer_exchange.answer_permission,
            self._quarantine_log.append,
        )
        self._guard = guard_task.GuardTask(self._context, callbacks)
        self._engines = engine_poll_task.EnginePollTask(self._context, self._on_load_report)

    async def run(self, stop: asyncio.Event, stop_now: asyncio.Event) -> bool:
        """Run until `stop` is set, then drain; a failed task ends the run without draining.

        Args:
            stop: Set to begin draining.
            stop_now: Set to end draining at once.

        Returns:
            `False` if a task ended by an exception.
        """
        self._start_tasks()
        settings = self._context.settings
        logs.event("node_started", host=settings.host, address=settings.caller_address)
        await _wait_for_any(stop, self._task_failed)
        if not self._task_failed.is_set():
            self._control.announce_leaving()
            self._context.background.start("release-leases", self._leases.release())
            draining = asyncio.create_task(drain.Drain(self._context, self._handover).run())
            stopping_now = asyncio.create_task(stop_now.wait())
            await asyncio.wait({draining, stopping_now}, return_when=asyncio.FIRST_COMPLETED)
            draining.cancel()
            stopping_now.cancel()
        await self._close()
        logs.event("node_stopped", whole=not self._task_failed.is_set())
        return not self._task_failed.is_set()

    def _start_tasks(self) -> None:
        self._core.start("dispatch", self._dispatch.run())
        self._core.start("control", self._control.run())
        self._core.start("fleet", self._peer_exchange.run())
        self._core.start("claims", self._claims.run())
        self._core.start("guard", self._guard.run())
        self._core.start("quarantine-log", self._quarantine_log.run())
        self._core.start("subset", self._subset.run())
        self._core.start("reclaim", self._reclaim.run())
        self._core.start("leases", self._leases.run())
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
        self._subset.mailbox.post(subset_task.ConfigurationInForce(configuration))
        logs.event(
            "configuration_in_force",
            version=configuration.version,
            zones_out=",".join(sorted(configuration.zones_out)),
        )
        self._move_requests(configuration)

    def _move_requests(self, configuration: schema.Configuration) -> None:
        """Move requests away from servers that accept no new work."""
        for task in list(self._context.requests_by_id.values()):
            server = task.current_server
            if server and not configuration.accepts_new_work(server):
                task.mailbox.post(request_messages.MoveRequested(outcomes.Reason.SERVER_LEAVING))

    def _on_hosts(self, hosts: host_list_client.HostList, age_seconds: float) -> None:
        """Distribute a newly read host list to the tasks; its age is in seconds."""
        names = frozenset(hosts.hosts_by_name)
        own = hosts.hosts_by_name.get(self._context.identity.host)
        # This host's name may have been reassigned to another process with another address.
        if own is not None and own.address != self._context.settings.caller_address:
            names -= {own.name}
        self._context.guard.post(guard_messages.HostListRead(names, age_seconds))
        zone_by_host = {name: entry.zone for name, entry in hosts.hosts_by_name.items()}
        self._subset.mailbox.post(subset_task.HostZonesRead(zone_by_host))
        self._control.on_hosts(hosts)
        for host in self._known_incarnations_by_host.keys() - hosts.hosts_by_name.keys():
            self._report_peer_lost(host, self._known_incarnations_by_host.pop(host))
        if age_seconds <= self._context.settings.host_list_lag_seconds:
            self._reclaim.on_hosts(frozenset(hosts.hosts_by_name))
        live = {name for name, entry in hosts.hosts_by_name.items() if not entry.leaving}
        self._leases.on_hosts(frozenset(live))

    def _on_load_report(self, report: load_view.LoadReport) -> None:
        """Record the free memory of an engine's load report and pass the report to the guard."""
        free = report.memory_tokens - report.memory_used_tokens
        self._context.free_tokens_by_server[report.server_id] = free
        self._context.guard.post(guard_messages.LoadReportRead(report))

    def _on_peer_header(self, header: messages.Header) -> None:
        self._reclaim.on_peer_frame(identifiers.NodeIdentity.parse(header.sender))

    def _on_member_changed(self, digest: digests.Digest) -> None:
        """Update the unresponsive hosts, and send a newly started node the known records."""
        self._context.unresponsive_hosts = frozenset(
            name
            for name, member in self._control.membership.members.digests_by_host.items()
            if member.leaving or member.health is digests.Health.SILENT
        )
        known = self._known_incarnations_by_host.get(digest.host)
        self._known_incarnations_by_host[digest.host] = digest.incarnation
        if digest.incarnation != known and digest.host != self._context.identity.host:
            self._peer_exchange.send_known_records(
                digest.host, self._guard.known_records(digest.host)
            )
            if known is not None:
                self._report_peer_lost(digest.host, known)

    def _report_peer_lost(self, host: str, incarnation: str) -> None:
        node = str(identifiers.NodeIdentity(host, incarnation))
        self._context.guard.post(guard_messages.PeerLost(node))

    async def _run_non_idempotent(
        self,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> gateway.ServiceResponse:
        """Run a call that is not idempotent, under a claim for its key."""
        servers = self._calls.rank(call.service, frozenset())
        if not servers:
            return gateway.ServiceResponse(plain_calls.NO_SERVER)
        called = await self._claims.call(call, headers, body, servers)
        response = called.response
        if response is None:
            return gateway.ServiceResponse(called.outcome)
        self._context.metrics.answered("once")
        headers = (("content-type", response.content_type),)
        return gateway.ServiceResponse(called.outcome, response.status, headers, response.body)

    def _find_unready_reason(self) -> str | None:
        if self._context.configuration.version == 0 or not self._configuration.is_ready:
            return "no configuration is in force at this node yet"
        if self._configuration.evaluate_freshness() is freshness.Freshness.STALE:
            return "this node is cut off and cannot tell which configuration is in force"
        return None

    def _build_app(self) -> applications.Starlette:
        settings = self._context.settings
        routes = caller_app.build_routes(
            self._gateway, settings.default_deadline_seconds, settings.heartbeat_seconds
        )
        routes.extend(operator_app.build_routes(self._status))
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
        reason = "stopping" if self._context.hidden_from_lookup else self._find_unready_reason()
        if reason is not None:
            return responses.PlainTextResponse(f"{reason}\n", 503)
        return responses.PlainTextResponse("ready\n")

    async def _show_metrics(self, request: http_requests.Request) -> responses.Response:
        accept = request.headers.getlist("accept")
        content, media_type = self._context.metrics.render(accept)
        return responses.Response(content, media_type=media_type)


async def _wait_for_any(*events: asyncio.Event) -> None:
    """Wait until one of the events is set; the events stay as they are."""
    waits = [asyncio.create_task(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()

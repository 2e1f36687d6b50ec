"""The node's process: starts its tasks, reloads its settings and stops gracefully."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from typing import TYPE_CHECKING, Any

import result

from dragonflycove import early_signals
from dragonflycove.fleet import (
    catalog,
    limited_servers,
    peer_reach,
    placer,
    retry_budget_share,
    roster,
    store_view,
)
from dragonflycove.fleet.directory import entry_points
from dragonflycove.fleet.memory import connection_limit
from dragonflycove.gateway import (
    background_tasks,
    callers,
    connection_pool,
    control_endpoints,
    crash_guard,
    engine_calls,
    forwarder,
    lead_watch,
    load_handling,
    peer_placing,
    peer_reports,
    peer_socket,
    peer_sync,
    peer_transfer,
    placing,
    reach_watch,
    relay_listener,
    relay_sends,
    request_admission,
    request_context,
    reservations,
    server_statements,
    settings_follower,
    stop_responses,
    store_follower,
)
from dragonflycove.platform import members
from dragonflycove.telemetry import fleet_metrics, logs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dragonflycove.fleet import host_settings

EXIT_OK = 0
"""Exit status after a graceful stop."""

EXIT_FAILED = 1
"""Exit status when an address can't be bound."""

STOP_MARGIN_SECONDS = 0.5
"""Time before the platform's SIGKILL at which the process exits by itself."""

MAX_MARGIN_SHARE = 0.125
"""Maximum of `STOP_MARGIN_SECONDS` as a share of the grace time.

The platform's specification excuses cut streams only if they ran in the last sixth of it.
"""

MIN_DRAIN_SECONDS = 4.0
"""Minimum drain time after SIGTERM; twice the lifetime of the directory's responses."""

STOP_POLL_SECONDS = 0.05
"""Interval at which a stop checks whether requests and connections have ended."""

ACCEPT_STREAMS_SECONDS = 2.8
"""Time after SIGTERM during which new streams are accepted.

The platform's specification excuses streams cut by a stop only if they were requested within 3 s
after SIGTERM.
"""

CLOSING_SECONDS = 1.0
"""Time before the end of a stop from which on no connections are accepted and all requests are
refused."""

RESPONDING_SECONDS = 0.3
"""Time before the end of a stop at which requests without a response get a final one."""

MIN_RESPONDING_SECONDS = 0.1
"""Minimum time for these responses, also if the event loop was late."""

MAX_CLOSING_SHARE = 0.125
"""Maximum of `CLOSING_SECONDS`, and twice that of `RESPONDING_SECONDS`, as a share of a stop."""

HUB_READ_AGES_SECONDS = (0.4, 0.9, 1.1)
"""Ages of the store records at which the hubs read them again, the first hub first.

The first hub reads for all nodes; the others read only when the records that it sends are too old.
Twice the largest age should stay under the 2 s after which a leaving server must get no requests.
"""

NODE_READ_AGE_SECONDS = 1.3
"""Age of the store records at which a node that is not a hub reads the store itself."""

NODE_READ_JITTER_SECONDS = 0.2
"""Maximum random addition to `NODE_READ_AGE_SECONDS`, so that nodes don't all read at once."""

ISOLATED_MEMBER_POLL_SECONDS = 0.4
"""Pause between two reads of the member list while no other node is known."""

MEMBER_POLL_SECONDS = 5.0
"""Pause between two reads of the member list by a hub; connects groups of isolated nodes."""

ANNOUNCE_RETRY_SECONDS = 1.0
"""Pause before this node's entry in the member list is written again after a failure."""

METRICS_PORT = 9464
"""Port of the metrics; must match deploy/system.toml."""

MAX_CONTROL_BODY_BYTES = 4_096
"""Size limit of a body sent to a control port; no request there needs one."""

CLEANUP_INTERVAL_SECONDS = 1.0
"""Interval at which expired connections and entries of servers and nodes are removed."""


ESSENTIAL_TASKS = ("store_follower", "placement_queue")
"""Background tasks without which a node can't serve requests."""


class Daemon:
    """All tasks of one node."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        path: str,
        metrics_port: int = METRICS_PORT,
        load_choices: Mapping[str, bool] | None = None,
    ) -> None:
        """Create the node's parts; nothing listens yet.

        Args:
            settings: Settings of the process.
            path: Path of the settings file.
            metrics_port: Port on which metrics are served.
            load_choices: Parts of the handling of heavy load that the operators switch on or off.
        """
        self._metrics_port = metrics_port
        self.settings = settings_follower.SettingsFollower(settings, path, load_choices or {})
        """The settings in force."""
        self._stopping = asyncio.Event()
        rng = random.Random()
        # Unix milliseconds distinguish the incarnations of a host.
        incarnation = int(time.time() * 1000)
        self._own = _own_member(settings, incarnation)
        self._nodes = roster.Roster(self._own)
        self._members = members.MemberList(settings.store.address)
        self._peer_socket = peer_socket.PeerSocket()
        self._pool = connection_pool.ConnectionPool(settings.ip)
        self._statements = server_statements.ServerStatements(
            self._nodes, self._pool, self._peer_socket
        )
        self._store_view = store_view.StoreView(self._statements.leaving)
        self._load = load_handling.LoadHandling(
            settings, self._nodes, self._store_view, self._peer_socket, rng
        )
        self._relay_pool = connection_pool.ConnectionPool(settings.ip)
        self._reach = reach_watch.ReachWatch(
            self._nodes, self._store_view, self._pool, self._peer_socket
        )
        self._crashes = crash_guard.CrashGuard(
            self._nodes,
            self._peer_socket,
            self._pool,
            self._store_view,
            settings.store.address,
            self._reach.confirm_link,
        )
        self._limited_servers = limited_servers.LimitedServers(
            self._statements.limits, self._nodes.placing_share
        )
        self._placer = self._load.connect(
            placer.Placer(
                self._store_view,
                settings.zone,
                self._crashes.is_suspect,
                self._limited_servers.share,
                self._limited_servers,
                self._load.paces,
            )
        )
        self._local_placer = placing.LocalRequestPlacer(
            self._placer, self._crashes.counts, self._load.parts, self._load.shares
        )
        self._store_follower = store_follower.StoreFollower(
            settings.store.address, self._store_view, self._read_age
        )
        self._reports = peer_reports.PeerReports(
            self._own,
            self._nodes,
            self._placer,
            peer_sync.PeerSync(self._store_follower),
            self._peer_socket,
            self._is_ready,
            self._load.on_running,
        )
        hub_placer = peer_placing.HubRequestPlacer(
            self._own,
            self._nodes,
            self._placer,
            self._local_placer,
            self._crashes.counts,
            self._peer_socket,
            self._load.passed_on_bookings,
        )
        self._transfers = peer_transfer.TransferServer(
            self._store_follower, self._max_connections(connection_limit.Port.TRANSFERS)
        )
        calls = engine_calls.EngineCalls(self._pool, self._statements.heads)
        self._reservation_manager = reservations.ReservationManager(calls)
        retry_budget = retry_budget_share.RetryBudgetShare(
            settings.bounds.retry_ratio,
            settings.bounds.retry_allowance,
            settings.bounds.retry_window_seconds,
            asyncio.get_running_loop().time(),
        )
        local_node = request_context.LocalNode(settings.host, incarnation, settings.zone)
        self._metrics = fleet_metrics.FleetMetrics(self._gauges)
        self._relay_sender = relay_sends.RelaySender(
            self._nodes, self._reach, self._relay_pool, self._metrics, rng
        )
        self._admission = request_admission.RequestAdmission(
            self._store_view,
            rng,
            self._configuration_age,
            lambda: self._settings.bounds,
        )
        self._forwarder = forwarder.Forwarder(
            local_node,
            self._store_view,
            self._admission,
            hub_placer,
            self._pool,
            retry_budget,
            self._crashes.watch,
            self._statements.heads,
            self._statements.rests,
            self._reach,
            self._relay_sender,
            self._reservation_manager,
            lead_watch.LeadWatch(calls),
            self._metrics,
            self._servers_age,
            self._nodes.senders.count,
            rng,
            self._load.meter,
        )
        self._responder = stop_responses.StopResponder(self._forwarder)
        self._callers = callers.CallerListener(
            self._responder,
            self._caller_limits,
            self._load.caller_accounting(self._store_view),
            self._max_connections(connection_limit.Port.CALLERS),
        )
        self._relays = relay_listener.RelayListener(
            settings,
            self._nodes,
            self._forwarder,
            self._caller_limits,
            self._load.relay_accounting(self._store_view),
        )
        self._control_endpoints = control_endpoints.ControlEndpoints(
            self._list_entry_points,
            self._is_ready,
            self._metrics.render,
            settings.bounds.directory_ttl_seconds,
            self._load.choose_entry_points,
        )
        self._node_read_age = NODE_READ_AGE_SECONDS + NODE_READ_JITTER_SECONDS * rng.random()
        self._tasks = background_tasks.BackgroundTasks()
        self._control_listeners: list[callers.CallerListener] = []

    @property
    def _settings(self) -> host_settings.HostSettings:
        return self.settings.current

    def _caller_limits(self) -> catalog.CallerLimits:
        configuration = self._store_view.configuration
        return configuration.limits if configuration else catalog.CallerLimits(are_defaults=True)

    def _max_connections(self, port: connection_limit.Port) -> int:
        settings = self._settings
        return connection_limit.max_connections(
            port, settings.max_descriptors, settings.memory_bytes
        )

    def _control_limits(self) -> catalog.CallerLimits:
        return self._caller_limits()._replace(max_body_bytes=MAX_CONTROL_BODY_BYTES)

    def _is_ready(self) -> bool:
        return (
            not self._stopping.is_set()
            and self._store_view.configuration is not None
            and self._store_view.server_count > 0
            and not any(map(self._tasks.is_failing, ESSENTIAL_TASKS))
        )

    def _list_entry_points(self) -> list[entry_points.EntryPoint]:
        settings = self._settings
        others = self._nodes.entry_points(
            asyncio.get_running_loop().time(), self._peer_reaches_servers
        )
        if settings.caller_address is None or not self._is_ready():
            return others
        own = entry_points.EntryPoint(
            settings.caller_address,
            settings.zone,
            settings.region,
            settings.cores,
            not self._reach.unreached_services,
            settings.host,
        )
        return [own, *others]

    def _peer_reaches_servers(self, member: roster.Member) -> bool:
        key = peer_reach.NodeKey(member.host, member.incarnation)
        return self._reach.peers.reaches_all(key, asyncio.get_running_loop().time())

    def _read_age(self) -> float:
        """Return the age, seconds, at which this node reads records; lowest at the first hub."""
        rank = self._nodes.hub_rank(asyncio.get_running_loop().time())
        return self._node_read_age if rank < 0 else HUB_READ_AGES_SECONDS[rank]

    def _configuration_age(self) -> float:
        return asyncio.get_running_loop().time() - self._store_follower.operators.fresh_as_of

    def _servers_age(self) -> float:
        return asyncio.get_running_loop().time() - self._store_follower.servers.fresh_as_of

    def _gauges(self) -> dict[str, float]:
        """Return the values of the gauge metrics by name."""
        now = asyncio.get_running_loop().time()
        view = self._store_view
        configuration = view.configuration
        return {
            "dragonflycove_operators_age_seconds": self._configuration_age(),
            "dragonflycove_servers_age_seconds": now - self._store_follower.servers.fresh_as_of,
            "dragonflycove_configuration_version": configuration.version if configuration else 0,
            "dragonflycove_configuration_unreadable": int(view.has_unreadable_configuration),
            "dragonflycove_servers": view.server_count,
            "dragonflycove_nodes": 1 + len(self._nodes.alive(now)),
            "dragonflycove_hub_rank": self._nodes.hub_rank(now),
            "dragonflycove_active_requests": self._callers.active,
            "dragonflycove_connections": self._callers.connection_count,
            "dragonflycove_connections_refused": self._callers.refused_connections,
            "dragonflycove_waiting_requests": self._local_placer.queue_length,
            "dragonflycove_waiting_organisations": self._local_placer.queued_organisations,
            "dragonflycove_late_requests": self._local_placer.late_count,
            "dragonflycove_booked_returns": self._local_placer.booked_count,
            "dragonflycove_suspect_requests": self._crashes.counts.suspect_count(now),
            **self._statements.gauges(),
            **self._load.gauges(),
            "dragonflycove_unreached_services": len(self._reach.unreached_services),
            "dragonflycove_relayed_requests": self._relay_sender.relayed,
            "dragonflycove_store_calls": self._store_follower.calls
            + self._members.calls
            + self._crashes.store_calls,
            "dragonflycove_peer_bytes": self._peer_socket.bytes_sent,
            "dragonflycove_server_connections": self._pool.opened,
        }

    async def run(self) -> int:
        """Serve until SIGTERM, then drain and stop.

        Returns:
            The exit status.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_uncaught)
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.settings.request_reload)
        early_signals.release()
        try:
            await self.start()
        except OSError as error:
            logs.warning("bind_failed", error=str(error))
            return EXIT_FAILED
        await self._stopping.wait()
        await self.stop()
        return EXIT_OK

    async def start(self) -> None:
        """Bind all sockets and start all tasks.

        Raises:
            OSError: An address can't be bound.
        """
        await self._listen()
        run_by_name = {
            "store_follower": self._store_follower.run,
            "placement_queue": self._local_placer.run,
            "clean_up": self._clean_up,
            "reports": self._reports.run,
            "crashes": self._crashes.run,
            "statements": self._statements.run,
            "load": lambda: self._load.run(self._callers),
            "reach": self._reach.run,
            "announce": self._announce,
            "find_nodes": self._find_nodes,
            "settings": self.settings.run,
        }
        for name, run_task in run_by_name.items():
            self._tasks.start(name, run_task)
        logs.event("started", host=self._settings.host, zone=self._settings.zone)

    async def _listen(self) -> None:
        settings = self._settings
        await self._peer_socket.listen(self._own.peer_address)
        await self._transfers.listen(self._own.peer_address)
        metrics_address = catalog.Address(settings.ip, self._metrics_port)
        for address in {settings.readiness_address, settings.directory_address, metrics_address}:
            if address is None:
                continue
            is_directory = address == settings.directory_address
            port = connection_limit.Port.DIRECTORY if is_directory else connection_limit.Port.PROBES
            listener = callers.CallerListener(
                self._control_endpoints,
                self._control_limits,
                max_connections=self._max_connections(port),
            )
            await listener.listen(address)
            self._control_listeners.append(listener)
        await self._relays.listen()
        if settings.caller_address is not None:
            self._callers.may_deny = lambda: self._admission.may_deny
            await self._callers.listen(settings.caller_address)

    async def stop(self) -> None:
        """Drain at most for the grace time: finish requests while callers move to other nodes."""
        self._stopping.set()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        grace_seconds = self._settings.bounds.grace_seconds
        grace = grace_seconds - min(STOP_MARGIN_SECONDS, grace_seconds * MAX_MARGIN_SHARE)
        logs.event("stopping", active=self._callers.active, grace=grace)
        relays = self._relays.connections
        self._callers.is_stopping = relays.is_stopping = True
        ends_at = started_at + grace
        closes_at = ends_at - min(CLOSING_SECONDS, grace * MAX_CLOSING_SHARE)
        responds_at = ends_at - min(RESPONDING_SECONDS, grace * MAX_CLOSING_SHARE / 2)
        limits = self._admission.stop_limits
        limits.accept_streams_until = min(started_at + ACCEPT_STREAMS_SECONDS, closes_at)
        limits.accept_requests_until = closes_at
        limits.respond_until = responds_at
        self._reports.announce_leaving()
        while loop.time() < closes_at:
            callers_notified = loop.time() >= started_at + min(MIN_DRAIN_SECONDS, grace)
            if callers_notified and not self._callers.active and not relays.active:
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        listeners = (self._callers, relays)
        for listener in listeners:
            await listener.finish_accepting()
        await _close_connections(listeners, responds_at)
        self._responder.end_unstarted()
        await _close_connections(listeners, max(ends_at, loop.time() + MIN_RESPONDING_SECONDS))
        await self._reservation_manager.wait_for_releases(ends_at - loop.time())
        self.close()
        logs.event("stopped", host=self._settings.host)

    def close(self) -> None:
        """Cancel all tasks and close all sockets, without draining."""
        self._tasks.cancel()
        self._callers.stop_accepting()
        self._relays.connections.stop_accepting()
        for listener in self._control_listeners:
            listener.stop_accepting()
        self._transfers.close()
        self._peer_socket.close()
        self._pool.close()
        self._relay_pool.close()

    async def _announce(self) -> None:
        """Add this node to the member list in the store; retries until the store accepts it."""
        for pause in itertools.repeat(ANNOUNCE_RETRY_SECONDS):
            if isinstance(await self._members.announce(self._own), result.Ok):
                return
            await asyncio.sleep(pause)

    async def _find_nodes(self) -> None:
        """Add the nodes of the store's member list to the roster, while this node is a hub."""
        loop = asyncio.get_running_loop()
        while True:
            # New nodes report to the hubs; the list only connects groups of isolated nodes.
            if self._nodes.hub_rank(loop.time()) >= 0:
                read = await self._members.read()
                if isinstance(read, result.Ok):
                    self._nodes.senders.on_list_read()
                    for member in read.ok_value:
                        self._nodes.on_store_record(member, loop.time())
                    if self._nodes.awaits_first_contact(loop.time()):
                        self._reports.report(with_jobs=False)
            is_alone = not self._nodes.alive(loop.time())
            await asyncio.sleep(ISOLATED_MEMBER_POLL_SECONDS if is_alone else MEMBER_POLL_SECONDS)

    async def _clean_up(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            self._pool.close_expired()
            self._relay_pool.close_expired()
            self._store_view.discard_expired(now)
            self._nodes.discard_expired(now)
            self._statements.discard_expired(now)
            self._limited_servers.discard_unlimited()
            self._load.discard_expired(now)
            self._admission.stop_limits.run_times.discard_expired(now)
            logs.log_dropped_counts()


async def _close_connections(listeners: Sequence[callers.CallerListener], ends_at: float) -> None:
    """Close idle connections, and wait until the others end or the given loop time."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        for listener in listeners:
            listener.close_idle()
        if not any(listener.has_connections for listener in listeners):
            return
        await asyncio.sleep(STOP_POLL_SECONDS)


def _log_uncaught(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that no task or callback has caught."""
    error = context.get("exception") or RuntimeError(context["message"])
    logs.exception(error, uncaught=context["message"])


def _own_member(settings: host_settings.HostSettings, incarnation: int) -> roster.Member:
    return roster.Member(
        host=settings.host,
        incarnation=incarnation,
        zone=settings.zone,
        region=settings.region,
        peer_address=settings.peer_address,
        caller_address=settings.caller_address or settings.peer_address,
        cores=settings.cores,
    )

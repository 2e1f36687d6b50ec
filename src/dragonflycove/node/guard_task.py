"""Task that limits requests to backend servers by shares, cold starts and quarantine."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.configuration import schema
from dragonflycove.node import dispatch_messages, guard_messages
from dragonflycove.quarantine import quarantine, verdicts
from dragonflycove.quarantine import records as quarantine_records
from dragonflycove.shares import cold_start, share_table
from dragonflycove.telemetry import logs
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.node import node_context

ORGANISATION_SHARE_UNITS = 10_000
"""Units into which an organisation's limit is divided; a node's share is its units over this."""

RATE_WINDOW_SECONDS = 10.0
"""Window of which the units of a rate limit are divided among the nodes.

The units of one second could be fewer than the nodes, and then some nodes would get none.
"""

PERMISSION_RETRY_SECONDS = 0.5
"""Delay before a permission request that has not been answered is sent again."""

REFRESH_INTERVAL_SECONDS = 0.25
"""Interval at which this node's limits are recomputed and deferred starts are checked."""


class GuardCallbacks(NamedTuple):
    """Functions that the guard task calls to act outside itself."""

    set_append_rate: Callable[[float], None]
    """Sets this node's share of the log's append rate, appends per second."""

    set_weight_rate: Callable[[float], None]
    """Sets this node's share of the weight store's rate, units per second."""

    broadcast_cold: Callable[[cold_start.ServerTurnedCold], None]
    """Notifies all peers that a server turned cold."""

    broadcast_record: Callable[[quarantine_records.Record], None]
    """Sends a quarantine record to all peers."""

    send_record: Callable[[tuple[str, ...], quarantine_records.Record], None]
    """Sends a quarantine record to the named hosts."""

    request_permission: Callable[[str, quarantine_records.LeaveAsked], None]
    """Requests permission from a host's node to run a suspect request."""

    answer_permission: Callable[[str, quarantine_records.LeaveAnswered], None]
    """Answers a permission request of a host's node."""

    append_record: Callable[[quarantine_records.Record], None]
    """Appends a quarantine record to the log as soon as the log accepts it."""


class _DeferredStart(NamedTuple):
    """A requested start that is checked again at `retry_at`, loop time in seconds."""

    start: guard_messages.StartRequested
    retry_at: float


class GuardTask:
    """Owns the share table, the cold-start tracker and the quarantine.

    A request's task asks it before each attempt whether the request may be sent to its server.
    """

    def __init__(self, context: node_context.NodeContext, callbacks: GuardCallbacks) -> None:
        """Create the task.

        Args:
            context: State shared by the node's tasks.
            callbacks: Functions through which it acts outside itself.
        """
        settings = context.settings
        self.mailbox = context.guard
        """Messages to this task."""
        self.shares = share_table.ShareTable(
            settings.host, settings.host_list_lag_seconds, settings.reclaim_seconds
        )
        """This node's shares."""
        self._context = context
        self._callbacks = callbacks
        self._cold_start = cold_start.ColdStartTracker({})
        self._quarantine = quarantine.Quarantine(self.shares, context.identity)
        self._start_id_by_server: dict[str, str] = {}
        self._receiver_by_request: dict[str, guard_messages.Receiver] = {}
        self._deferred_starts: list[_DeferredStart] = []
        self._limit_by_server: dict[str, int] = {}

    async def run(self) -> None:
        """Process messages, and refresh limits and deferred starts, until cancelled."""
        loop = asyncio.get_running_loop()
        refresh_at = loop.time()
        while True:
            message = await self.mailbox.receive(refresh_at - loop.time())
            if message is not None:
                self._handle(message, loop.time())
            if loop.time() >= refresh_at:
                self._refresh(loop.time())
                refresh_at = loop.time() + REFRESH_INTERVAL_SECONDS

    def find_refusal(self, fingerprint: str) -> guard_messages.StartRefused | None:
        """Return the refusal of a new request if its fingerprint is quarantined.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            The refusal, or `None` if the request may be admitted.
        """
        now = asyncio.get_running_loop().time()
        verdict = self._quarantine.verdict(fingerprint, now)
        if isinstance(verdict, verdicts.Refused):
            return guard_messages.StartRefused(verdict.retry_after_seconds)
        return None

    def known_records(self, host: str) -> list[quarantine_records.Record]:
        """Return the quarantine records to send to a node that has just started on a host."""
        return list(self._quarantine.known_records(host, asyncio.get_running_loop().time()))

    def cold_servers(self) -> tuple[str, ...]:
        """Return the identifiers of the model servers in cold start."""
        now = asyncio.get_running_loop().time()
        return tuple(
            server_id
            for server_id in self._limit_by_server
            if not self._cold_start.is_warm(server_id, now)
        )

    def _refresh(self, now: float) -> None:
        self._carry_out(self._quarantine.on_tick(now))
        limits = self._cold_start.node_limits(self.shares, now)
        self._apply_rate_shares(now)
        self._limit_by_server = limits
        # Sent at every refresh, because the dispatcher uses limits only for a short time.
        self._context.dispatch.post(dispatch_messages.ServerLimitsChanged(limits, now))
        due = [deferred for deferred in self._deferred_starts if deferred.retry_at <= now]
        self._deferred_starts = [
            deferred for deferred in self._deferred_starts if deferred.retry_at > now
        ]
        for deferred in due:
            if now < deferred.start.request.deadline:
                self._on_start_requested(deferred.start, now)

    def _apply_rate_shares(self, now: float) -> None:
        """Set this node's shares of the log's, the organisations' and the weight store's rates.

        The log refuses excess appends itself, so a host list of any age is used for it. Units are
        divided over a window, so that each node gets a share even if there are more nodes than
        units per second.
        """
        settings = self._context.settings
        appends = int(settings.log_appends_per_second * RATE_WINDOW_SECONDS)
        share = self.shares.units_from_last_list(share_table.Limit("log-appends", appends), now)
        self._callbacks.set_append_rate(share / RATE_WINDOW_SECONDS)
        limit = share_table.Limit("organisations", ORGANISATION_SHARE_UNITS)
        fraction = self.shares.units_from_last_list(limit, now) / ORGANISATION_SHARE_UNITS
        self._context.dispatch.post(dispatch_messages.OrganisationShareChanged(fraction))
        weights = int(settings.weight_units_per_second * RATE_WINDOW_SECONDS)
        share = self.shares.units(share_table.Limit("weight-store", weights), now)
        self._callbacks.set_weight_rate(share / RATE_WINDOW_SECONDS)

    @functools.singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _on_start_requested(self, message: guard_messages.StartRequested, now: float) -> None:
        request = message.request
        verdict = self._quarantine.verdict(
            request.fingerprint, now, request.request_id, self._candidates(message)
        )
        if isinstance(verdict, verdicts.Wait):
            self._deferred_starts.append(_DeferredStart(message, verdict.until))
        elif isinstance(verdict, verdicts.Refused):
            message.receiver.post(guard_messages.StartRefused(verdict.retry_after_seconds))
        elif isinstance(verdict, verdicts.AllowedOnPeers):
            self._request_permission(message, verdict.hosts[0], now)
        elif (
            isinstance(verdict, verdicts.AllowedAlone) and message.server_id not in verdict.servers
        ):
            message.receiver.post(guard_messages.StartRestricted(verdict.servers))
        else:
            self._grant(message, now)

    def _grant(self, message: guard_messages.StartRequested, now: float) -> None:
        request = message.request
        if not self._context.configuration.accepts_new_work(message.server_id):
            # The zone or the server was taken out of service after the dispatcher chose the server.
            message.receiver.post(guard_messages.StartRestricted(self._candidates(message)))
            return
        self._receiver_by_request[request.request_id] = message.receiver
        # Peers must be notified before the request is sent.
        self._carry_out(
            self._quarantine.on_start(
                request.fingerprint, message.server_id, request.request_id, now
            )
        )
        message.receiver.post(guard_messages.StartGranted())

    def _request_permission(
        self, message: guard_messages.StartRequested, host: str, now: float
    ) -> None:
        """Request permission from the node that may grant it, and retry until it answers."""
        request = message.request
        self._callbacks.request_permission(
            host,
            quarantine_records.LeaveAsked(
                request.fingerprint,
                request.request_id,
                message.server_id,
                str(self._context.identity),
            ),
        )
        self._deferred_starts.append(_DeferredStart(message, now + PERMISSION_RETRY_SECONDS))

    @_handle.register
    def _on_permission_requested(
        self, message: guard_messages.PeerPermissionRequested, now: float
    ) -> None:
        request = message.request
        granted = self._quarantine.grant_peer_permission(request, now)
        answer = quarantine_records.LeaveAnswered(
            request.fingerprint, request.request_id, request.server_id, granted
        )
        host = identifiers.NodeIdentity.parse(request.node).host
        self._callbacks.answer_permission(host, answer)

    @_handle.register
    def _on_permission_answered(
        self, message: guard_messages.PeerPermissionAnswered, now: float
    ) -> None:
        answer = message.answer
        starts = [d.start for d in self._deferred_starts if _is_answer_to(answer, d.start)]
        if starts and self._quarantine.is_permission_usable(answer, now):
            self._pop_deferred(answer.request_id)
            self._grant(starts[0], now)
            return
        if answer.granted:
            # The permission is no longer needed: ending the trial returns it to the granting node.
            node = str(self._context.identity)
            self._callbacks.broadcast_record(
                quarantine_records.Trial(answer.fingerprint, answer.server_id, node, False)
            )

    def _pop_deferred(self, request_id: str) -> list[guard_messages.StartRequested]:
        """Remove a request's deferred starts and return them."""
        removed = [
            d.start for d in self._deferred_starts if d.start.request.request_id == request_id
        ]
        self._deferred_starts = [
            d for d in self._deferred_starts if d.start.request.request_id != request_id
        ]
        return removed

    def _candidates(self, message: guard_messages.StartRequested) -> frozenset[str]:
        """Return the servers that accept new work, have capacity and can run the request."""
        if message.has_group:
            return frozenset({message.server_id})
        request = message.request
        configuration = self._context.subset
        return frozenset(
            server.server_id
            for server in configuration.servers_by_id.values()
            if request.model in server.models
            and configuration.accepts_new_work(server.server_id)
            and self._limit_by_server.get(server.server_id, 0) > 0
        )

    @_handle.register
    def _on_attempt_ended(self, message: guard_messages.AttemptEnded, now: float) -> None:
        self._receiver_by_request.pop(message.request_id, None)
        self._pop_deferred(message.request_id)
        self._carry_out(self._quarantine.on_end(message.request_id, message.completed, now))

    @_handle.register
    def _on_first_token_timed(self, message: guard_messages.FirstTokenTimed, now: float) -> None:
        turned_cold = self._cold_start.on_first_token(
            message.server_id, message.predicted_seconds, message.measured_seconds, now
        )
        self._report_cold(turned_cold)

    @_handle.register
    def _on_server_crashed(self, message: guard_messages.ServerCrashed, now: float) -> None:
        self._report_cold(self._cold_start.on_crash(message.server_id, now))
        start_id = self._start_id_by_server.get(message.server_id, "")
        self._carry_out(self._quarantine.on_crash(message.server_id, now, start_id))
        self._refresh(now)

    @_handle.register
    def _on_host_list_read(self, message: guard_messages.HostListRead, now: float) -> None:
        self.shares.on_host_list(message.names, message.age_seconds, now)

    @_handle.register
    def _on_load_report(self, message: guard_messages.LoadReportRead, now: float) -> None:
        report = message.report
        last_start_id = self._start_id_by_server.get(report.server_id, report.start_id)
        if last_start_id != report.start_id:
            logs.warning("server_restarted", server=report.server_id, start=report.start_id)
            self._carry_out(self._quarantine.on_crash(report.server_id, now, last_start_id))
        self._start_id_by_server[report.server_id] = report.start_id
        turned_cold = self._cold_start.on_report(
            report.server_id,
            report.start_id,
            report.finished_since_start,
            report.running,
            report.age_seconds,
            now,
        )
        self._report_cold(turned_cold)

    @_handle.register
    def _on_configuration_changed(
        self, message: guard_messages.ConfigurationChanged, now: float
    ) -> None:
        configuration = message.configuration
        engines = {
            server_id: server
            for server_id, server in configuration.servers_by_id.items()
            if configuration.services_by_name[server.service].kind is schema.ServiceKind.MODEL
        }
        self._cold_start.on_configuration(engines)
        self._refresh(now)

    @_handle.register
    def _on_peer_reported_cold(self, message: guard_messages.PeerReportedCold, now: float) -> None:
        self._cold_start.on_peer_cold(message.server_id, message.start_id, now)
        self._refresh(now)

    @_handle.register
    def _on_peer_lost(self, message: guard_messages.PeerLost, now: float) -> None:
        self._quarantine.on_peer_lost(message.node, now)

    @_handle.register
    def _on_peer_record(self, message: guard_messages.PeerRecord, now: float) -> None:
        self._carry_out(self._quarantine.on_peer_record(message.record, now))

    @_handle.register
    def _on_logged_record(self, message: guard_messages.LoggedRecord, now: float) -> None:
        self._carry_out(
            self._quarantine.on_log_record(message.record, message.offset, now, message.age_seconds)
        )

    def _report_cold(self, turned_cold: list[cold_start.ServerTurnedCold]) -> None:
        for effect in turned_cold:
            logs.event("server_cold", server=effect.server_id, start=effect.start_id)
            self._context.metrics.count("server_turned_cold")
            self._callbacks.broadcast_cold(effect)

    def _carry_out(self, effects: list[verdicts.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, verdicts.SendToPeers):
                self._callbacks.broadcast_record(effect.record)
            elif isinstance(effect, verdicts.SendToWitnesses):
                self._callbacks.send_record(effect.hosts, effect.record)
            elif isinstance(effect, verdicts.AppendLog):
                self._callbacks.append_record(effect.record)
            else:
                receiver = self._receiver_by_request.get(effect.request_id)
                if receiver is not None:
                    receiver.post(guard_messages.CancelRequired(effect.server_id))


def _is_answer_to(
    answer: quarantine_records.LeaveAnswered, start: guard_messages.StartRequested
) -> bool:
    """Return whether a peer's answer is about the request and server of a start."""
    same_request = answer.request_id == start.request.request_id
    return same_request and answer.server_id == start.server_id

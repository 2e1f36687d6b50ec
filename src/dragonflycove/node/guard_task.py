"""The task that owns what bounds work at the servers: shares, cold start and quarantine."""

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

    from dragonflycove.node import services

ORGANISATION_PARTS = 10_000
"""Parts into which each organisation's limit is divided among the nodes."""

RATE_WINDOW_SECONDS = 10.0
"""Time over which the units of a rate are divided, seconds."""

ASK_AGAIN_SECONDS = 0.5
"""Time after which a question for leave without an answer is asked again, seconds."""

REVIEW_SECONDS = 0.25
"""Time between two computations of this node's limits, seconds."""


class GuardCallbacks(NamedTuple):
    """Where the guard's effects go."""

    set_append_rate: Callable[[float], None]
    """Told this node's share of the log's append rate, appends a second."""

    set_weight_rate: Callable[[float], None]
    """Told this node's share of the weight store's rate, units a second."""

    broadcast_cold: Callable[[cold_start.ServerTurnedCold], None]
    """Tells all peers that a server turned cold."""

    broadcast_record: Callable[[quarantine_records.Record], None]
    """Sends a quarantine record to all peers."""

    send_record: Callable[[tuple[str, ...], quarantine_records.Record], None]
    """Sends a quarantine record to a few hosts."""

    request_permission: Callable[[str, quarantine_records.LeaveAsked], None]
    """Asks a host's node for leave to run a suspect."""

    answer_permission: Callable[[str, quarantine_records.LeaveAnswered], None]
    """Answers such a question."""

    append_record: Callable[[quarantine_records.Record], None]
    """Appends a quarantine record to the log."""


class _Waiting(NamedTuple):
    """A start that was put off."""

    asked: guard_messages.StartRequested
    until: float


class GuardTask:
    """Owns the share table, the cold-start tracker and the quarantine."""

    def __init__(self, context: services.NodeServices, links: GuardCallbacks) -> None:
        """Create the task.

        Args:
            context: What all tasks of the node share.
            links: Where its effects go.
        """
        settings = context.settings
        self.mailbox = context.guard
        """Messages to this task."""
        self.shares = share_table.ShareTable(
            settings.host, settings.host_list_lag_seconds, settings.reclaim_seconds
        )
        """This node's shares."""
        self._context = context
        self._links = links
        self._cold = cold_start.ColdStartTracker({})
        self._quarantine = quarantine.Quarantine(self.shares, context.identity)
        self._start_by_server: dict[str, str] = {}
        self._receivers_by_request: dict[str, guard_messages.Receiver] = {}
        self._waiting: list[_Waiting] = []
        self._last_limits: dict[str, int] = {}

    async def run(self) -> None:
        """Take messages, and review limits and waiting starts, until cancelled."""
        loop = asyncio.get_running_loop()
        review_at = loop.time()
        while True:
            message = await self.mailbox.receive(review_at - loop.time())
            if message is not None:
                self._handle(message, loop.time())
            if loop.time() >= review_at:
                self._review(loop.time())
                review_at = loop.time() + REVIEW_SECONDS

    def find_refusal(self, fingerprint: str) -> guard_messages.StartRefused | None:
        """Tell at once whether a new request is refused.

        Args:
            fingerprint: Its fingerprint.

        Returns:
            The refusal, or `None`.
        """
        now = asyncio.get_running_loop().time()
        verdict = self._quarantine.verdict(fingerprint, now)
        if isinstance(verdict, verdicts.Refused):
            return guard_messages.StartRefused(verdict.retry_after_seconds)
        return None

    def known_records(self, host: str) -> list[quarantine_records.Record]:
        """Return the records that the node which just started on a host needs to know."""
        return list(self._quarantine.known_records(host, asyncio.get_running_loop().time()))

    def cold_servers(self) -> tuple[str, ...]:
        """Return the identifiers of the model servers that are cold."""
        now = asyncio.get_running_loop().time()
        return tuple(
            server_id for server_id in self._last_limits if not self._cold.is_warm(server_id, now)
        )

    def _review(self, now: float) -> None:
        self._carry_out(self._quarantine.on_tick(now))
        limits = self._cold.node_limits(self.shares, now)
        self._share_rates(now)
        self._last_limits = limits
        # Told at every review: limits that are not renewed count for a short time only.
        self._context.dispatch.post(dispatch_messages.Limited(limits, now))
        due = [waiting for waiting in self._waiting if waiting.until <= now]
        self._waiting = [waiting for waiting in self._waiting if waiting.until > now]
        for waiting in due:
            if now < waiting.asked.request.deadline:
                self._on_start_asked(waiting.asked, now)

    def _share_rates(self, now: float) -> None:
        """Set this node's parts of the log's and the weight store's rates.

        The log refuses what is too much, so an old host list is good enough for it. Units are
        counted over a window, so that more nodes than units a second get a part each.
        """
        settings = self._context.settings
        appends = int(settings.log_appends_per_second * RATE_WINDOW_SECONDS)
        share = self.shares.units_from_last_list(share_table.Limit("log-appends", appends), now)
        self._links.set_append_rate(share / RATE_WINDOW_SECONDS)
        parts = share_table.Limit("organisations", ORGANISATION_PARTS)
        part = self.shares.units_from_last_list(parts, now) / ORGANISATION_PARTS
        self._context.dispatch.post(dispatch_messages.OrganisationsShared(part))
        weights = int(settings.weight_units_per_second * RATE_WINDOW_SECONDS)
        share = self.shares.units(share_table.Limit("weight-store", weights), now)
        self._links.set_weight_rate(share / RATE_WINDOW_SECONDS)

    @functools.singledispatchmethod
    def _handle(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _on_start_asked(self, message: guard_messages.StartRequested, now: float) -> None:
        request = message.request
        verdict = self._quarantine.verdict(
            request.fingerprint, now, request.request_id, self._candidates(message)
        )
        if isinstance(verdict, verdicts.Wait):
            self._waiting.append(_Waiting(message, verdict.until))
        elif isinstance(verdict, verdicts.Refused):
            message.receiver.post(guard_messages.StartRefused(verdict.retry_after_seconds))
        elif isinstance(verdict, verdicts.Elsewhere):
            self._ask_leave(message, verdict.hosts[0], now)
        elif isinstance(verdict, verdicts.Alone) and message.server_id not in verdict.servers:
            message.receiver.post(guard_messages.StartElsewhere(verdict.servers))
        else:
            self._grant(message, now)

    def _grant(self, message: guard_messages.StartRequested, now: float) -> None:
        request = message.request
        if not self._context.configuration.accepts_new_work(message.server_id):
            # The zone or the server was taken out since the dispatcher chose it.
            message.receiver.post(guard_messages.StartElsewhere(self._candidates(message)))
            return
        self._receivers_by_request[request.request_id] = message.receiver
        # Peers are told before the request is sent.
        self._carry_out(
            self._quarantine.on_start(
                request.fingerprint, message.server_id, request.request_id, now
            )
        )
        message.receiver.post(guard_messages.StartGranted())

    def _ask_leave(self, message: guard_messages.StartRequested, host: str, now: float) -> None:
        """Ask the node that may try the suspect for leave, and again unless an answer comes."""
        request = message.request
        self._links.request_permission(
            host,
            quarantine_records.LeaveAsked(
                request.fingerprint,
                request.request_id,
                message.server_id,
                str(self._context.identity),
            ),
        )
        self._waiting.append(_Waiting(message, now + ASK_AGAIN_SECONDS))

    @_handle.register
    def _on_peer_asks_leave(
        self, message: guard_messages.PeerPermissionRequested, now: float
    ) -> None:
        asked = message.asked
        granted = self._quarantine.grant_peer(asked, now)
        answered = quarantine_records.LeaveAnswered(
            asked.fingerprint, asked.request_id, asked.server_id, granted
        )
        host = identifiers.NodeIdentity.parse(asked.node).host
        self._links.answer_permission(host, answered)

    @_handle.register
    def _on_peer_answers_leave(
        self, message: guard_messages.PeerPermissionAnswered, now: float
    ) -> None:
        answered = message.answered
        wanted = [w.asked for w in self._waiting if _answers(answered, w.asked)]
        if wanted and self._quarantine.may_use_leave(answered, now):
            self._take_waiting(answered.request_id)
            self._grant(wanted[0], now)
            return
        if answered.granted:
            # The leave is of no use any more, so the holder gets it back.
            me = str(self._context.identity)
            self._links.broadcast_record(
                quarantine_records.Trial(answered.fingerprint, answered.server_id, me, False)
            )

    def _take_waiting(self, request_id: str) -> list[guard_messages.StartRequested]:
        """Take a request's starts out of those that were put off."""
        taken = [w.asked for w in self._waiting if w.asked.request.request_id == request_id]
        self._waiting = [w for w in self._waiting if w.asked.request.request_id != request_id]
        return taken

    def _candidates(self, message: guard_messages.StartRequested) -> frozenset[str]:
        """Return the servers on which the request could start."""
        if message.has_group:
            return frozenset({message.server_id})
        request = message.request
        configuration = self._context.subset
        return frozenset(
            server.server_id
            for server in configuration.servers_by_id.values()
            if request.model in server.models
            and configuration.accepts_new_work(server.server_id)
            and self._last_limits.get(server.server_id, 0) > 0
        )

    @_handle.register
    def _on_attempt_ended(self, message: guard_messages.AttemptEnded, now: float) -> None:
        self._receivers_by_request.pop(message.request_id, None)
        self._take_waiting(message.request_id)
        self._carry_out(self._quarantine.on_end(message.request_id, message.whole, now))

    @_handle.register
    def _on_first_token_timed(self, message: guard_messages.FirstTokenTimed, now: float) -> None:
        told = self._cold.on_first_token(
            message.server_id, message.predicted_seconds, message.measured_seconds, now
        )
        self._tell_cold(told)

    @_handle.register
    def _on_server_crashed(self, message: guard_messages.ServerCrashed, now: float) -> None:
        self._tell_cold(self._cold.on_crash(message.server_id, now))
        start_id = self._start_by_server.get(message.server_id, "")
        self._carry_out(self._quarantine.on_crash(message.server_id, now, start_id))
        self._review(now)

    @_handle.register
    def _on_hosts_read(self, message: guard_messages.HostListRead, now: float) -> None:
        self.shares.on_host_list(message.names, message.age_seconds, now)

    @_handle.register
    def _on_report_read(self, message: guard_messages.LoadReportRead, now: float) -> None:
        report = message.report
        before = self._start_by_server.get(report.server_id, report.start_id)
        if before != report.start_id:
            logs.warning("server_restarted", server=report.server_id, start=report.start_id)
            self._carry_out(self._quarantine.on_crash(report.server_id, now, before))
        self._start_by_server[report.server_id] = report.start_id
        told = self._cold.on_report(
            report.server_id,
            report.start_id,
            report.finished_since_start,
            report.running,
            report.age_seconds,
            now,
        )
        self._tell_cold(told)

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
        self._cold.on_configuration(engines)
        self._review(now)

    @_handle.register
    def _on_peer_saw_cold(self, message: guard_messages.PeerReportedCold, now: float) -> None:
        self._cold.on_peer_cold(message.server_id, message.start_id, now)
        self._review(now)

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

    def _tell_cold(self, told: list[cold_start.ServerTurnedCold]) -> None:
        for effect in told:
            logs.event("server_cold", server=effect.server_id, start=effect.start_id)
            self._context.metrics.count("server_turned_cold")
            self._links.broadcast_cold(effect)

    def _carry_out(self, effects: list[verdicts.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, verdicts.TellPeers):
                self._links.broadcast_record(effect.record)
            elif isinstance(effect, verdicts.TellWitnesses):
                self._links.send_record(effect.hosts, effect.record)
            elif isinstance(effect, verdicts.AppendLog):
                self._links.append_record(effect.record)
            else:
                receiver = self._receivers_by_request.get(effect.request_id)
                if receiver is not None:
                    receiver.post(guard_messages.Suspended(effect.server_id))


def _answers(
    answered: quarantine_records.LeaveAnswered, asked: guard_messages.StartRequested
) -> bool:
    """Tell whether an answer is for a start."""
    same_request = answered.request_id == asked.request.request_id
    return same_request and answered.server_id == asked.server_id

"""Model of a node in virtual time: the real dispatcher with function calls in place of sockets."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

from dragonflycove.admission import dispatcher, effects
from dragonflycove.measure import engine_model
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.configuration import schema
    from dragonflycove.measure import simulation, workload
    from dragonflycove.routing import load_view, policies
    from dragonflycove.values import requests

SAME_ZONE_LATENCY_SECONDS = 0.0002
"""One-way network latency within a zone."""

GROUP_RETRY_INTERVAL_SECONDS = 0.5
"""Interval between attempts to find free memory for a memory group."""


class NodeModel:
    """A node that applies its dispatcher's effects to the engine models."""

    def __init__(
        self,
        host: str,
        zone: str,
        run: simulation.Simulation,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        """Create a node.

        Args:
            host: Name of the node.
            zone: Its availability zone.
            run: The simulation that the node belongs to.
            policy: The routing policy.
            seed: Seed of the run; the node's generator also depends on its name.
        """
        self.host = host
        self.zone = zone
        self.dispatcher = dispatcher.Dispatcher.from_config(
            run.configuration, zone, policy, random.Random(f"{seed}/{host}"), host
        )
        self._simulation = run
        self._timeline = run.timeline
        self._attempts = 0
        self._attempt_by_request: dict[str, tuple[str, tuple[str, ...]]] = {}
        self._tick_at = float("inf")
        self._finished_by_server: dict[str, int] = {}

    def submit(self, arrival: workload.Arrival) -> None:
        """Submit a caller's request to the dispatcher.

        Args:
            arrival: The request that arrives now.
        """
        self.perform_all(self.dispatcher.submit(arrival.request, self._timeline.now))

    def on_report(self, report: load_view.LoadReport) -> None:
        """Pass an engine's load report to the dispatcher.

        Args:
            report: The report that arrives now.
        """
        self._finished_by_server[report.server_id] = report.finished_since_start
        self.perform_all(self.dispatcher.on_report(report, self._timeline.now))

    def is_cold(self, server: schema.Server) -> bool:
        """Return whether an engine was cold by its last report.

        Args:
            server: Configuration of the engine.

        Returns:
            True if it was cold or has not reported yet.
        """
        return self._finished_by_server.get(server.server_id, 0) < server.warm_after_requests

    def perform_all(self, requested: list[effects.Effect]) -> None:
        """Perform the dispatcher's effects and schedule its next tick.

        Args:
            requested: Effects in the order in which the dispatcher returned them.
        """
        for effect in requested:
            self._perform(effect)
        tick_at = self.dispatcher.next_tick(self._timeline.now)
        if tick_at < self._tick_at:
            self._tick_at = tick_at
            self._timeline.after(tick_at - self._timeline.now, self._tick, tick_at)

    def _tick(self, planned_at: float) -> None:
        if planned_at == self._tick_at:
            self._tick_at = float("inf")
            self.perform_all(self.dispatcher.tick(self._timeline.now))

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_dispatch(self, effect: effects.Dispatch) -> None:
        self._attempts += 1
        attempt = f"{self.host}-{self._attempts}"
        servers = effect.group or (effect.server_id,)
        request_id = effect.request.request_id
        self._attempt_by_request[request_id] = (attempt, servers)
        streams = _AttemptStreams(self, request_id, attempt, effect.server_id, len(servers))
        output_tokens = self._simulation.arrivals_by_id[request_id].output_tokens
        for server_id in servers:
            stream = engine_model.Stream(
                attempt,
                effect.engine_priority,
                -(-effect.request.prompt_tokens // len(servers)),
                -(-(effect.request.prompt_tokens + effect.request.max_tokens) // len(servers)),
                output_tokens,
                effect.request.prefix_hashes,
                streams.on_first_token,
                streams.on_end,
            )
            engine = self._simulation.engines_by_id[server_id]
            self._simulation.dispatches.append((self._timeline.now, server_id))
            self._timeline.after(self._latency(server_id), engine.submit, stream)

    @_perform.register
    def _perform_refuse(self, effect: effects.Refuse) -> None:
        self._simulation.on_end(effect.request_id, effect.outcome.reason, False)

    @_perform.register
    def _perform_fail(self, effect: effects.Fail) -> None:
        self._cancel(effect.request_id)
        self._simulation.on_end(effect.request_id, effect.outcome.reason, True)

    @_perform.register
    def _perform_preempt(self, effect: effects.Preempt) -> None:
        self._cancel(effect.request_id)
        delay = 2 * self._latency(effect.server_id)
        request = self._simulation.arrivals_by_id[effect.request_id].request
        reason = outcomes.Reason.PREEMPTED
        self._timeline.after(delay, self._resubmit, request, frozenset(), reason)

    @_perform.register
    def _perform_needs_group(self, effect: effects.NeedsGroup) -> None:
        request_id = effect.request.request_id
        group = self._simulation.find_group(effect.request, effect.candidates)
        if group:
            granted = self.dispatcher.on_group_ready(request_id, group, self._timeline.now)
            self.perform_all(granted)
        elif request_id not in self._simulation.records_by_id:
            self._timeline.after(GROUP_RETRY_INTERVAL_SECONDS, self._perform_needs_group, effect)

    def _resubmit(
        self,
        request: requests.ModelRequest,
        excluded: frozenset[str],
        reason: outcomes.Reason,
    ) -> None:
        now = self._timeline.now
        self.perform_all(self.dispatcher.resubmit(request, now, excluded, reason))

    def _cancel(self, request_id: str) -> None:
        attempt, servers = self._attempt_by_request.pop(request_id, ("", ()))
        for server_id in servers:
            engine = self._simulation.engines_by_id[server_id]
            self._timeline.after(self._latency(server_id), engine.cancel, attempt)

    def _latency(self, server_id: str) -> float:
        zone = self._simulation.configuration.servers_by_id[server_id].zone
        return (
            self._simulation.size.zone_latency_seconds
            if zone != self.zone
            else SAME_ZONE_LATENCY_SECONDS
        )

    def on_first_token(self, request_id: str, attempt: str) -> None:
        """Handle the end of an attempt's prefill; ignored for attempts that were replaced.

        Args:
            request_id: Id of the request.
            attempt: Id of the attempt.
        """
        if self._attempt_by_request.get(request_id, ("",))[0] == attempt:
            self._simulation.on_first_token(request_id)
            self.perform_all(self.dispatcher.on_first_token(request_id, self._timeline.now))

    def on_end(self, request_id: str, attempt: str, server_id: str, is_complete: bool) -> None:
        """Handle the end of an attempt; ignored for attempts that were replaced.

        An attempt that its engine interrupted is resubmitted without that engine.

        Args:
            request_id: Id of the request.
            attempt: Id of the attempt.
            server_id: Id of the attempt's first engine.
            is_complete: Whether all output was generated; False if the engine restarted.
        """
        if self._attempt_by_request.get(request_id, ("",))[0] != attempt:
            return
        now = self._timeline.now
        arrival = self._simulation.arrivals_by_id[request_id]
        if is_complete:
            del self._attempt_by_request[request_id]
            self.dispatcher.on_tokens(request_id, arrival.output_tokens, now)
            self._simulation.on_end(request_id, None, True)
            self.perform_all(self.dispatcher.on_finished(request_id, now))
            return
        self._cancel(request_id)
        reason = outcomes.Reason.BACKEND_CRASHED
        self.perform_all(self.dispatcher.on_attempt_failed(request_id, server_id, reason, now))
        self._resubmit(arrival.request, frozenset({server_id}), reason)

    def call_after_latency(
        self, server_id: str, call: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule a call after the network latency between an engine and this node.

        Args:
            server_id: Id of the engine.
            call: Function to call.
            arguments: Arguments of the function.
        """
        self._timeline.after(self._latency(server_id), call, *arguments)


class _AttemptStreams:
    """The streams of one attempt at the engines of its group.

    The attempt has its first token when all engines have finished their part of the prefill.
    """

    def __init__(
        self, node: NodeModel, request_id: str, attempt: str, server_id: str, count: int
    ) -> None:
        self._node = node
        self._request_id = request_id
        self._attempt = attempt
        self._server_id = server_id
        self._unprefilled = count
        self._unfinished = count

    def on_first_token(self) -> None:
        """Handle the end of one stream's prefill."""
        self._unprefilled -= 1
        if self._unprefilled == 0:
            call = self._node.on_first_token
            self._node.call_after_latency(self._server_id, call, self._request_id, self._attempt)

    def on_end(self, is_complete: bool) -> None:
        """Report the attempt's end when its last stream ends, or at any stream that is incomplete."""
        self._unfinished -= 1
        if self._unfinished == 0 or not is_complete:
            arguments = (self._request_id, self._attempt, self._server_id, is_complete)
            self._node.call_after_latency(self._server_id, self._node.on_end, *arguments)

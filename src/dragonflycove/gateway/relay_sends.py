"""Relays requests to nodes that reach the servers, while this node reaches none."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import catalog, forwarding, peer_reach, relaying, roster, server_health
from dragonflycove.gateway import exchanges, relay_codec, response_bodies, send_values
from dragonflycove.platform import requests
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from dragonflycove.gateway import (
        caller_responses,
        connection_pool,
        reach_watch,
        relay_reports,
        request_context,
    )
    from dragonflycove.telemetry import fleet_metrics
    from dragonflycove.transport import http1

MAX_TRIED_PEERS = 4
"""Nodes to which one request is offered at most."""

CONNECT_SECONDS = 0.2
"""Timeout of a connection to another node; running ones accept within a few milliseconds."""

UNRESPONSIVE_SECONDS = 1.0
"""Time for which a node is not chosen after it accepted no connection."""

SILENT_SECONDS = 2.0
"""Time for which a node is chosen only if there is no other, after it did not respond in time."""

REFUSED_SECONDS = 0.5
"""Time for which a node is not chosen for a service after it refused a request for itself."""

UNREACHED_RETRY_AFTER_SECONDS = 1.0
"""Retry-after of a request that no node can serve; links are mostly back after seconds."""

RESPONSE_MARGIN_SECONDS = 0.5
"""Time that the serving node has, beyond its own timeouts, to move a request itself."""

RUNNING_PEER_SECONDS = 0.6
"""Further time that the serving node has while it runs."""

PEER_CHECK_SECONDS = 0.25
"""Interval at which a node that is silent while it serves a request is checked for being lost."""


class RelaySender:
    """Offers requests to other nodes until one serves them."""

    def __init__(
        self,
        nodes: roster.Roster,
        reach: reach_watch.ReachWatch,
        pool: connection_pool.ConnectionPool,
        metrics: fleet_metrics.FleetMetrics,
        rng: random.Random,
    ) -> None:
        """Create a sender without requests.

        Args:
            nodes: This node and the others.
            reach: Which services nodes reach.
            pool: Connections to other nodes.
            metrics: Records response times and gaps.
            rng: Chooses among nodes.
        """
        self._nodes = nodes
        self._reach = reach
        self._pool = pool
        self._metrics = metrics
        self._rng = rng
        self._bodies = response_bodies.ResponseBodies()
        self._relayed_count_by_host: collections.Counter[str] = collections.Counter()
        self._silent_until_by_node: dict[peer_reach.NodeKey, float] = {}
        self._reporting_nodes: set[peer_reach.NodeKey] = set()
        self.relayed = 0
        """Requests that were sent to other nodes so far."""

    async def send(
        self,
        context: request_context.RequestContext,
        relayed: relaying.RelayedRequest,
        response: caller_responses.CallerResponse,
        progress: send_values.StreamProgress,
        report: relay_reports.AttemptReport,
        wait_for_move: Callable[[], Coroutine[None, None, None]],
    ) -> send_values.AttemptResult:
        """Offer a request to other nodes in turn, until one serves it or has a final response.

        Args:
            context: The request.
            relayed: What the serving node needs to know beside the request.
            response: The response to the caller.
            progress: Position in the caller's stream over all attempts.
            report: Takes what the last of these nodes reports of its attempts.
            wait_for_move: Returns once the request may leave a silent node for another one.

        Returns:
            How the attempt ended; `refusal` holds the final response if no server responded.
        """
        loop = asyncio.get_running_loop()
        tried: set[str] = set()
        while len(tried) < MAX_TRIED_PEERS and loop.time() < context.deadline_at:
            peer = self._choose(context.service, tried)
            if peer is None:
                break
            tried.add(peer.host)
            outcome = await self._offer(
                peer, context, relayed, response, progress, report, wait_for_move
            )
            report.is_complete = (
                outcome.refusal is not None or outcome.end is forwarding.AttemptEnd.ERROR_STATUS
            )
            logs.event(
                "relayed",
                request=context.request.attempt_id,
                node=peer.host,
                end=outcome.end.value,
                refusal=outcome.refusal.reason if outcome.refusal else "",
                failure=outcome.failure,
                events=progress.relayed_events,
            )
            if not self._may_offer_again(peer, context.service, outcome):
                return _without_own_refusal(outcome)
        refusal = forwarding.FinalResponse(
            503, relaying.SERVERS_UNREACHED, UNREACHED_RETRY_AFTER_SECONDS
        )
        return send_values.AttemptResult(
            forwarding.AttemptEnd.NOT_SENT, server_health.Outcome.ABANDONED, refusal=refusal
        )

    def _choose(self, service: str, tried: set[str]) -> roster.Member | None:
        """Choose the next node among those that are ready and reach a service."""
        now = asyncio.get_running_loop().time()
        own = self._nodes.own
        candidates: list[relaying.Candidate] = []
        silent: list[relaying.Candidate] = []
        cut_count_by_zone = collections.Counter({own.zone: 1})
        for status in self._nodes.alive(now):
            member = status.member
            key = peer_reach.NodeKey(member.host, member.incarnation)
            if not self._reach.peers.reaches(key, service, now):
                cut_count_by_zone[member.zone] += 1
            elif status.is_ready and not status.is_leaving and member.host not in tried:
                count = self._relayed_count_by_host[member.host]
                is_silent = now < self._silent_until_by_node.get(key, now)
                (silent if is_silent else candidates).append(relaying.Candidate(member, count))
        return relaying.choose_peer(candidates or silent, own.zone, cut_count_by_zone, self._rng)

    async def _offer(
        self,
        peer: roster.Member,
        context: request_context.RequestContext,
        relayed: relaying.RelayedRequest,
        response: caller_responses.CallerResponse,
        progress: send_values.StreamProgress,
        report: relay_reports.AttemptReport,
        wait_for_move: Callable[[], Coroutine[None, None, None]],
    ) -> send_values.AttemptResult:
        """Send a request to one node, and relay its response."""
        loop = asyncio.get_running_loop()
        address = roster.relay_address(peer.peer_address)
        seconds = max(0.01, min(CONNECT_SECONDS, context.deadline_at - loop.time()))
        self._relayed_count_by_host[peer.host] += 1
        try:
            taken = await self._pool.take(
                address, fresh=not context.route.is_retryable, connect_seconds=seconds
            )
            if isinstance(taken, result.Err):
                return send_values.AttemptResult(
                    forwarding.AttemptEnd.NOT_SENT,
                    server_health.Outcome.UNREACHABLE,
                    failure=taken.err_value,
                )
            connection = taken.ok_value
            key = peer_reach.NodeKey(peer.host, peer.incarnation)
            report.begin(is_expected=key in self._reporting_nodes)
            connection.on_informational = lambda head: self._on_informational(key, report, head)
            exchange = _RelayExchange(
                context,
                send_values.ExchangeCallbacks(
                    _ignore,
                    _ignore_head,
                    _ignore_head,
                    _ignore,
                    lambda: self._wait_for_move(peer, address, wait_for_move),
                ),
                response,
                progress,
                connection,
                address,
                self._pool,
                self._metrics,
                self._bodies,
            )
            try:
                self.relayed += 1
                return await exchange.run(
                    requests.encode_for_node(
                        context.request,
                        context.deadline_at - loop.time(),
                        progress.position.last_id,
                        relay_codec.encode(relayed),
                    )
                )
            finally:
                connection.on_informational = None
                if not exchange.is_pooled:
                    connection.close()
        finally:
            self._relayed_count_by_host[peer.host] -= 1
            self._relayed_count_by_host += collections.Counter()

    def _on_informational(
        self, key: peer_reach.NodeKey, report: relay_reports.AttemptReport, head: http1.Head
    ) -> None:
        """Take over a report of attempts, and remember that the node sends them."""
        if not report.receive(head) or key in self._reporting_nodes:
            return
        now = asyncio.get_running_loop().time()
        members = (one.member for one in self._nodes.alive(now))
        running = {peer_reach.NodeKey(one.host, one.incarnation) for one in members}
        self._reporting_nodes = (self._reporting_nodes & running) | {key}

    async def _wait_for_move(
        self,
        peer: roster.Member,
        address: catalog.Address,
        wait_for_move: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Return once a request may leave a silent node.

        A node that runs moves the request itself if its server is silent, and knows of places. So it
        has more time than one that is lost.
        """
        loop = asyncio.get_running_loop()
        leaves_at = loop.time() + RUNNING_PEER_SECONDS
        while (seconds_left := leaves_at - loop.time()) > 0:
            if not self._is_alive(peer) or not await self._pool.is_reachable(address):
                break
            await asyncio.sleep(min(PEER_CHECK_SECONDS, seconds_left))
        await wait_for_move()

    def _is_alive(self, peer: roster.Member) -> bool:
        now = asyncio.get_running_loop().time()
        return any(
            (one.member.host, one.member.incarnation) == (peer.host, peer.incarnation)
            for one in self._nodes.alive(now)
        )

    def _may_offer_again(
        self, peer: roster.Member, service: str, outcome: send_values.AttemptResult
    ) -> bool:
        """Whether another node may serve the request; the one that could not is left out then."""
        now = asyncio.get_running_loop().time()
        key = peer_reach.NodeKey(peer.host, peer.incarnation)
        if outcome.end is forwarding.AttemptEnd.TIMEOUT:
            self._silent_until_by_node = {
                one: until for one, until in self._silent_until_by_node.items() if until > now
            }
            self._silent_until_by_node[key] = now + SILENT_SECONDS
            return False
        if outcome.end is forwarding.AttemptEnd.NOT_SENT:
            self._reach.peers.exclude(key, service, now + UNRESPONSIVE_SECONDS)
            return True
        reason = outcome.refusal.reason if outcome.refusal else ""
        if reason not in relaying.RETRIED_ELSEWHERE:
            return False
        self._reach.peers.exclude(key, service, now + REFUSED_SECONDS)
        return outcome.end is forwarding.AttemptEnd.NOT_EXECUTED


class _RelayExchange(exchanges.Exchange):
    """A request and its response on a connection to another node."""

    def _first_event_timeout(self) -> float:
        route = self._context.route
        if route.kind is catalog.CallKind.STREAMING and route.is_resumable:
            return forwarding.PLACEMENT_TIMEOUT_SHARE * forwarding.route_caller_timeout_seconds(
                route
            )
        seconds = forwarding.retry_timeout_seconds(route)
        return float("inf") if seconds is None else 2 * seconds + RESPONSE_MARGIN_SECONDS

    def _gap_timeout(self) -> float:
        return super()._gap_timeout() + RESPONSE_MARGIN_SECONDS

    async def _handle_head(self, head: forwarding.ResponseHead) -> send_values.AttemptResult:
        reason = relay_codec.refusal_reason(head)
        if reason is None:
            return await super()._handle_head(head)
        await self._discard_body(head)
        # What a node can't read concerns the two nodes, not the caller.
        status = 503 if reason == relaying.NOT_RELAYED else head.status
        # Only 503 states that the request did not run and never will.
        end = forwarding.AttemptEnd.NOT_EXECUTED if status == 503 else forwarding.AttemptEnd.BROKEN
        refusal = forwarding.FinalResponse(status, reason, head.retry_after_seconds)
        return send_values.AttemptResult(end, server_health.Outcome.ABANDONED, refusal=refusal)


def _without_own_refusal(outcome: send_values.AttemptResult) -> send_values.AttemptResult:
    """Return an outcome without a refusal that concerns the serving node alone.

    The request may have run there, but a request that can be repeated may go on elsewhere.
    """
    if outcome.refusal is None or outcome.refusal.reason not in relaying.RETRIED_ELSEWHERE:
        return outcome
    return outcome._replace(refusal=None)


def _ignore() -> None:
    """Ignore that a request was sent or an event arrived; the serving node records it."""


def _ignore_head(_: forwarding.ResponseHead) -> None:
    """Ignore what a head states of its server; the serving node records it."""

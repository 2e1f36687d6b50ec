"""Simulates several nodes with their real dispatchers against engine models in virtual time."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.measure import clock, engine_model, node_model, workload
from dragonflycove.routing import groups
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from dragonflycove.routing import load_digests, load_view, policies
    from dragonflycove.values import outcomes, requests

REPORT_INTERVAL_SECONDS = 0.25
"""Interval at which a node polls an engine's load."""

REPORT_LAG_SECONDS = 0.3
"""Age of a load report when it reaches the node."""

DIGEST_INTERVAL_SECONDS = 0.2
"""Interval at which a node sends load digests to its peers."""

LIMIT_INTERVAL_SECONDS = 1.0
"""Interval at which a node recomputes its share of the engines' limits."""

END_CHECK_INTERVAL_SECONDS = 5.0
"""Interval at which a run checks whether all requests have ended."""

MAX_MEMBER_TOKENS = groups.MEMBER_MEMORY_SHARE * workload.MEMORY_TOKENS
"""Maximum tokens of one request that one member of a memory group holds."""

SAMPLE_INTERVAL_SECONDS = 0.25
"""Interval at which idle engines are counted."""


class RequestRecord(NamedTuple):
    """Outcome of one request."""

    arrival: workload.Arrival
    """The request with its arrival time."""
    first_token_seconds: float | None
    """Time from arrival to first token; None without a first token."""
    ended_at: float
    """Virtual time of its end, seconds."""
    reason: outcomes.Reason | None
    """Why it was refused or failed; None if it was answered."""
    was_admitted: bool
    """False if it was refused on arrival."""


def divide_limit(limit: int, server_id: str, hosts: list[str]) -> dict[str, int]:
    """Divide an engine's limit among the nodes, by rendezvous hashing.

    Args:
        limit: Maximum number of requests in flight from all nodes together.
        server_id: Id of the engine.
        hosts: Names of the nodes.

    Returns:
        Integer shares by node name; they add up to the limit.
    """
    ranked = identifiers.rendezvous_rank(server_id, hosts)
    base, rest = divmod(limit, len(hosts))
    return {host: base + (rank < rest) for rank, host in enumerate(ranked)}


class Simulation:
    """One run: the nodes, the engines and the requests with their outcomes."""

    def __init__(
        self,
        size: workload.Size,
        policy: policies.Policy,
        arrivals: list[workload.Arrival],
        seed: int,
        applies_cold_limits: bool = True,
    ) -> None:
        """Create a run and schedule its arrivals, reports and digests.

        Args:
            size: The fleet.
            policy: The routing policy of every node.
            arrivals: The requests.
            seed: Seed of the run's random generators.
            applies_cold_limits: Whether nodes use an engine's lower cold limit while it is cold.
        """
        self.size = size
        """The simulated fleet."""
        self.configuration = workload.make_configuration(size)
        """The configuration in force."""
        self.timeline = clock.Timeline()
        """Virtual time of the run."""
        self.arrivals_by_id = {a.request.request_id: a for a in arrivals}
        self.records_by_id: dict[str, RequestRecord] = {}
        """Outcomes of the requests that have ended."""
        self.dispatches: list[tuple[float, str]] = []
        """Time and engine id of every dispatch."""
        self._last_arrival_at = max((a.at for a in arrivals), default=0.0)
        self.idle_samples = 0
        """Number of engine samples in which an engine that accepts work was idle."""
        self.idle_with_work_samples = 0
        """Number of engine samples with an idle warm engine with a free slot while requests were queued."""
        self.samples = 0
        """Number of engine samples: one for each engine and sampling time."""
        self.engines_by_id = {
            server_id: engine_model.Engine(server, self.timeline)
            for server_id, server in self.configuration.servers_by_id.items()
        }
        self._applies_cold_limits = applies_cold_limits
        self._first_token_by_id: dict[str, float] = {}
        hosts = [f"node-{i}" for i in range(size.nodes)]
        self.nodes = [
            node_model.NodeModel(host, size.zones[i % len(size.zones)], self, policy, seed)
            for i, host in enumerate(hosts)
        ]
        self._schedule(random.Random(f"{seed}/simulation"))

    def _schedule(self, rng: random.Random) -> None:
        for arrival in self.arrivals_by_id.values():
            self.timeline.after(arrival.at, rng.choice(self.nodes).submit, arrival)
        for node in self.nodes:
            self.timeline.after(0.0, self._set_limits, node)
            self.timeline.after(rng.random() * DIGEST_INTERVAL_SECONDS, self._send_digest, node)
            for engine in self.engines_by_id.values():
                delay = rng.random() * REPORT_INTERVAL_SECONDS
                self.timeline.after(delay, self._send_report, engine, node)
        self.timeline.after(0.0, self._sample)

    def run(self, seconds: float) -> None:
        """Advance virtual time until all requests have ended or the time limit is reached.

        Args:
            seconds: Virtual time limit.
        """
        while self.timeline.now < seconds:
            self.timeline.run(min(seconds, self.timeline.now + END_CHECK_INTERVAL_SECONDS))
            is_past = self.timeline.now > self._last_arrival_at + END_CHECK_INTERVAL_SECONDS
            if is_past and len(self.records_by_id) == len(self.arrivals_by_id):
                self.timeline.run(self.timeline.now + END_CHECK_INTERVAL_SECONDS)
                return

    def set_zones_out(self, zones_out: frozenset[str]) -> None:
        """Publish to every node which zones are out of service.

        Args:
            zones_out: Names of the zones that are out of service; empty restores all.
        """
        version = self.configuration.version + 1
        self.configuration = self.configuration._replace(version=version, zones_out=zones_out)
        for node in self.nodes:
            node.perform_all(
                node.dispatcher.set_configuration(self.configuration, self.timeline.now)
            )

    def restart_zone(self, zone: str) -> None:
        """Restart all engines of a zone; they are cold afterwards.

        Args:
            zone: Name of the zone.
        """
        for engine in self.engines_by_id.values():
            if engine.server.zone == zone:
                engine.restart()

    def find_group(
        self, request: requests.ModelRequest, candidates: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Choose engines with enough free memory for a memory group.

        Stands in for the reservations that real nodes make.

        Args:
            request: The request.
            candidates: Ids of the engines that may be members.

        Returns:
            The smallest possible group; empty if there is not enough free memory now.
        """
        needed = request.prompt_tokens + request.max_tokens
        for count in range(math.ceil(needed / MAX_MEMBER_TOKENS), len(candidates) + 1):
            part = -(-needed // count)
            able = [s for s in candidates if self.engines_by_id[s].free_kv_cache_tokens >= part]
            if len(able) >= count:
                return tuple(able[:count])
        return ()

    def on_first_token(self, request_id: str) -> None:
        """Record the time of a request's first token; later calls change nothing.

        Args:
            request_id: Id of the request.
        """
        self._first_token_by_id.setdefault(request_id, self.timeline.now)

    def on_end(self, request_id: str, reason: outcomes.Reason | None, was_admitted: bool) -> None:
        """Record the outcome of a request.

        Args:
            request_id: Id of the request.
            reason: Why it was refused or failed; None if it was answered.
            was_admitted: Whether it was admitted.
        """
        assert request_id not in self.records_by_id, "a request ended twice"
        arrival = self.arrivals_by_id[request_id]
        first = self._first_token_by_id.get(request_id)
        seconds = None if first is None else first - arrival.at
        self.records_by_id[request_id] = RequestRecord(
            arrival, seconds, self.timeline.now, reason, was_admitted
        )

    def _send_report(self, engine: engine_model.Engine, node: node_model.NodeModel) -> None:
        report = engine.report(REPORT_LAG_SECONDS)
        self.timeline.after(REPORT_LAG_SECONDS, self._deliver_report, node, report)
        self.timeline.after(REPORT_INTERVAL_SECONDS, self._send_report, engine, node)

    def _deliver_report(self, node: node_model.NodeModel, report: load_view.LoadReport) -> None:
        node.on_report(report)

    def _send_digest(self, node: node_model.NodeModel) -> None:
        digest = node.dispatcher.digest(self.timeline.now)
        digest = digest._replace(age_seconds=self.size.zone_latency_seconds)
        for peer in self.nodes:
            if peer is not node:
                self.timeline.after(
                    self.size.zone_latency_seconds, self._deliver_digest, peer, digest
                )
        self.timeline.after(DIGEST_INTERVAL_SECONDS, self._send_digest, node)

    def _deliver_digest(self, node: node_model.NodeModel, digest: load_digests.LoadDigest) -> None:
        node.perform_all(node.dispatcher.on_peer_digest(digest, self.timeline.now))

    def _set_limits(self, node: node_model.NodeModel) -> None:
        hosts = [peer.host for peer in self.nodes]
        limits = {}
        for server_id, engine in self.engines_by_id.items():
            applies_cold_limit = self._applies_cold_limits and node.is_cold(engine.server)
            limit = (
                engine.server.cold_concurrency if applies_cold_limit else engine.server.concurrency
            )
            limits[server_id] = divide_limit(limit, server_id, hosts)[node.host]
        node.perform_all(node.dispatcher.set_limits(limits, self.timeline.now))
        self.timeline.after(LIMIT_INTERVAL_SECONDS, self._set_limits, node)

    def _sample(self) -> None:
        """Count idle engines, and those with a free slot while any node has queued requests."""
        is_any_queued = any(node.dispatcher.queued for node in self.nodes)
        for server_id, engine in self.engines_by_id.items():
            self.samples += 1
            if engine.is_idle and self.configuration.accepts_new_work(server_id):
                self.idle_samples += 1
                has_capacity = (
                    engine.request_count < engine.server.concurrency and not engine.is_cold
                )
                self.idle_with_work_samples += is_any_queued and has_capacity
        if self.timeline.now < self._last_arrival_at:
            self.timeline.after(SAMPLE_INTERVAL_SECONDS, self._sample)

"""The router: a node's view of the engines, and the choice of one for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.routing import (
    demands,
    engine_pools,
    groups,
    load_digests,
    load_view,
    policies,
    prefix_map,
    sampling_set,
    selection,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from dragonflycove.configuration import schema

ADMISSION_SAMPLE_SIZE = 4
"""Engines sampled to estimate the time to first token above `FULL_SCAN_SERVERS_LIMIT` engines."""

RESTART_COOLDOWN_SECONDS = 1.5
"""Time without new work for a restarted engine, in which the node lowers its limit there."""

OWN_PREFIX_BLOCKS_LIMIT = 64
"""Maximum number of leading blocks of a prompt that are recorded as cached after its prefill."""


class _ModelServers:
    """The engines that may get new work for one model."""

    def __init__(
        self, policy: policies.Policy, model: str, loads: list[load_view.EngineLoadView]
    ) -> None:
        self.loads = loads
        """Load views of the engines."""
        self.server_ids = tuple(load.server.server_id for load in loads)
        """Identifiers of the engines, in the order of `loads`."""
        self.eligible = frozenset(self.server_ids)
        """Identifiers of the engines, for membership tests."""
        self.pools_by_server = engine_pools.assign_pools(policy, model, self.server_ids)
        """Pool of each engine; empty if all requests share them."""
        self.free_servers = sampling_set.SamplingSet()
        """Engines below this node's limit on requests in flight."""
        self.capacity = demands.NO_CAPACITY
        """Capacity of the engines within this node's limits."""
        self.short_pool_utilisation = 0.0
        """Share of the short pool's prefill rate that requests of the higher priority use."""

    def refresh_capacity(self) -> None:
        """Recompute the engines with free slots and the capacity after limits have changed."""
        self.free_servers = sampling_set.SamplingSet()
        for load in self.loads:
            if load.in_flight < load.in_flight_limit:
                self.free_servers.add(load.server.server_id)
        rate = sum(load.prefill_tokens_per_second for load in self.loads)
        self.capacity = demands.Capacity(
            rate,
            sum(load.in_flight_limit for load in self.loads),
            max(load.server.memory_tokens for load in self.loads),
            rate / len(self.loads),
        )


class Router:
    """Chooses engines, and counts this node's requests in flight on each."""

    def __init__(self, policy: policies.Policy, rng: random.Random) -> None:
        """Create a router without engines.

        Args:
            policy: The routing policy.
            rng: Source of randomness for samples and ties.
        """
        self.view = load_view.LoadView()
        """Load of each engine."""
        self.prefixes = prefix_map.PrefixMap()
        """Engines that probably have prompt prefixes in their cache."""
        self.peers = load_digests.PeerDigests()
        """Load digests of the peers."""
        self._rng = rng
        self._selector = selection.Selector(policy, rng)
        self._servers_by_model: dict[str, _ModelServers] = {}
        self._limits_by_server: Mapping[str, int] = {}
        self._limits_expire_at = float("inf")

    def set_configuration(self, configuration: schema.Configuration) -> None:
        """Replace the engines with the model engines of a configuration.

        Args:
            configuration: The configuration in force.
        """
        engines = [s for s in configuration.servers_by_id.values() if s.memory_tokens > 0]
        self.view.set_servers(engines)
        self.prefixes.retain(frozenset(self.view.loads_by_id))
        by_model: dict[str, list[load_view.EngineLoadView]] = {}
        for server in engines:
            if configuration.accepts_new_work(server.server_id):
                load = self.view.loads_by_id[server.server_id]
                for model in server.models:
                    by_model.setdefault(model, []).append(load)
        self._servers_by_model = {
            model: _ModelServers(self._selector.policy, model, loads)
            for model, loads in by_model.items()
        }
        self._apply_limits()

    def set_limits(self, limits_by_server: Mapping[str, int], expires_at: float) -> None:
        """Replace this node's limits on requests in flight at each engine.

        Args:
            limits_by_server: Requests in flight by engine identifier; an engine that isn't listed
                is limited by its concurrency.
            expires_at: Loop time after which `expire_limits` sets all limits to 0, seconds.
        """
        self._limits_by_server = dict(limits_by_server)
        self._limits_expire_at = expires_at
        self._apply_limits()

    def expire_limits(self, now: float) -> None:
        """Set all limits to 0 once they have expired, for example after the process was paused.

        Args:
            now: Loop time, seconds.
        """
        if now <= self._limits_expire_at:
            return
        self._limits_by_server = dict.fromkeys(self.view.loads_by_id, 0)
        self._limits_expire_at = float("inf")
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Set each engine's limit, and recompute the capacity of each model."""
        for server_id, load in self.view.loads_by_id.items():
            load.in_flight_limit = self._limits_by_server.get(server_id, load.server.concurrency)
        for servers in self._servers_by_model.values():
            servers.refresh_capacity()

    def candidates(self, model: str) -> tuple[str, ...]:
        """Return the engines that may get new work for a model.

        Args:
            model: Name of the model.

        Returns:
            Their identifiers; empty for an unknown model.
        """
        servers = self._servers_by_model.get(model)
        return servers.server_ids if servers else ()

    def capacity(self, model: str) -> demands.Capacity:
        """Return the capacity of all engines that may get new work for a model.

        Args:
            model: Name of the model.

        Returns:
            The capacity; `NO_CAPACITY` for an unknown model.
        """
        servers = self._servers_by_model.get(model)
        return servers.capacity if servers else demands.NO_CAPACITY

    def choose(self, demand: demands.Demand, now: float) -> demands.Choice | None:
        """Choose an engine that can take a request now.

        Args:
            demand: What the request needs.
            now: Loop time, seconds.

        Returns:
            The choice; `None` if no engine can take it now.
        """
        servers = self._servers_by_model.get(demand.model)
        if not servers or not servers.free_servers:
            return None
        if self._selector.policy.is_baseline:
            return self._selector.choose(demand, servers.loads, servers.pools_by_server, now)
        self._selector.short_pool_utilisation = servers.short_pool_utilisation
        cached_by_server = self.prefixes.find(demand.prefix_hashes) if demand.prefix_hashes else {}
        return self._selector.choose_best(
            demand,
            servers.free_servers,
            self.view.loads_by_id,
            cached_by_server,
            servers.pools_by_server,
            now,
        )

    def first_token_seconds(self, demand: demands.Demand, now: float) -> float:
        """Estimate the time from dispatch to the first token, whether or not a slot is free.

        Args:
            demand: What the request needs.
            now: Loop time, seconds.

        Returns:
            Seconds on the best of all engines, or of a sample if there are many; infinite without
            engines.
        """
        servers = self._servers_by_model.get(demand.model)
        if servers is None:
            return float("inf")
        loads: Sequence[load_view.EngineLoadView] = servers.loads
        if len(loads) > selection.FULL_SCAN_SERVERS_LIMIT:
            size = len(loads)
            loads = [loads[int(self._rng.random() * size)] for _ in range(ADMISSION_SAMPLE_SIZE)]
        return min(
            selection.estimate_first_token_seconds(load, demand, 0, load.backlog_seconds(now))
            for load in loads
        )

    def group_candidates(
        self, demand: demands.Demand, is_urgent: bool, now: float
    ) -> tuple[str, ...]:
        """Find candidate members for a memory group.

        Args:
            demand: What the request needs.
            is_urgent: Whether it has to start now; then busy engines are candidates too.
            now: Loop time, seconds.

        Returns:
            Engines that may be members, the best first; empty if there are too few now.
        """
        servers = self._servers_by_model.get(demand.model)
        if servers is None:
            return ()
        return groups.find_candidates(
            demand,
            servers.loads,
            servers.pools_by_server,
            servers.short_pool_utilisation,
            is_urgent,
            now,
        )

    def have_free_slots(self, server_ids: tuple[str, ...], model: str, now: float) -> bool:
        """Return whether this node may send a request to every member of a memory group.

        Args:
            server_ids: Identifiers of the members.
            model: Name of the model.
            now: Loop time, seconds.

        Returns:
            False if one may get no new work, is blocked, or has no free slot for this node.
        """
        servers = self._servers_by_model.get(model)
        if servers is None or not servers.eligible.issuperset(server_ids):
            return False
        return all(self.view.loads_by_id[server_id].has_free_slot(now) for server_id in server_ids)

    def acquire_slots(
        self,
        server_ids: tuple[str, ...],
        request_id: str,
        demand: demands.Demand,
        uncached_tokens: int,
        now: float,
    ) -> None:
        """Count a dispatched request on its engine, or its parts on the members of a group.

        Args:
            server_ids: Identifier of the engine, or of the memory group's engines, the lead first.
            request_id: Identifier of the request.
            demand: What it needs.
            uncached_tokens: Prompt tokens to prefill.
            now: Loop time, seconds.
        """
        share = -(-uncached_tokens // len(server_ids))
        prefill = (0, share) if demand.priority else (share, 0)
        memory = -(-demand.memory_tokens // len(server_ids))
        for server_id in server_ids:
            load = self.view.loads_by_id.get(server_id)
            if load is None:
                continue
            load.add(load_view.PendingWork(now, request_id, prefill, memory, 1))
            load.in_flight += 1
            self._update_free_servers(load)

    def on_prefill_done(
        self, server_ids: tuple[str, ...], request_id: str, demand: demands.Demand
    ) -> None:
        """Remove a request's prompt from the pending prefill, after its first token.

        The leading blocks of a prompt that ran on a single engine are recorded as cached there.

        Args:
            server_ids: Identifier of the engine, or of the memory group's engines, the lead first.
            request_id: Identifier of the request.
            demand: What it needs.
        """
        for server_id in server_ids:
            load = self.view.loads_by_id.get(server_id)
            if load is not None:
                load.on_prefill_done(request_id)
        if len(server_ids) == 1:
            for block in demand.prefix_hashes[:OWN_PREFIX_BLOCKS_LIMIT]:
                self.prefixes.store(server_ids[0], block)

    def release_slots(self, server_ids: tuple[str, ...], request_id: str) -> None:
        """Free the slots of a request that no longer runs.

        Args:
            server_ids: Identifier of the engine, or of the memory group's engines, the lead first.
            request_id: Identifier of the request.
        """
        for server_id in server_ids:
            load = self.view.loads_by_id.get(server_id)
            if load is None:
                continue
            load.remove(request_id)
            load.in_flight = max(0, load.in_flight - 1)
            self._update_free_servers(load)

    def set_high_priority_rate(self, model: str, tokens_per_second: float) -> None:
        """Update the short pool's utilisation from the admission rate of the higher priority.

        Args:
            model: Name of the model.
            tokens_per_second: Prompt tokens of the higher priority that all nodes admit per second.
        """
        servers = self._servers_by_model.get(model)
        if servers is not None:
            pool_rate = (
                engine_pools.short_pool_share(servers.pools_by_server)
                * servers.capacity.prefill_tokens_per_second
            )
            servers.short_pool_utilisation = tokens_per_second / max(1.0, pool_rate)

    def block(self, server_id: str, until: float) -> None:
        """Send no new work to an engine until a time; one before the current end changes nothing.

        Args:
            server_id: Identifier of the engine.
            until: Loop time at which it may be chosen again, seconds.
        """
        load = self.view.loads_by_id.get(server_id)
        if load is not None:
            load.blocked_until = max(load.blocked_until, until)

    def on_report(self, report: load_view.LoadReport, now: float) -> None:
        """Apply a load report; one of an unknown engine changes nothing.

        A report with a new start identifier means that the engine restarted: its prefix cache is
        empty, and it gets no new work for `RESTART_COOLDOWN_SECONDS`.

        Args:
            report: The report.
            now: Loop time, seconds.
        """
        load = self.view.loads_by_id.get(report.server_id)
        if load is None:
            return
        if load.start_id and report.start_id != load.start_id:
            self.prefixes.on_restart(report.server_id)
            self.block(report.server_id, now + RESTART_COOLDOWN_SECONDS)
        load.on_report(report, now)

    def _update_free_servers(self, load: load_view.EngineLoadView) -> None:
        """Update whether an engine has a free slot, for each of its models."""
        server_id = load.server.server_id
        is_below_limit = load.in_flight < load.in_flight_limit
        for model in load.server.models:
            servers = self._servers_by_model.get(model)
            if servers is not None and is_below_limit and server_id in servers.eligible:
                servers.free_servers.add(server_id)
            elif servers is not None:
                servers.free_servers.discard(server_id)

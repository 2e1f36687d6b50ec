"""Choice of an engine for one request, by policy and estimated time to first token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.routing import demands, engine_pools, policies, prefix_map
from dragonflycove.values import requests

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping, Sequence

    from dragonflycove.routing import load_view, sampling_set

SAMPLE_SIZES = (8, 16)
"""Engines with a free slot that are sampled for a request of priority 0 and of priority 1."""

FULL_SCAN_SERVERS_LIMIT = 24
"""Maximum number of engines of which all are scanned instead of a sample."""

TIE_TOLERANCE_SECONDS = 0.12
"""Estimates that exceed the best by at most this count as equal; one is chosen at random."""

SHORT_POOL_PENALTY_SECONDS = 1.0
"""Added to the estimate of a request of the lower priority on an engine of the short pool."""

CHUNK_TOKENS = 2_048
"""Prompt tokens that an engine is assumed to prefill before it considers priorities again."""


def estimate_cached_tokens(cached_prefix: prefix_map.CachedPrefix, prompt_tokens: int) -> int:
    """Estimate the prompt tokens that an engine does not have to prefill.

    Args:
        cached_prefix: The part of the prompt that is probably in its prefix cache.
        prompt_tokens: Length of the prompt, tokens.

    Returns:
        Tokens, weighted by the confidence; always less than the prompt.
    """
    tokens = cached_prefix.blocks * requests.PREFIX_BLOCK_TOKENS
    return int(min(tokens, prompt_tokens - 1) * cached_prefix.confidence)


def estimate_first_token_seconds(
    load: load_view.EngineLoadView,
    demand: demands.Demand,
    cached: int,
    backlog: tuple[float, float],
) -> float:
    """Estimate the time from dispatch to the first token.

    Args:
        load: The node's view of the engine's load.
        demand: What the request needs.
        cached: Prompt tokens in the engine's prefix cache.
        backlog: Prefill backlog of the higher priority and of both priorities, seconds.

    Returns:
        Seconds.
    """
    seconds = (demand.prompt_tokens - cached) / load.prefill_tokens_per_second
    if demand.priority:
        return backlog[1] + seconds
    if backlog[1] > backlog[0]:
        seconds += 0.5 * CHUNK_TOKENS / load.prefill_tokens_per_second
    return backlog[0] + seconds


class Selector:
    """Chooses engines by a routing policy."""

    def __init__(self, policy: policies.Policy, rng: random.Random) -> None:
        """Create a selector.

        Args:
            policy: The policy.
            rng: Source of randomness for samples and ties.
        """
        self.policy = policy
        """The routing policy."""
        self.short_pool_utilisation = 0.0
        """Share of the short pool's prefill rate that requests of the higher priority use."""
        self._rng = rng
        self._cursor = 0

    def choose(
        self,
        demand: demands.Demand,
        loads: Sequence[load_view.EngineLoadView],
        pools_by_server: Mapping[str, engine_pools.Pool],
        now: float,
    ) -> demands.Choice | None:
        """Choose by a scan of every engine; only for the baseline policies.

        Args:
            demand: What the request needs.
            loads: The engines that may be chosen.
            pools_by_server: Pool of each engine; not used by the baseline policies.
            now: Loop time, seconds.

        Returns:
            The choice; `None` if no engine can take the request now.
        """
        if self.policy is policies.Policy.ROUND_ROBIN:
            for _ in loads:
                self._cursor += 1
                choices = self._evaluate(
                    demand, [loads[self._cursor % len(loads)]], {}, pools_by_server, now
                )
                if choices:
                    return choices[0]
            return None
        fewest = sorted(loads, key=lambda load: load.in_flight)
        return next(iter(self._evaluate(demand, fewest, {}, pools_by_server, now)), None)

    def choose_best(
        self,
        demand: demands.Demand,
        free_servers: sampling_set.SamplingSet,
        loads_by_id: Mapping[str, load_view.EngineLoadView],
        cached_by_server: Mapping[str, prefix_map.CachedPrefix],
        pools_by_server: Mapping[str, engine_pools.Pool],
        now: float,
    ) -> demands.Choice | None:
        """Choose at random among the best of a sample and of the engines with the prefix cached.

        Engines where the request would borrow capacity are chosen only if there are no others.

        Args:
            demand: What the request needs.
            free_servers: Engines with a free slot.
            loads_by_id: Load views of the engines.
            cached_by_server: The part of the prompt that engines have in their prefix cache.
            pools_by_server: Pool of each engine; empty if all requests share them.
            now: Loop time, seconds.

        Returns:
            The choice; `None` if no engine of the sample or with the prefix can take the request.
        """
        count = (
            FULL_SCAN_SERVERS_LIMIT
            if len(loads_by_id) <= FULL_SCAN_SERVERS_LIMIT
            else SAMPLE_SIZES[demand.priority]
        )
        sampled = free_servers.sample(count, self._rng)
        sampled += [server_id for server_id in cached_by_server if server_id in free_servers]
        loads = [loads_by_id[server_id] for server_id in dict.fromkeys(sampled)]
        choices = self._evaluate(demand, loads, cached_by_server, pools_by_server, now)
        own = [choice for choice in choices if not choice.is_borrowed]
        choices = own or choices
        if not choices:
            return None
        limit = min(choice.first_token_seconds for choice in choices) + TIE_TOLERANCE_SECONDS
        return self._rng.choice([c for c in choices if c.first_token_seconds <= limit])

    def _evaluate(
        self,
        demand: demands.Demand,
        loads: Iterable[load_view.EngineLoadView],
        cached_by_server: Mapping[str, prefix_map.CachedPrefix],
        pools_by_server: Mapping[str, engine_pools.Pool],
        now: float,
    ) -> list[demands.Choice]:
        choices = []
        is_baseline = self.policy.is_baseline
        for load in loads:
            server_id = load.server.server_id
            if load.in_flight >= load.in_flight_limit or load.blocked_until > now:
                continue
            if server_id in demand.excluded:
                continue
            if is_baseline:
                choices.append(demands.Choice(server_id, 0.0, 0, False))
                continue
            backlog = load.backlog_seconds(now)
            source = engine_pools.find_capacity(
                self.policy, load, demand, pools_by_server, self.short_pool_utilisation, backlog
            )
            if source is engine_pools.CapacitySource.NONE:
                continue
            cached = 0
            if server_id in cached_by_server:
                cached = estimate_cached_tokens(cached_by_server[server_id], demand.prompt_tokens)
            seconds = estimate_first_token_seconds(load, demand, cached, backlog)
            if demand.priority and pools_by_server.get(server_id) is engine_pools.Pool.SHORT:
                seconds += SHORT_POOL_PENALTY_SECONDS
            is_borrowed = source is engine_pools.CapacitySource.BORROWED
            choices.append(demands.Choice(server_id, seconds, cached, is_borrowed))
        return choices

"""The choice of an engine for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.routing import demands, policies, prefix_map, rooms
from dragonflycove.values import requests

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping, Sequence

    from dragonflycove.routing import load_view, open_set

SAMPLE_SIZES = (8, 16)
"""Engines with a free slot that one decision looks at, by priority, where there are many."""

FEW_SERVERS = 24
"""Number of engines up to which one decision looks at all of them."""

TOLERANCE_SECONDS = 0.12
"""Estimates that differ by less count as equal; the choice between them is random."""

SHORT_HOME_SECONDS = 1.0
"""Time that a prompt of the lower priority waits longer elsewhere before it uses these engines."""

CHUNK_TOKENS = 2_048
"""Prompt tokens that an engine is taken to read before it looks at priorities again."""


def cached_tokens(holding: prefix_map.Holding, prompt_tokens: int) -> int:
    """Estimate the prompt tokens that an engine need not read again.

    Args:
        holding: What it is believed to hold.
        prompt_tokens: Length of the prompt, tokens.

    Returns:
        Tokens, weighed by the trust; less than the prompt.
    """
    tokens = holding.blocks * requests.PREFIX_BLOCK_TOKENS
    return int(min(tokens, prompt_tokens - 1) * holding.trust)


def estimate_first_token(
    load: load_view.EngineLoad,
    demand: demands.Demand,
    cached: int,
    backlog: tuple[float, float],
) -> float:
    """Estimate the time from dispatch to the first token.

    Args:
        load: What is believed of the engine.
        demand: What the request needs.
        cached: Prompt tokens in the engine's prefix cache.
        backlog: Seconds of prompt reading of the higher priority, and of both.

    Returns:
        Seconds.
    """
    seconds = (demand.prompt_tokens - cached) / load.rate
    if demand.priority:
        return backlog[1] + seconds
    if backlog[1] > backlog[0]:
        seconds += 0.5 * CHUNK_TOKENS / load.rate
    return backlog[0] + seconds


class Selector:
    """Chooses engines by a policy."""

    def __init__(self, policy: policies.Policy, rng: random.Random) -> None:
        """Create a selector.

        Args:
            policy: The policy.
            rng: The generator to draw from.
        """
        self.policy = policy
        self.first_utilisation = 0.0
        self._rng = rng
        self._cursor = 0

    def choose(
        self,
        demand: demands.Demand,
        loads: Sequence[load_view.EngineLoad],
        homes: Mapping[str, rooms.Home],
        now: float,
    ) -> demands.Choice | None:
        """Choose by a scan of every engine; only for the baselines.

        Args:
            demand: What the request needs.
            loads: The engines that may be chosen.
            homes: Whose right each engine is.
            now: Time, seconds.

        Returns:
            The choice; `None` where no engine can take the request now.
        """
        if self.policy is policies.Policy.ROUND_ROBIN:
            for _ in loads:
                self._cursor += 1
                choices = self._assess(demand, [loads[self._cursor % len(loads)]], {}, homes, now)
                if choices:
                    return choices[0]
            return None
        fewest = sorted(loads, key=lambda load: load.in_flight)
        return next(iter(self._assess(demand, fewest, {}, homes, now)), None)

    def choose_best(
        self,
        demand: demands.Demand,
        opened: open_set.OpenSet,
        loads_by_id: Mapping[str, load_view.EngineLoad],
        held: Mapping[str, prefix_map.Holding],
        homes: Mapping[str, rooms.Home],
        now: float,
    ) -> demands.Choice | None:
        """Choose at random among the best of a sample and of the engines with the prefix.

        Args:
            demand: What the request needs.
            opened: Engines with a free slot.
            loads_by_id: What is believed of the engines.
            held: What engines hold of the prompt.
            homes: Whose right each engine is.
            now: Time, seconds.

        Returns:
            The choice; `None` where no engine of the sample can take the request now.
        """
        count = FEW_SERVERS if len(loads_by_id) <= FEW_SERVERS else SAMPLE_SIZES[demand.priority]
        sampled = opened.sample(count, self._rng)
        sampled += [server_id for server_id in held if server_id in opened]
        loads = [loads_by_id[server_id] for server_id in dict.fromkeys(sampled)]
        choices = self._assess(demand, loads, held, homes, now)
        own = [choice for choice in choices if not choice.is_borrowed]
        choices = own or choices
        if not choices:
            return None
        limit = min(choice.first_token_seconds for choice in choices) + TOLERANCE_SECONDS
        return self._rng.choice([c for c in choices if c.first_token_seconds <= limit])

    def _assess(
        self,
        demand: demands.Demand,
        loads: Iterable[load_view.EngineLoad],
        held: Mapping[str, prefix_map.Holding],
        homes: Mapping[str, rooms.Home],
        now: float,
    ) -> list[demands.Choice]:
        choices = []
        is_baseline = self.policy.is_baseline
        for load in loads:
            server_id = load.server.server_id
            if load.in_flight >= load.limit or load.blocked_until > now:
                continue
            if server_id in demand.excluded:
                continue
            if is_baseline:
                choices.append(demands.Choice(server_id, 0.0, 0, False))
                continue
            backlog = load.backlog_seconds(now)
            room = rooms.find_room(
                self.policy, load, demand, homes, self.first_utilisation, backlog
            )
            if room is rooms.Room.NONE:
                continue
            cached = 0
            if server_id in held:
                cached = cached_tokens(held[server_id], demand.prompt_tokens)
            seconds = estimate_first_token(load, demand, cached, backlog)
            if demand.priority and homes.get(server_id) is rooms.Home.SHORT:
                seconds += SHORT_HOME_SECONDS
            is_borrowed = room is rooms.Room.BORROWED
            choices.append(demands.Choice(server_id, seconds, cached, is_borrowed))
        return choices

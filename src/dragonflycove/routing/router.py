"""Chooses backend servers: candidates, free slots, estimates."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.routing import digests, load_view, open_set, policies, prefix_map
from dragonflycove.values import requests

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dragonflycove.configuration import schema

SAMPLE_SIZE = 16
"""Servers with a free slot that one decision looks at."""

TOLERANCE_SECONDS = 0.02
"""Estimates that differ by less count as equal; the choice between them is random."""

OWN_BLOCKS_LIMIT = 64
"""Most leading blocks of a prompt that are remembered from a request of this node."""


class Demand(NamedTuple):
    """What a request needs of a server."""

    model: str
    """Name of the model."""
    prompt_tokens: int
    """Length of the prompt, tokens."""
    memory_tokens: int
    """KV memory that it takes, tokens."""
    priority: int
    """Engine priority."""
    prefix_hashes: tuple[int, ...] = ()
    """Chained hashes of the prompt's blocks."""
    is_long: bool = False
    """Whether the prompt is of the long class."""
    excluded: frozenset[str] = frozenset()
    """Servers that must not be chosen."""


class Choice(NamedTuple):
    """A server and what is expected of it."""

    server_id: str
    """The server."""
    first_token_seconds: float
    """Estimated time to the first token."""
    cached_tokens: int
    """Prompt tokens that are believed to be in its prefix cache."""


class Capacity(NamedTuple):
    """What the servers of a model can do together."""

    prefill_tokens_per_second: float
    """Prompt tokens read in a second by all of them."""
    slots: int
    """Requests that this node may have running."""
    largest_memory_tokens: int
    """KV memory of the largest one, tokens."""
    mean_prefill_tokens_per_second: float
    """Prompt tokens read in a second by one of them."""


NO_CAPACITY = Capacity(0.0, 0, 0, 1.0)
"""Capacity of no server."""


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


class Router:
    """The node's view of the engines and the choice between them."""

    def __init__(self, policy: policies.Policy, rng: random.Random) -> None:
        """Create a router that knows no server.

        Args:
            policy: How to choose.
            rng: The generator to draw from.
        """
        self.policy = policy
        self.view = load_view.LoadView()
        self.candidates_by_model: dict[str, tuple[str, ...]] = {}
        self.prefixes = prefix_map.PrefixMap()
        self.peers = digests.Peers()
        self._rng = rng
        self._open_by_model: dict[str, open_set.OpenSet] = {}
        self._eligible_by_model: dict[str, frozenset[str]] = {}
        self._limits_by_server: Mapping[str, int] = {}
        self._capacity_by_model: dict[str, Capacity] = {}
        self._cursor = 0

    def set_configuration(self, configuration: schema.Configuration) -> None:
        """Replace the servers.

        Args:
            configuration: The configuration that is in force.
        """
        engines = [s for s in configuration.servers_by_id.values() if s.memory_tokens > 0]
        self.view.set_servers(engines)
        self.prefixes.retain(frozenset(self.view.loads_by_id))
        by_model: dict[str, list[str]] = {}
        for server in engines:
            if configuration.accepts_new_work(server.server_id):
                for model in server.models:
                    by_model.setdefault(model, []).append(server.server_id)
        self.candidates_by_model = {model: tuple(ids) for model, ids in by_model.items()}
        self._eligible_by_model = {model: frozenset(ids) for model, ids in by_model.items()}
        self._apply_limits()

    def set_limits(self, limits_by_server: Mapping[str, int]) -> None:
        """Replace this node's limits of requests running at each server.

        Args:
            limits_by_server: Limits; a server without one has its whole concurrency.
        """
        self._limits_by_server = limits_by_server
        self._apply_limits()

    def _apply_limits(self) -> None:
        for server_id, load in self.view.loads_by_id.items():
            load.limit = self._limits_by_server.get(server_id, load.server.concurrency)
        self._open_by_model = {}
        self._capacity_by_model = {}
        for model, server_ids in self.candidates_by_model.items():
            opened = self._open_by_model[model] = open_set.OpenSet()
            for server_id in server_ids:
                load = self.view.loads_by_id[server_id]
                if load.in_flight < load.limit:
                    opened.add(server_id)
            loads = [self.view.loads_by_id[server_id] for server_id in server_ids]
            rate = sum(load.rate for load in loads)
            self._capacity_by_model[model] = Capacity(
                rate,
                sum(load.limit for load in loads),
                max(load.server.memory_tokens for load in loads),
                rate / len(loads),
            )

    def _refresh_open(self, load: load_view.EngineLoad) -> None:
        server_id = load.server.server_id
        is_open = load.in_flight < load.limit
        for model in load.server.models:
            opened = self._open_by_model.get(model)
            if opened is None:
                continue
            if is_open and server_id in self._eligible_by_model[model]:
                opened.add(server_id)
            else:
                opened.discard(server_id)

    def choose(self, demand: Demand, now: float) -> Choice | None:
        """Choose a server that can take a request now.

        Args:
            demand: What the request needs.
            now: Time, seconds.

        Returns:
            The choice; `None` where no server can take it now.
        """
        opened = self._open_by_model.get(demand.model)
        if not opened:
            return None
        if self.policy is policies.Policy.ROUND_ROBIN:
            return self._choose_next(demand, now)
        if self.policy is policies.Policy.LEAST_IN_FLIGHT:
            return self._choose_least_in_flight(opened, demand, now)
        held = self.prefixes.find(demand.prefix_hashes) if demand.prefix_hashes else {}
        sampled = opened.sample(SAMPLE_SIZE, self._rng)
        sampled += [s for s in held if s in opened and s not in sampled]
        choices = self._assess_all(sampled, demand, now, held)
        if not choices:
            return None
        limit = min(choice.first_token_seconds for choice in choices) + TOLERANCE_SECONDS
        return self._rng.choice([c for c in choices if c.first_token_seconds <= limit])

    def _choose_least_in_flight(
        self, opened: open_set.OpenSet, demand: Demand, now: float
    ) -> Choice | None:
        choices = self._assess_all(opened.items, demand, now, {})
        loads = self.view.loads_by_id
        return min(choices, key=lambda choice: loads[choice.server_id].in_flight, default=None)

    def _choose_next(self, demand: Demand, now: float) -> Choice | None:
        candidates = self.candidates_by_model[demand.model]
        for _ in candidates:
            self._cursor += 1
            server_id = candidates[self._cursor % len(candidates)]
            choices = self._assess_all([server_id], demand, now, {})
            if choices:
                return choices[0]
        return None

    def _assess_all(
        self,
        server_ids: list[str],
        demand: Demand,
        now: float,
        held: Mapping[str, prefix_map.Holding],
    ) -> list[Choice]:
        choices = []
        loads = self.view.loads_by_id
        for server_id in server_ids:
            load = loads[server_id]
            if server_id in demand.excluded or not load.has_room(demand.memory_tokens, now):
                continue
            cached = 0
            if server_id in held:
                cached = cached_tokens(held[server_id], demand.prompt_tokens)
            read_seconds = (demand.prompt_tokens - cached) / load.rate
            seconds = load.backlog_seconds(demand.priority, now) + read_seconds
            choices.append(Choice(server_id, seconds, cached))
        return choices

    def occupy(
        self, server_id: str, request_id: str, demand: Demand, uncached_tokens: int, now: float
    ) -> None:
        """Count a request that is sent to a server.

        Args:
            server_id: The server.
            request_id: The request.
            demand: What it needs.
            uncached_tokens: Prompt tokens that the server has to read.
            now: Time, seconds.
        """
        load = self.view.loads_by_id[server_id]
        load.in_flight += 1
        prefill = (0, uncached_tokens) if demand.priority else (uncached_tokens, 0)
        load.add(load_view.Pending(now, request_id, prefill, demand.memory_tokens, 1))
        self._refresh_open(load)

    def prompt_read(self, server_id: str, request_id: str, demand: Demand) -> None:
        """Stop counting the prompt of a request whose first token has come.

        Args:
            server_id: Where it runs.
            request_id: The request.
            demand: What it needs.
        """
        load = self.view.loads_by_id.get(server_id)
        if load is None:
            return
        load.prompt_read(request_id)
        for block in demand.prefix_hashes[:OWN_BLOCKS_LIMIT]:
            self.prefixes.store(server_id, block)

    def release(self, server_id: str, request_id: str) -> None:
        """Free the slot of a request that no longer runs.

        Args:
            server_id: Where it ran.
            request_id: The request.
        """
        load = self.view.loads_by_id.get(server_id)
        if load is not None:
            load.in_flight = max(0, load.in_flight - 1)
            load.remove(request_id)
            self._refresh_open(load)

    def block(self, server_id: str, until: float) -> None:
        """Send nothing to a server for a while.

        Args:
            server_id: The server.
            until: Time from which it may be chosen again, seconds.
        """
        load = self.view.loads_by_id.get(server_id)
        if load is not None:
            load.blocked_until = max(load.blocked_until, until)

    def capacity(self, model: str) -> Capacity:
        """Return what the servers of a model can do together.

        Args:
            model: Name of the model.

        Returns:
            The capacity; nothing but zeros for an unknown model.
        """
        return self._capacity_by_model.get(model, NO_CAPACITY)

    def first_token_seconds(self, demand: Demand, now: float) -> float:
        """Estimate the time from dispatch to the first token, free slot or not.

        Args:
            demand: What the request needs.
            now: Time, seconds.

        Returns:
            Seconds on the best of a sample of servers; infinite without any.
        """
        candidates = self.candidates_by_model.get(demand.model, ())
        count = min(SAMPLE_SIZE, len(candidates))
        sampled = self._rng.sample(candidates, count) if count < len(candidates) else candidates
        loads = self.view.loads_by_id
        return min(
            (
                loads[server_id].backlog_seconds(demand.priority, now)
                + demand.prompt_tokens / loads[server_id].rate
                for server_id in sampled
            ),
            default=float("inf"),
        )

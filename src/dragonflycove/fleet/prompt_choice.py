"""Chooses the engines for one prompt: which one answers, and which ones help to read it.

The load that it answers is described in `placer`. Every choice is the one with the least predicted
loss of worth, its own and that of the requests already on the engines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, work

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dragonflycove.fleet import catalog, server_health

MOST_HELPERS = 15
"""Engines beside the first that may read one prompt; the platform's engines take 16 at most."""

PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
"""Numbers of engines that are weighed for a prompt."""

SPLIT_TOKENS = 8_000
"""Prompts under this length are read by one engine; a part costs each engine a request's overhead."""

MEMORY_SHARE = 0.95
"""Share of an engine's memory that placements fill; output lengths are estimates."""

CROWDING_LOSS = 0.015
"""Worth assumed lost per request already on an engine; breaks ties towards even packing."""

FRESH_ENGINE_LOSS = 0.1
"""Worth assumed lost where a request with short pauses joins an engine that has no such request.

Engines without such requests read long prompts without harm; this keeps them from being taken while
others still have slots.
"""

PACKED_REQUESTS = 7
"""Requests up to which short prompts are packed onto engines already in use."""

WAIT_LOSS_PER_SECOND = 0.05
"""Worth assumed lost per second up to the goal, as a share of the request's worth."""

LATE_WAIT_LOSS_PER_SECOND = 0.01
"""The same per second after the goal; breaks ties, since late is late."""

PART_LOSS = 0.004
"""Worth assumed lost per engine that takes part in a prompt; breaks ties towards fewer."""

REMOTE_ZONE_LOSS = 0.004
"""Worth assumed lost by crossing availability zones; breaks ties."""

FAILURE_LOSS_SHARE = 1.5
"""Worth assumed lost at a server that always fails, as a multiple of the request's worth."""


class _Candidate(NamedTuple):
    """One engine for one number of parts."""

    loss: float
    server: catalog.BackendServer
    first_event_seconds: float


class PromptChoice:
    """The choices for one prompt at one moment."""

    def __init__(
        self,
        job: work.Job,
        servers: Sequence[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        health: server_health.ServerHealth,
        is_cold: Callable[[catalog.Instance], bool],
        now: float,
    ) -> None:
        """Prepare the choices.

        Args:
            job: The prompt.
            servers: Engines that may take part.
            forecasts: What they are predicted to do.
            spec: Their speed and size.
            health: How requests ended there.
            is_cold: Tells whether an engine is cold.
            now: Loop time.
        """
        self._job = job
        self._servers = servers
        self._forecasts = forecasts
        self._spec = spec
        self._health = health
        self._is_cold = is_cold
        self._now = now
        self._leads = [
            server
            for server in servers
            if forecasts[server.instance].running < min(spec.slots, server.slots)
        ]

    @property
    def has_slot(self) -> bool:
        """Whether an engine has a place for another request."""
        return bool(self._leads)

    def soonest_at_full_engines(self) -> float:
        """Return the time to the first event at the best engine without a free slot.

        Returns:
            Seconds if a slot fell free there now; infinite if all engines have slots.
        """
        seconds = engine_forecast.prefill_seconds(self._spec, self._job.prompt_tokens, 1)
        leads = {server.instance for server in self._leads}
        return min(
            (
                self._forecasts[server.instance].first_event_seconds(self._now, seconds)
                for server in self._servers
                if server.instance not in leads
            ),
            default=float("inf"),
        )

    def choose(self) -> work.Grant | None:
        """Return the choice with the least loss; None if the memory does not suffice."""
        best: tuple[float, work.Grant] | None = None
        for count in self._part_counts():
            option = self._weigh(count)
            if option is not None and (best is None or option[0] < best[0]):
                best = option
        return best[1] if best else None

    def _part_counts(self) -> list[int]:
        if self._job.prompt_tokens < SPLIT_TOKENS:
            return [1]
        most = min(len(self._servers), MOST_HELPERS + 1)
        return [count for count in PART_COUNTS if count <= most]

    def _weigh(self, count: int) -> tuple[float, work.Grant] | None:
        """Return the best choice of a number of engines with its loss; None if none fits."""
        job = self._job
        seconds = engine_forecast.prefill_seconds(self._spec, job.prompt_tokens, count)
        lead = self._best_lead(seconds, count)
        helpers = self._best_helpers(lead.server, seconds, count)
        if len(helpers) < count - 1:
            return None
        parts = self._reserve(lead.server, helpers)
        if parts is None:
            return None
        # The first token follows the last part.
        first = max([lead.first_event_seconds, *(helper.first_event_seconds for helper in helpers)])
        loss = self._own_loss(first) + lead.loss + sum(helper.loss for helper in helpers)
        return loss + PART_LOSS * count, work.Grant(lead.server, parts, first)

    def _own_loss(self, first_event_seconds: float) -> float:
        """Return the worth that the prompt itself loses by the time of its first event."""
        goal = self._job.latency_target_seconds
        lost = engine_forecast.lost_share(
            first_event_seconds, goal, self._job.next_event_deadline_seconds
        )
        lost += WAIT_LOSS_PER_SECOND * min(first_event_seconds, goal)
        lost += LATE_WAIT_LOSS_PER_SECOND * max(0.0, first_event_seconds - goal)
        return self._job.value * lost

    def _best_lead(self, seconds: float, count: int) -> _Candidate:
        def rank(candidate: _Candidate) -> float:
            loss = candidate.loss + self._own_loss(candidate.first_event_seconds)
            if self._job.kv_cache_tokens > self._free_memory(candidate.server):
                # A first engine that lacks the memory needs reservations elsewhere.
                loss += self._job.value
            return loss

        return min((self._candidate(server, seconds, count) for server in self._leads), key=rank)

    def _best_helpers(
        self, lead: catalog.BackendServer, seconds: float, count: int
    ) -> list[_Candidate]:
        if count == 1:
            return []
        candidates = [
            self._candidate(server, seconds, count)
            for server in self._servers
            if server.instance != lead.instance
            and self._forecasts[server.instance].helping < self._spec.slots
            and not self._is_cold(server.instance)
            and not self._health.is_unhelpful(server.instance, self._now)
        ]
        candidates.sort(key=lambda one: one.loss + self._own_loss(one.first_event_seconds))
        return candidates[: count - 1]

    def _candidate(self, server: catalog.BackendServer, seconds: float, count: int) -> _Candidate:
        forecast = self._forecasts[server.instance]
        job = self._job
        first = forecast.first_event_seconds(self._now, seconds, is_split=count > 1)
        loss = forecast.harm(self._now, seconds, is_split=count > 1)
        failing = self._health.failure_ratio(server.instance, self._now)
        loss += FAILURE_LOSS_SHARE * job.value * failing
        running = forecast.running
        loss += CROWDING_LOSS * max(0, running - PACKED_REQUESTS)
        if engine_forecast.is_tight(job) and forecast.tight == 0:
            loss += FRESH_ENGINE_LOSS
        if server.zone != job.zone:
            loss += REMOTE_ZONE_LOSS
        return _Candidate(loss, server, first)

    def _free_memory(self, server: catalog.BackendServer) -> int:
        used = self._forecasts[server.instance].kv_cache_tokens
        return int(self._spec.kv_cache_tokens * MEMORY_SHARE) - used

    def _reserve(
        self, lead: catalog.BackendServer, helpers: Sequence[_Candidate]
    ) -> tuple[work.Part, ...] | None:
        """Split a prompt's memory over its helpers; None if it does not fit.

        A prompt that fits into its first engine needs no reservation. Of any other, what the first
        engine lacks is reserved at the helpers in even shares, as far as each has room.
        """
        free = self._free_memory(lead)
        if self._job.kv_cache_tokens <= free:
            return tuple(work.Part(helper.server, 0) for helper in helpers)
        rest = self._job.kv_cache_tokens - max(0, free)
        rooms = [max(0, self._free_memory(helper.server)) for helper in helpers]
        if sum(rooms) < rest:
            return None
        parts = []
        for index, helper in enumerate(helpers):
            share = -(-rest // (len(helpers) - index))
            tokens = min(share, rooms[index])
            rest -= tokens
            parts.append(work.Part(helper.server, tokens))
        return tuple(parts) if rest <= 0 else None

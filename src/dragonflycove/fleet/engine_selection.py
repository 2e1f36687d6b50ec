"""Selects the engines for one prompt: the lead, which decodes the output, and the helpers.

Helpers prefill parts of the prompt. The selection minimises the expected loss of value, of the
prompt itself and of the requests already on the engines. The docstring of `placer` describes
the load that this rule is made for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, work

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dragonflycove.fleet import catalog, server_health

MAX_HELPERS = 15
"""Maximum helpers of one prompt; engines accept 16 engines per prompt, the lead included."""

ENGINE_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16)
"""Numbers of engines, lead included, whose expected losses are compared for a prompt."""

MIN_SPLIT_TOKENS = 8_000
"""Minimum length of a split prompt; each part costs its engine the overhead of a request."""

KV_CACHE_FILL_SHARE = 0.95
"""Share of an engine's KV cache that placements fill; output lengths are estimates."""

LOSS_PER_CROWDING_REQUEST = 0.015
"""Value assumed lost per request above `MAX_PACKED_REQUESTS` on the engine; breaks ties."""

FIRST_SHORT_GAP_LOSS = 0.1
"""Value assumed lost where a request with a short gap target joins an engine without any.

Engines without such requests prefill long prompts without delaying others; this keeps them free
while other engines have slots.
"""

MAX_PACKED_REQUESTS = 7
"""Maximum requests on an engine to which no loss for crowding is added."""

WAIT_LOSS_PER_SECOND = 0.05
"""Share of the request's value assumed lost per second before its latency target."""

LATE_WAIT_LOSS_PER_SECOND = 0.01
"""Share of the request's value assumed lost per second after its latency target; breaks ties."""

LOSS_PER_ENGINE = 0.004
"""Value assumed lost per engine of a prompt; breaks ties towards fewer engines."""

REMOTE_ZONE_LOSS = 0.004
"""Value assumed lost by crossing availability zones; breaks ties."""

FAILURE_LOSS_FACTOR = 1.5
"""Value assumed lost at a server that always fails, as a multiple of the request's value."""


class _Candidate(NamedTuple):
    """One engine as lead or helper of a prompt that is split over a given number of engines."""

    loss: float
    server: catalog.BackendServer
    first_event_seconds: float


class EngineSelection:
    """Selects the engines for one prompt at one moment."""

    def __init__(
        self,
        job: work.Job,
        servers: Sequence[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        health: server_health.ServerHealth,
        may_help: Callable[[catalog.Instance], bool],
        slots: Callable[[catalog.BackendServer], int],
        now: float,
    ) -> None:
        """Determine the engines with a free slot.

        Args:
            job: The prompt.
            servers: Engines that may take part.
            forecasts: Forecast of each engine.
            spec: Speed and size of every engine.
            health: Health of the engines.
            may_help: Returns whether an engine may be a helper.
            slots: Returns how many requests an engine takes at once.
            now: Loop time.
        """
        self._job = job
        self._servers = servers
        self._forecasts = forecasts
        self._spec = spec
        self._health = health
        self._may_help = may_help
        self._now = now
        self._leads = [
            server
            for server in servers
            if forecasts[server.instance].occupied_slots < min(spec.slots, slots(server))
        ]

    @property
    def has_free_slot(self) -> bool:
        """Whether at least one engine has a free slot."""
        return bool(self._leads)

    def first_event_seconds_at_full_engines(self) -> float:
        """Return the predicted time to the first event at the best engine without a free slot.

        Returns:
            Seconds, if a slot became free there now; infinite if all engines have free slots.
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
        """Return the placement with the least expected loss; None if the KV cache is too full."""
        best: tuple[float, work.Grant] | None = None
        for count in self._engine_counts():
            option = self._evaluate(count)
            if option is not None and (best is None or option[0] < best[0]):
                best = option
        return best[1] if best else None

    def _engine_counts(self) -> list[int]:
        if self._job.prompt_tokens < MIN_SPLIT_TOKENS:
            return [1]
        max_count = min(len(self._servers), MAX_HELPERS + 1)
        return [count for count in ENGINE_COUNTS if count <= max_count]

    def _evaluate(self, count: int) -> tuple[float, work.Grant] | None:
        """Return the best placement on a number of engines, after its loss; None if none fits."""
        job = self._job
        seconds = engine_forecast.prefill_seconds(self._spec, job.prompt_tokens, count)
        lead = self._best_lead(seconds, count)
        helpers = self._best_helpers(lead.server, seconds, count)
        if len(helpers) < count - 1:
            return None
        parts = self._reserve(lead.server, helpers)
        if parts is None:
            return None
        # The first token is produced after the last part's prefill.
        first_seconds = max(
            [lead.first_event_seconds, *(helper.first_event_seconds for helper in helpers)]
        )
        loss = self._own_loss(first_seconds) + lead.loss + sum(helper.loss for helper in helpers)
        return loss + LOSS_PER_ENGINE * count, work.Grant(lead.server, parts, first_seconds)

    def _own_loss(self, first_event_seconds: float) -> float:
        """Return the value that the prompt itself is expected to lose by its first event's time."""
        target = self._job.latency_target_seconds
        lost = engine_forecast.expected_loss_share(
            first_event_seconds, target, self._job.next_event_deadline_seconds
        )
        lost += WAIT_LOSS_PER_SECOND * min(first_event_seconds, target)
        lost += LATE_WAIT_LOSS_PER_SECOND * max(0.0, first_event_seconds - target)
        return self._job.value * lost

    def _best_lead(self, seconds: float, count: int) -> _Candidate:
        def rank(candidate: _Candidate) -> float:
            loss = candidate.loss + self._own_loss(candidate.first_event_seconds)
            if self._job.kv_cache_tokens > self._free_kv_cache_tokens(candidate.server):
                # A lead without enough free KV cache needs reservations at helpers.
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
            and self._forecasts[server.instance].helped_prompt_count < self._spec.slots
            and self._may_help(server.instance)
            and not self._health.refuses_help(server.instance, self._now)
        ]
        candidates.sort(key=lambda one: one.loss + self._own_loss(one.first_event_seconds))
        return candidates[: count - 1]

    def _candidate(self, server: catalog.BackendServer, seconds: float, count: int) -> _Candidate:
        forecast = self._forecasts[server.instance]
        job = self._job
        first_seconds = forecast.first_event_seconds(self._now, seconds, is_split=count > 1)
        loss = forecast.loss_to_others(self._now, seconds, is_split=count > 1)
        failure_ratio = self._health.failure_ratio(server.instance, self._now)
        loss += FAILURE_LOSS_FACTOR * job.value * failure_ratio
        occupied_slots = forecast.occupied_slots
        loss += LOSS_PER_CROWDING_REQUEST * max(0, occupied_slots - MAX_PACKED_REQUESTS)
        if engine_forecast.has_short_gap_target(job) and forecast.short_gap_count == 0:
            loss += FIRST_SHORT_GAP_LOSS
        if server.zone != job.zone:
            loss += REMOTE_ZONE_LOSS
        return _Candidate(loss, server, first_seconds)

    def _free_kv_cache_tokens(self, server: catalog.BackendServer) -> int:
        used = self._forecasts[server.instance].kv_cache_tokens
        return int(self._spec.kv_cache_tokens * KV_CACHE_FILL_SHARE) - used

    def _reserve(
        self, lead: catalog.BackendServer, helpers: Sequence[_Candidate]
    ) -> tuple[work.HelperEngine, ...] | None:
        """Divide the KV cache that the lead lacks among the helpers; None if it does not fit.

        A prompt that fits into the lead's KV cache needs no reservation. Otherwise the rest is
        reserved at the helpers in even shares, limited by what each has free.
        """
        free = self._free_kv_cache_tokens(lead)
        if self._job.kv_cache_tokens <= free:
            return tuple(work.HelperEngine(helper.server, 0) for helper in helpers)
        missing_tokens = self._job.kv_cache_tokens - max(0, free)
        free_tokens = [max(0, self._free_kv_cache_tokens(helper.server)) for helper in helpers]
        if sum(free_tokens) < missing_tokens:
            return None
        parts = []
        for index, helper in enumerate(helpers):
            share = -(-missing_tokens // (len(helpers) - index))
            tokens = min(share, free_tokens[index])
            missing_tokens -= tokens
            parts.append(work.HelperEngine(helper.server, tokens))
        return tuple(parts) if missing_tokens <= 0 else None

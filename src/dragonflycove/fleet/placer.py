"""Decides which server gets a request, which engines help, and what waits or is refused.

The load that it answers: short prompts with pauses of a quarter second beside prompts that take an
engine seconds to read, in mixes that change within seconds. A placement is chosen by the worth that
it is predicted to lose, its own and that of the requests already on the engines, so the engines
that read long prompts move with the mix.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from dragonflycove.fleet import engine_forecast, prompt_choice, server_health, work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import catalog, store_view

COLD_SHARE = 0.7
"""Share of the rate that a cold server bears that placements use; others may send to it as well."""

COLD_WINDOW_SECONDS = 1.0
"""Window in which requests to a cold server are counted."""

PLAIN_SERVICE_SECONDS = 0.05
"""Time of a plain call; the users' sheets state 45 ms of work."""

UNUSED_SECONDS = 0.8
"""Time after which a placement that its node does not report is dropped; answers can be lost."""


class Placer:
    """Places requests on the servers that a belief names."""

    def __init__(self, belief: store_view.StoreView, zone: str) -> None:
        """Create a placer without requests.

        Args:
            belief: What is known of servers and services.
            zone: Availability zone of this node.
        """
        self._belief = belief
        self._zone = zone
        self.health = server_health.ServerHealth()
        self._forecast_by_instance: dict[catalog.Instance, engine_forecast.EngineForecast] = {}
        self._plain_by_instance: collections.Counter[catalog.Instance] = collections.Counter()
        self._placement_by_job: dict[work.JobKey, work.Placement] = {}
        self._sends_by_cold: dict[catalog.Instance, collections.deque[float]] = {}

    def place(self, job: work.Job, now: float) -> work.Grant | work.Wait | work.Refusal:
        """Choose where a request goes, and count it there.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            The servers, or that there is no room for now, or that there will be none in time.
        """
        service = self._service(job.service)
        if service is None:
            return work.Refusal("no_configuration", 1.0)
        servers = self._eligible(job, service, now)
        if not servers:
            return work.Refusal("no_server", 0.5)
        if service.engine is None:
            return self._place_plain(job, servers, now)
        return self._place_prompt(job, servers, service.engine, now)

    def _service(self, name: str) -> catalog.Service | None:
        configuration = self._belief.configuration
        return configuration.service_by_name.get(name) if configuration else None

    def _eligible(
        self, job: work.Job, service: catalog.Service, now: float
    ) -> list[catalog.BackendServer]:
        """Return the servers that may get a request; suspects only if there are no others."""
        usable = [
            server
            for server in self._belief.usable_servers(job.service, now)
            if server.instance.server_id not in job.excluded and self._bears(server, service, now)
        ]
        sound = [server for server in usable if not self.health.is_suspect(server.instance, now)]
        return sound or usable

    def _bears(self, server: catalog.BackendServer, service: catalog.Service, now: float) -> bool:
        """Whether a server that may be cold bears another request."""
        if service.cold_requests_per_second <= 0 or not self.is_cold(server.instance, now):
            return True
        sends = self._sends_by_cold.get(server.instance)
        if sends is None:
            return True
        while sends and sends[0] <= now - COLD_WINDOW_SECONDS:
            sends.popleft()
        return len(sends) < service.cold_requests_per_second * COLD_SHARE

    def is_cold(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server is known to be cold.

        Args:
            instance: The server.
            now: Loop time.
        """
        return self._belief.cold_until(instance) > now

    # Plain services

    def _place_plain(
        self, job: work.Job, servers: list[catalog.BackendServer], now: float
    ) -> work.Grant | work.Wait | work.Refusal:
        seconds = PLAIN_SERVICE_SECONDS

        def loss(server: catalog.BackendServer) -> float:
            queued = max(0, self._plain_by_instance[server.instance] + 1 - server.slots)
            wait = (1 + queued / server.slots) * seconds
            load = self._plain_by_instance[server.instance] / server.slots
            failing = self.health.failure_ratio(server.instance, now)
            remote = prompt_choice.REMOTE_ZONE_LOSS if server.zone != job.zone else 0.0
            return (
                engine_forecast.late_chance(wait, job.latency_target_seconds)
                + 0.1 * load
                + prompt_choice.FAILURE_LOSS_SHARE * failing
                + remote
            )

        best = min(servers, key=loss)
        queued = max(0, self._plain_by_instance[best.instance] + 1 - best.slots)
        wait = queued / best.slots * seconds
        if wait + seconds > job.deadline_seconds:
            return work.Refusal("no_room_in_time", wait)
        # A call that would queue at every server waits here, where it can still be moved.
        if queued > 0:
            return work.Wait(seconds, is_full=not job.excluded)
        grant = work.Grant(best, (), wait + seconds)
        self._plain_by_instance[best.instance] += 1
        self._count(work.Placement(job, grant, now, is_prompt=False), now)
        return grant

    # Prompts

    def _place_prompt(
        self,
        job: work.Job,
        servers: list[catalog.BackendServer],
        spec: catalog.EngineSpec,
        now: float,
    ) -> work.Grant | work.Wait | work.Refusal:
        forecasts = {server.instance: self._forecast(server, spec) for server in servers}
        choice = prompt_choice.PromptChoice(
            job,
            servers,
            forecasts,
            spec,
            self.health,
            lambda instance: self.is_cold(instance, now),
            now,
        )
        if not choice.has_slot:
            return self._wait(job, forecasts, spec, is_full=not job.excluded)
        grant = choice.choose()
        if grant is None:
            return self._without_memory(job, servers, forecasts, spec)
        first = grant.first_event_seconds
        soonest = choice.soonest_at_full_engines()
        if min(first, soonest) > min(job.deadline_seconds, job.next_event_deadline_seconds):
            return work.Refusal("no_room_in_time", min(first, soonest) / 2)
        is_hopeless = first > job.next_event_deadline_seconds
        # An engine that has just taken a long read is worth less than a slot at another one.
        if is_hopeless or soonest <= job.latency_target_seconds < first:
            return self._wait(job, forecasts, spec, is_full=False)
        self._commit(job, grant, forecasts, now)
        return grant

    def _wait(
        self,
        job: work.Job,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        *,
        is_full: bool,
    ) -> work.Wait | work.Refusal:
        shortest = engine_forecast.prefill_seconds(spec, job.prompt_tokens, len(forecasts))
        if shortest > job.deadline_seconds:
            return work.Refusal("no_room_in_time", shortest)
        parts = max(1, min(len(forecasts), job.prompt_tokens // prompt_choice.SPLIT_TOKENS))
        passes = 2 * max(forecast.pass_seconds() for forecast in forecasts.values())
        seconds = engine_forecast.prefill_seconds(spec, job.prompt_tokens, parts) + passes
        return work.Wait(seconds, is_full)

    def _without_memory(
        self,
        job: work.Job,
        servers: list[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
    ) -> work.Wait | work.Refusal:
        most = int(spec.kv_cache_tokens * prompt_choice.MEMORY_SHARE) * len(servers)
        if job.kv_cache_tokens > most:
            return work.Refusal("larger_than_all_engines", 1.0)
        return self._wait(job, forecasts, spec, is_full=False)

    def _commit(
        self,
        job: work.Job,
        grant: work.Grant,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        now: float,
    ) -> None:
        spec = forecasts[grant.lead.instance].spec
        seconds = engine_forecast.prefill_seconds(spec, job.prompt_tokens, 1 + len(grant.helpers))
        reserved = sum(part.reserved_tokens for part in grant.helpers)
        tokens_by_instance = {grant.lead.instance: max(0, job.kv_cache_tokens - reserved)}
        tokens_by_instance.update(
            (part.server.instance, part.reserved_tokens) for part in grant.helpers
        )
        for instance, tokens in tokens_by_instance.items():
            read = engine_forecast.PlacedRead(
                job,
                now,
                seconds,
                is_lead=instance == grant.lead.instance,
                is_split=bool(grant.helpers),
                kv_cache_tokens=tokens,
            )
            forecasts[instance].add(read)
        self._count(work.Placement(job, grant, now, is_prompt=True), now)

    def _forecast(
        self, server: catalog.BackendServer, spec: catalog.EngineSpec
    ) -> engine_forecast.EngineForecast:
        forecast = self._forecast_by_instance.get(server.instance)
        if forecast is None or forecast.spec != spec:
            forecast = engine_forecast.EngineForecast(spec)
            self._forecast_by_instance[server.instance] = forecast
        return forecast

    # Reports on placed requests

    def _count(self, placement: work.Placement, now: float) -> None:
        self._placement_by_job[placement.job.key] = placement
        for instance in placement.instances:
            if self.is_cold(instance, now):
                self._sends_by_cold.setdefault(instance, collections.deque()).append(now)

    def add_placement(
        self, job: work.Job, grant: work.Grant, placed_at: float, *, is_decoding: bool
    ) -> None:
        """Count a request that another placer placed.

        Args:
            job: The request.
            grant: Where it was placed.
            placed_at: Loop time at which that was.
            writes: Whether its first event has come.
        """
        if job.key in self._placement_by_job:
            if is_decoding:
                self.on_first_event(job.key, placed_at)
            return
        service = self._service(job.service)
        if service is None:
            return
        if service.engine is None:
            self._plain_by_instance[grant.lead.instance] += 1
            self._count(work.Placement(job, grant, placed_at, is_prompt=False), placed_at)
            return
        servers = (grant.lead, *(part.server for part in grant.helpers))
        forecasts = {server.instance: self._forecast(server, service.engine) for server in servers}
        self._commit(job, grant, forecasts, placed_at)
        if is_decoding:
            self.on_first_event(job.key, placed_at)

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Note that a prompt has been read.

        Args:
            key: The request.
            now: Loop time.
        """
        placement = self._placement_by_job.get(key)
        if placement is None:
            return
        for instance in placement.instances:
            forecast = self._forecast_by_instance.get(instance)
            if forecast is not None:
                forecast.on_first_event(key, now)

    def on_end(
        self, key: work.JobKey, outcome: server_health.Outcome, now: float, unhelpful: str = ""
    ) -> bool:
        """Take a request away from its servers.

        Args:
            key: The request.
            outcome: How it ended there.
            now: Loop time.
            unhelpful: Id of the server that refused to help; empty for none.

        Returns:
            Whether its server became a suspect by this.
        """
        placement = self._placement_by_job.pop(key, None)
        if placement is None:
            return False
        lead = placement.grant.lead.instance
        if placement.is_prompt:
            for instance in placement.instances:
                forecast = self._forecast_by_instance.get(instance)
                if forecast is not None:
                    forecast.remove(key, now)
        else:
            self._end_plain(lead)
        for instance in placement.instances:
            if instance.server_id == unhelpful:
                self.health.on_outcome(instance, server_health.Outcome.HELP_REFUSED, now)
        return self.health.on_outcome(lead, outcome, now)

    def _end_plain(self, instance: catalog.Instance) -> None:
        self._plain_by_instance[instance] -= 1
        if self._plain_by_instance[instance] <= 0:
            del self._plain_by_instance[instance]

    def placement(self, key: work.JobKey) -> work.Placement | None:
        """Return where a request was placed.

        Args:
            key: The request.

        Returns:
            The placement; None if the request is not counted.
        """
        return self._placement_by_job.get(key)

    def is_decoding(self, key: work.JobKey) -> bool:
        """Whether a request's first event has come.

        Args:
            key: The request.
        """
        placement = self._placement_by_job.get(key)
        if placement is None or not placement.is_prompt:
            return False
        forecast = self._forecast_by_instance.get(placement.grant.lead.instance)
        read = forecast.reads_by_job.get(key) if forecast else None
        return read is not None and read.is_decoding

    def job_keys_of(self, host: str) -> list[work.JobKey]:
        """Return the requests of one host that are counted.

        Args:
            host: The host.
        """
        return [key for key in self._placement_by_job if key.host == host]

    def reconcile(
        self, host: str, incarnation: int, numbers: Iterable[int], now: float
    ) -> tuple[int, ...]:
        """Compare the counted requests of a host with those that it says it has placed.

        Args:
            host: The host.
            incarnation: Start of its process.
            numbers: Numbers of its requests.
            now: Loop time.

        Returns:
            Numbers of the requests that are not counted here.
        """
        told = set(numbers)
        counted = set()
        for key in self.job_keys_of(host):
            if key.incarnation == incarnation and key.number in told:
                counted.add(key.number)
            elif (
                key.incarnation != incarnation
                or now - self._placement_by_job[key].placed_at > UNUSED_SECONDS
            ):
                self.on_end(key, server_health.Outcome.ABANDONED, now)
        return tuple(sorted(told - counted))

    def remove_host(self, host: str, now: float) -> int:
        """Take away the requests of a host that is gone.

        Args:
            host: The host.
            now: Loop time.

        Returns:
            How many were taken away.
        """
        stale = self.job_keys_of(host)
        for key in stale:
            self.on_end(key, server_health.Outcome.ABANDONED, now)
        return len(stale)

"""Decides which server gets a request, which engines help, and what waits or is refused.

The load that it answers: short prompts with pauses of a quarter second beside prompts that take an
engine seconds to read, in mixes that change within seconds. A placement is chosen by the worth that
it is predicted to lose, its own and that of the requests already on the engines, so the engines
that read long prompts move with the mix.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, server_health, work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import catalog, knowledge

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

FRESH_ENGINE_LOSS = 0.06
"""Worth assumed lost by taking an engine that has no requests, which long prompts could use."""

PACKED_REQUESTS = 7
"""Requests up to which short prompts are packed onto engines already in use."""

REMOTE_ZONE_LOSS = 0.004
"""Worth assumed lost by crossing availability zones; breaks ties."""

FAILURE_LOSS_SHARE = 1.5
"""Worth assumed lost at a server that always fails, as a multiple of the request's worth."""

WAIT_LOSS_PER_SECOND = 0.05
"""Worth assumed lost per second to the first event, as a share of the request's worth."""

PART_LOSS = 0.004
"""Worth assumed lost per engine that takes part in a prompt; breaks ties towards fewer."""

COLD_SHARE = 0.7
"""Share of the rate that a cold server bears that placements use; others may send to it as well."""

COLD_WINDOW_SECONDS = 1.0
"""Window in which requests to a cold server are counted."""

PLAIN_SERVICE_SECONDS = 0.05
"""Time of a plain call until calls have been measured."""

PLAIN_SECONDS_WEIGHT = 0.1
"""Weight of the newest call in the measured time of a service."""

QUEUE_POSITION_SECONDS = 0.25
"""Time until the next slot falls free on a full engine, before any is measured."""


UNUSED_SECONDS = 0.8
"""Time after which a placement that its node does not report is dropped; answers can be lost."""


class _Candidate(NamedTuple):
    """One engine for one number of parts."""

    loss: float
    server: catalog.BackendServer
    first_event_seconds: float


class Placement(NamedTuple):
    """A request that is counted on servers."""

    job: work.Job
    """The request."""

    grant: work.Grant
    """Where it was placed."""

    placed_at: float
    """Loop time at which that was."""

    is_prompt: bool
    """Whether its servers are engines."""

    @property
    def instances(self) -> tuple[catalog.Instance, ...]:
        """All servers that take part, the first one first."""
        helpers = (part.server.instance for part in self.grant.helpers)
        return (self.grant.lead.instance, *helpers)


class Placer:
    """Places requests on the servers that a belief names."""

    def __init__(self, belief: knowledge.Knowledge, zone: str) -> None:
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
        self._plain_seconds_by_service: dict[str, float] = {}
        self._placement_by_job: dict[work.JobKey, Placement] = {}
        self._sends_by_cold: dict[catalog.Instance, collections.deque[float]] = {}

    def place(self, job: work.Job, now: float) -> work.Grant | work.Wait | work.Refusal:
        """Choose where a request goes, and count it there.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            The servers, or that there is no room for now, or that there will be none in time.
        """
        configuration = self._belief.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        if service is None:
            return work.Refusal("no_configuration", 1.0)
        servers = self._eligible(job, service, now)
        if not servers:
            return work.Refusal("no_server", 0.5)
        if service.engine is None:
            return self._place_plain(job, servers, now)
        return self._place_prompt(job, servers, service.engine, now)

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
        seconds = self._plain_seconds_by_service.get(job.service, PLAIN_SERVICE_SECONDS)

        def loss(server: catalog.BackendServer) -> float:
            queued = max(0, self._plain_by_instance[server.instance] + 1 - server.slots)
            wait = (1 + queued / server.slots) * seconds
            load = self._plain_by_instance[server.instance] / server.slots
            failing = self.health.failure_ratio(server.instance, now)
            remote = REMOTE_ZONE_LOSS if server.zone != job.zone else 0.0
            return (
                engine_forecast.late_chance(wait, job.goal_seconds)
                + 0.1 * load
                + FAILURE_LOSS_SHARE * failing
                + remote
            )

        best = min(servers, key=loss)
        queued = max(0, self._plain_by_instance[best.instance] + 1 - best.slots)
        wait = queued / best.slots * seconds
        if wait + seconds > job.deadline_seconds:
            return work.Refusal("no_room_in_time", wait)
        # A call that would queue at every server waits here, where it can still be moved.
        if queued > 0:
            return work.Wait(wait)
        grant = work.Grant(best, (), 0, wait + seconds)
        self._plain_by_instance[best.instance] += 1
        self._count(Placement(job, grant, now, is_prompt=False), now)
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
        leads = [
            server
            for server in servers
            if forecasts[server.instance].running < min(spec.slots, server.slots)
        ]
        if not leads:
            return self._wait_for_slot(job, forecasts, spec)
        best: tuple[float, work.Grant] | None = None
        for count in self._part_counts(job, len(servers)):
            option = self._weigh(job, servers, leads, forecasts, spec, count, now)
            if option is not None and (best is None or option[0] < best[0]):
                best = option
        if best is None:
            return self._without_memory(job, servers, forecasts, spec)
        grant = best[1]
        if grant.first_event_seconds > job.deadline_seconds:
            return work.Refusal("no_room_in_time", grant.first_event_seconds / 2)
        self._commit(job, grant, forecasts, now)
        return grant

    def _part_counts(self, job: work.Job, engines: int) -> list[int]:
        if job.prompt_tokens < SPLIT_TOKENS:
            return [1]
        return [count for count in PART_COUNTS if count <= min(engines, MOST_HELPERS + 1)]

    def _weigh(
        self,
        job: work.Job,
        servers: list[catalog.BackendServer],
        leads: list[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        count: int,
        now: float,
    ) -> tuple[float, work.Grant] | None:
        """Return the best choice of a number of engines with its loss; None if none fits."""
        seconds = engine_forecast.read_seconds(spec, job.prompt_tokens, count)
        lead = self._best_lead(job, leads, forecasts, spec, seconds, now)
        if lead is None:
            return None
        helpers = self._best_helpers(
            job, servers, lead.server, forecasts, spec, seconds, count, now
        )
        if len(helpers) < count - 1:
            return None
        reserved = self._reserve(job, lead.server, helpers, forecasts, spec)
        if reserved is None:
            return None
        lead_reserved, parts = reserved
        # The first token follows the last part.
        first = max([lead.first_event_seconds, *(helper.first_event_seconds for helper in helpers)])
        chance = engine_forecast.late_chance(first, job.goal_seconds)
        own = job.value * (engine_forecast.LATE_SHARE * chance + WAIT_LOSS_PER_SECOND * first)
        loss = own + lead.loss + sum(helper.loss for helper in helpers) + PART_LOSS * count
        return loss, work.Grant(lead.server, parts, lead_reserved, first)

    def _best_lead(
        self,
        job: work.Job,
        leads: list[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        seconds: float,
        now: float,
    ) -> _Candidate | None:
        best: _Candidate | None = None
        best_rank = float("inf")
        for server in leads:
            forecast = forecasts[server.instance]
            candidate = self._candidate(job, server, forecast, seconds, now)
            first = candidate.first_event_seconds
            chance = engine_forecast.late_chance(first, job.goal_seconds)
            rank = candidate.loss + job.value * (
                engine_forecast.LATE_SHARE * chance + WAIT_LOSS_PER_SECOND * first
            )
            if not self._fits_whole(job, forecast, spec):
                # A lead that lacks the memory needs reservations elsewhere.
                rank += job.value
            if rank < best_rank:
                best, best_rank = candidate, rank
        return best

    def _candidate(
        self,
        job: work.Job,
        server: catalog.BackendServer,
        forecast: engine_forecast.EngineForecast,
        seconds: float,
        now: float,
    ) -> _Candidate:
        first = forecast.first_event_seconds(now, seconds)
        loss = forecast.harm(now, seconds)
        loss += FAILURE_LOSS_SHARE * job.value * self.health.failure_ratio(server.instance, now)
        running = forecast.running
        loss += CROWDING_LOSS * max(0, running - PACKED_REQUESTS)
        if job.prompt_tokens < SPLIT_TOKENS and running == 0:
            loss += FRESH_ENGINE_LOSS
        if server.zone != job.zone:
            loss += REMOTE_ZONE_LOSS
        return _Candidate(loss, server, first)

    def _best_helpers(
        self,
        job: work.Job,
        servers: list[catalog.BackendServer],
        lead: catalog.BackendServer,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        seconds: float,
        count: int,
        now: float,
    ) -> list[_Candidate]:
        if count == 1:
            return []
        candidates = []
        for server in servers:
            forecast = forecasts[server.instance]
            if server.instance == lead.instance or forecast.helping >= spec.slots:
                continue
            if self.is_cold(server.instance, now):
                continue
            candidates.append(self._candidate(job, server, forecast, seconds, now))

        def rank(candidate: _Candidate) -> float:
            first = candidate.first_event_seconds
            chance = engine_forecast.late_chance(first, job.goal_seconds)
            late = engine_forecast.LATE_SHARE * chance + WAIT_LOSS_PER_SECOND * first
            return candidate.loss + job.value * late

        candidates.sort(key=rank)
        return candidates[: count - 1]

    def _fits_whole(
        self,
        job: work.Job,
        forecast: engine_forecast.EngineForecast,
        spec: catalog.EngineSpec,
    ) -> bool:
        return job.memory_tokens <= self._free_memory(forecast, spec)

    def _free_memory(
        self, forecast: engine_forecast.EngineForecast, spec: catalog.EngineSpec
    ) -> int:
        return int(spec.memory_tokens * MEMORY_SHARE) - forecast.memory_tokens

    def _reserve(
        self,
        job: work.Job,
        lead: catalog.BackendServer,
        helpers: list[_Candidate],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
    ) -> tuple[int, tuple[work.Part, ...]] | None:
        """Split a prompt's memory over its engines; None if it does not fit.

        A prompt that fits into its first engine needs no reservation. Any other has as much
        reserved at each helper as its even share, more where the first engine lacks room.
        """
        free = self._free_memory(forecasts[lead.instance], spec)
        if job.memory_tokens <= free:
            return 0, tuple(work.Part(helper.server, 0) for helper in helpers)
        rest = job.memory_tokens - max(0, free)
        rooms = [self._free_memory(forecasts[helper.server.instance], spec) for helper in helpers]
        if sum(max(0, room) for room in rooms) < rest:
            return None
        parts = []
        for index, helper in enumerate(helpers):
            share = -(-rest // (len(helpers) - index))
            tokens = max(0, min(share, rooms[index]))
            rest -= tokens
            parts.append(work.Part(helper.server, tokens))
        return (0, tuple(parts)) if rest <= 0 else None

    def _wait_for_slot(
        self,
        job: work.Job,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
    ) -> work.Wait | work.Refusal:
        shortest = engine_forecast.read_seconds(spec, job.prompt_tokens, len(forecasts))
        if shortest > job.deadline_seconds:
            return work.Refusal("no_room_in_time", shortest)
        return work.Wait(QUEUE_POSITION_SECONDS)

    def _without_memory(
        self,
        job: work.Job,
        servers: list[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
    ) -> work.Wait | work.Refusal:
        most = int(spec.memory_tokens * MEMORY_SHARE) * len(servers)
        if job.memory_tokens > most:
            return work.Refusal("larger_than_all_engines", 1.0)
        return self._wait_for_slot(job, forecasts, spec)

    def _commit(
        self,
        job: work.Job,
        grant: work.Grant,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        now: float,
    ) -> None:
        spec = forecasts[grant.lead.instance].spec
        seconds = engine_forecast.read_seconds(spec, job.prompt_tokens, 1 + len(grant.helpers))
        reserved = sum(part.reserved_tokens for part in grant.helpers)
        lead_read = engine_forecast.PlacedRead(
            job, now, seconds, is_lead=True, memory_tokens=max(0, job.memory_tokens - reserved)
        )
        forecasts[grant.lead.instance].add(lead_read)
        for part in grant.helpers:
            forecasts[part.server.instance].add(
                engine_forecast.PlacedRead(
                    job, now, seconds, is_lead=False, memory_tokens=part.reserved_tokens
                )
            )
        self._count(Placement(job, grant, now, is_prompt=True), now)

    def _forecast(
        self, server: catalog.BackendServer, spec: catalog.EngineSpec
    ) -> engine_forecast.EngineForecast:
        forecast = self._forecast_by_instance.get(server.instance)
        if forecast is None or forecast.spec != spec:
            forecast = engine_forecast.EngineForecast(spec)
            self._forecast_by_instance[server.instance] = forecast
        return forecast

    # Reports on placed requests

    def _count(self, placement: Placement, now: float) -> None:
        self._placement_by_job[placement.job.key] = placement
        for instance in placement.instances:
            if self.is_cold(instance, now):
                self._sends_by_cold.setdefault(instance, collections.deque()).append(now)

    def adopt(self, job: work.Job, grant: work.Grant, placed_at: float, *, writes: bool) -> None:
        """Count a request that another placer placed.

        Args:
            job: The request.
            grant: Where it was placed.
            placed_at: Loop time at which that was.
            writes: Whether its first event has come.
        """
        if job.key in self._placement_by_job:
            if writes:
                self.on_first_event(job.key, placed_at)
            return
        configuration = self._belief.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        if service is None:
            return
        if service.engine is None:
            self._plain_by_instance[grant.lead.instance] += 1
            self._count(Placement(job, grant, placed_at, is_prompt=False), placed_at)
            return
        servers = (grant.lead, *(part.server for part in grant.helpers))
        forecasts = {server.instance: self._forecast(server, service.engine) for server in servers}
        self._commit(job, grant, forecasts, placed_at)
        if writes:
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

    def on_end(self, key: work.JobKey, outcome: server_health.Outcome, now: float) -> bool:
        """Take a request away from its servers.

        Args:
            key: The request.
            outcome: How it ended there.
            now: Loop time.

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
        return self.health.on_outcome(lead, outcome, now)

    def _end_plain(self, instance: catalog.Instance) -> None:
        self._plain_by_instance[instance] -= 1
        if self._plain_by_instance[instance] <= 0:
            del self._plain_by_instance[instance]

    def placement(self, key: work.JobKey) -> Placement | None:
        """Return where a request was placed.

        Args:
            key: The request.

        Returns:
            The placement; None if the request is not counted.
        """
        return self._placement_by_job.get(key)

    def writes(self, key: work.JobKey) -> bool:
        """Whether a request's first event has come.

        Args:
            key: The request.
        """
        placement = self._placement_by_job.get(key)
        if placement is None or not placement.is_prompt:
            return False
        forecast = self._forecast_by_instance.get(placement.grant.lead.instance)
        read = forecast.reads_by_job.get(key) if forecast else None
        return read is not None and read.writes

    def jobs_of(self, host: str) -> list[work.JobKey]:
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
        for key in self.jobs_of(host):
            if key.incarnation == incarnation and key.number in told:
                counted.add(key.number)
            elif (
                key.incarnation != incarnation
                or now - self._placement_by_job[key].placed_at > UNUSED_SECONDS
            ):
                self.on_end(key, server_health.Outcome.ABANDONED, now)
        return tuple(sorted(told - counted))

    def forget_host(self, host: str, now: float) -> int:
        """Take away the requests of a host that is gone.

        Args:
            host: The host.
            now: Loop time.

        Returns:
            How many were taken away.
        """
        stale = self.jobs_of(host)
        for key in stale:
            self.on_end(key, server_health.Outcome.ABANDONED, now)
        return len(stale)

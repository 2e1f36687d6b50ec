"""Decides which server gets a request, which engines help, and what waits or is refused.

The expected load mixes short prompts, with gaps of a quarter second, and prompts whose prefill
takes an engine seconds; the mix changes within seconds. Each placement minimises the expected loss
of value, of the request itself and of the requests already on the engines, so the set of engines
that prefill long prompts follows the mix.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from dragonflycove.fleet import (
    engine_forecast,
    engine_selection,
    limited_servers,
    plain_servers,
    server_health,
    server_limits,
    work,
)
from dragonflycove.fleet.capacity import engine_evidence, server_paces

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.fleet import catalog, store_view

COLD_RATE_SHARE = 0.7
"""Share of a cold server's rate limit that placements use; other nodes may send to it as well."""

COLD_WINDOW_SECONDS = 1.0
"""Sliding window in which requests to a cold server are counted."""

UNREPORTED_PLACEMENT_SECONDS = 0.8
"""Time after which a placement that its node doesn't report is dropped; grants can be lost."""


class Placer:
    """Places requests on the servers of a store view."""

    def __init__(
        self,
        view: store_view.StoreView,
        zone: str,
        is_suspect: Callable[[int], bool] = lambda _: False,
        cold_share: Callable[[float], float] = lambda _: 1.0,
        limited: limited_servers.LimitedServers | None = None,
        paces: server_paces.ServerPaces | None = None,
    ) -> None:
        """Create a placer without requests.

        Args:
            view: This node's view of configuration and servers.
            zone: Availability zone of this node.
            is_suspect: Returns whether a request, by its fingerprint, may have crashed a server.
            cold_share: Returns this node's share of the rate of cold servers at a loop time; hubs
                that don't reach each other divide it.
            limited: Counts requests towards the limits that servers state; None for no limits.
            paces: What is learned of servers' speed and concurrency; None to place by what they
                declare.
        """
        self._paces = paces
        self._limited = limited or limited_servers.LimitedServers(
            server_limits.ServerLimits(), lambda _: 1.0
        )
        self._cold_share = cold_share
        self._is_suspect = is_suspect
        self._store_view = view
        self._zone = zone
        self.health = server_health.ServerHealth()
        self._forecast_by_instance: dict[catalog.Instance, engine_forecast.EngineForecast] = {}
        self._plain_servers = plain_servers.PlainServers(self.health, paces)
        self._placement_by_job: dict[work.JobKey, work.Placement] = {}
        self._send_times_by_cold_server: dict[catalog.Instance, collections.deque[float]] = {}

    def place(self, job: work.Job, now: float) -> work.Grant | work.Wait | work.Refusal:
        """Choose the servers of a request, and count it towards their load.

        Args:
            job: The request.
            now: Loop time.

        Returns:
            The servers; a wait if there is no capacity now; a refusal if none is expected before
                the deadline.
        """
        service = self._service(job.service)
        if service is None:
            return work.Refusal("no_configuration", 1.0)
        candidates = self._eligible_servers(job, service, now)
        if not candidates:
            return work.Refusal("no_server", 0.5)
        servers = [
            server for server in candidates if self._limited.can_take_request(server.instance, now)
        ]
        if not servers:
            return work.Wait(self.service_seconds(job), is_full=not job.excluded)
        if service.engine is None:
            return self._place_plain(job, servers, now)
        return self._place_prompt(job, servers, service.engine, now)

    def _service(self, name: str) -> catalog.Service | None:
        """Return a configured service; None if it or the configuration is unknown."""
        configuration = self._store_view.configuration
        return configuration.service_by_name.get(name) if configuration else None

    def _eligible_servers(
        self, job: work.Job, service: catalog.Service, now: float
    ) -> list[catalog.BackendServer]:
        """Return the servers that may get a request; suspects only if there are no others."""
        usable = [
            server
            for server in self._store_view.usable_servers(job.service, now)
            if server.instance.server_id not in job.excluded
            and server.slots > 0
            and self._can_take_cold_request(server, service, now)
        ]
        healthy = [server for server in usable if not self.health.is_suspect(server.instance, now)]
        return self._without_other_suspects(job, healthy or usable)

    def rate_capacity(self, job: work.Job, now: float) -> limited_servers.RateCapacity | None:
        """Return what the servers that may get a request take; None if their rate isn't limited.

        Args:
            job: The request.
            now: Loop time.
        """
        service = self._service(job.service)
        if service is None or not self._limited.has_limits:
            return None
        servers = self._eligible_servers(job, service, now)
        if not servers:
            return None
        return self._limited.capacity((server.instance for server in servers), now)

    def service_seconds(self, job: work.Job) -> float:
        """Return the predicted time to the first event of a request on an idle server.

        Args:
            job: The request.
        """
        service = self._service(job.service)
        if service is None or service.engine is None:
            return plain_servers.PLAIN_CALL_SECONDS
        return engine_forecast.prefill_seconds(service.engine, job.prompt_tokens, 1)

    def free_slots(self, service_name: str, now: float) -> int:
        """Return the slots of a service's servers that no request holds.

        Those of suspects count only if there are no other servers, as for placements.

        Args:
            service_name: The service.
            now: Loop time.
        """
        service = self._service(service_name)
        usable = self._store_view.usable_servers(service_name, now)
        healthy = [server for server in usable if not self.health.is_suspect(server.instance, now)]
        servers = healthy or usable
        if service is None or service.engine is None:
            return sum(self._plain_servers.free_slots(server, now) for server in servers)
        free = 0
        for server in servers:
            forecast = self._forecast_by_instance.get(server.instance)
            used = forecast.occupied_slots if forecast is not None else 0
            free += max(0, min(service.engine.slots, self._slots(server, now)) - used)
        return free

    def _slots(self, server: catalog.BackendServer, now: float) -> int:
        """Return how many requests a server takes well at once."""
        if self._paces is None:
            return server.slots
        return self._paces.slots(server.instance, server.slots, now)

    def on_unknown_request(self, instance: catalog.Instance, now: float) -> None:
        """Count a request that ended at a server and whose placement this node didn't know.

        Args:
            instance: The server.
            now: Loop time.
        """
        self._limited.on_request(instance, now)

    def _without_other_suspects(
        self, job: work.Job, servers: list[catalog.BackendServer]
    ) -> list[catalog.BackendServer]:
        """Return the servers that run no other suspect request, if the request is a suspect.

        Two suspects on one server would share the blame for its crash. If all servers run
        suspects, all are returned.
        """
        if not self._is_suspect(job.fingerprint):
            return servers
        taken = {
            placement.grant.lead.instance
            for placement in self._placement_by_job.values()
            if placement.job.fingerprint != job.fingerprint
            and self._is_suspect(placement.job.fingerprint)
        }
        return [server for server in servers if server.instance not in taken] or servers

    def _can_take_cold_request(
        self, server: catalog.BackendServer, service: catalog.Service, now: float
    ) -> bool:
        """Whether another request stays within a server's rate limit, if it is cold."""
        if service.cold_requests_per_second <= 0 or not self.is_cold(server.instance, now):
            return True
        send_times = self._send_times_by_cold_server.get(server.instance)
        if send_times is None:
            return True
        while send_times and send_times[0] <= now - COLD_WINDOW_SECONDS:
            send_times.popleft()
        rate = service.cold_requests_per_second * COLD_RATE_SHARE * self._cold_share(now)
        return len(send_times) < rate

    def is_cold(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server is cold according to its record in the store.

        Args:
            instance: The server.
            now: Loop time.
        """
        return self._store_view.cold_until(instance) > now

    # Plain services

    def _place_plain(
        self, job: work.Job, servers: list[catalog.BackendServer], now: float
    ) -> work.Grant | work.Wait | work.Refusal:
        choice = self._plain_servers.choose(job, servers, now)
        if choice.wait_seconds + choice.service_seconds > job.deadline_seconds:
            return work.Refusal("no_room_in_time", choice.wait_seconds)
        # A call that would queue at every server waits here, where it can still go to any of them.
        if choice.wait_seconds > 0:
            return work.Wait(choice.service_seconds, is_full=not job.excluded)
        grant = work.Grant(choice.server, (), choice.service_seconds)
        self._plain_servers.add(job.key, choice.server)
        self._record_placement(work.Placement(job, grant, now, is_prompt=False), now)
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
        if self._paces is not None:
            for instance, forecast in forecasts.items():
                forecast.set_slowdown(self._paces.slowdown(instance, now), now)

        barred = {
            instance
            for instance in forecasts
            if self._paces is not None and self._paces.is_on_probation(instance, now)
        }

        def may_help(instance: catalog.Instance) -> bool:
            return instance not in barred and not self.is_cold(instance, now)

        def select(
            may_help: Callable[[catalog.Instance], bool],
        ) -> engine_selection.EngineSelection:
            return engine_selection.EngineSelection(
                job,
                servers,
                forecasts,
                spec,
                self.health,
                may_help,
                lambda server: self._slots(server, now),
                now,
            )

        selection = select(
            lambda instance: may_help(instance) and not self._limited.is_limited(instance)
        )
        if not selection.has_free_slot:
            return self._wait_or_refuse(job, forecasts, spec, is_full=not job.excluded)
        grant = selection.choose()
        if grant is None and self._limited.has_limits:
            # Servers in need help only with prompts that don't fit on the others.
            grant = select(may_help).choose()
        if grant is None:
            return self._wait_or_refuse_for_kv_cache(job, servers, forecasts, spec)
        first = grant.first_event_seconds
        first_at_full_engines = selection.first_event_seconds_at_full_engines()
        if min(first, first_at_full_engines) > min(
            job.deadline_seconds, job.next_event_deadline_seconds
        ):
            return work.Refusal("no_room_in_time", min(first, first_at_full_engines) / 2)
        misses_deadline = first > job.next_event_deadline_seconds
        # Behind a long prefill, a free slot may be slower than the next slot of a full engine.
        if misses_deadline or first_at_full_engines <= job.latency_target_seconds < first:
            return self._wait_or_refuse(job, forecasts, spec, is_full=False)
        self._count_on_engines(job, grant, forecasts, now)
        return grant

    def _wait_or_refuse(
        self,
        job: work.Job,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
        *,
        is_full: bool,
    ) -> work.Wait | work.Refusal:
        """Return a wait with the predicted service time, or refuse a prompt that can't be in time.

        It is refused if its prefill, split evenly over all engines in `forecasts` without queueing,
        would take longer than its deadline. `is_full` is passed on to the wait: whether no server of
        the service has a free slot for any request.
        """
        shortest = engine_forecast.prefill_seconds(spec, job.prompt_tokens, len(forecasts))
        if shortest > job.deadline_seconds:
            return work.Refusal("no_room_in_time", shortest)
        part_count = max(
            1, min(len(forecasts), job.prompt_tokens // engine_selection.MIN_SPLIT_TOKENS)
        )
        passes = 2 * max(forecast.declared_pass_seconds() for forecast in forecasts.values())
        seconds = engine_forecast.prefill_seconds(spec, job.prompt_tokens, part_count) + passes
        return work.Wait(seconds, is_full)

    def _wait_or_refuse_for_kv_cache(
        self,
        job: work.Job,
        servers: list[catalog.BackendServer],
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        spec: catalog.EngineSpec,
    ) -> work.Wait | work.Refusal:
        """Return a wait for KV cache, or refuse a prompt that all servers together have no room for.

        Placements use `KV_CACHE_FILL_SHARE` of each KV cache. `_wait_or_refuse` may refuse it as well.
        """
        kv_cache_capacity = int(spec.kv_cache_tokens * engine_selection.KV_CACHE_FILL_SHARE) * len(
            servers
        )
        if job.kv_cache_tokens > kv_cache_capacity:
            return work.Refusal("larger_than_all_engines", 1.0)
        return self._wait_or_refuse(job, forecasts, spec, is_full=False)

    def _count_on_engines(
        self,
        job: work.Job,
        grant: work.Grant,
        forecasts: dict[catalog.Instance, engine_forecast.EngineForecast],
        now: float,
    ) -> None:
        """Count a granted prompt towards its engines' forecasts, and record its placement."""
        spec = forecasts[grant.lead.instance].spec
        seconds = engine_forecast.prefill_seconds(spec, job.prompt_tokens, 1 + len(grant.helpers))
        reserved = sum(part.reserved_tokens for part in grant.helpers)
        tokens_by_instance = {grant.lead.instance: max(0, job.kv_cache_tokens - reserved)}
        tokens_by_instance.update(
            (part.server.instance, part.reserved_tokens) for part in grant.helpers
        )
        for instance, tokens in tokens_by_instance.items():
            placed = engine_forecast.PlacedJob(
                job,
                now,
                seconds,
                is_lead=instance == grant.lead.instance,
                is_split=bool(grant.helpers),
                kv_cache_tokens=tokens,
            )
            forecasts[instance].add(placed)
        self._record_placement(work.Placement(job, grant, now, is_prompt=True), now)

    def _forecast(
        self, server: catalog.BackendServer, spec: catalog.EngineSpec
    ) -> engine_forecast.EngineForecast:
        """Return an engine's forecast; a new, empty one if it has none for `spec`."""
        forecast = self._forecast_by_instance.get(server.instance)
        if forecast is None or forecast.spec != spec:
            forecast = engine_forecast.EngineForecast(spec)
            self._forecast_by_instance[server.instance] = forecast
        return forecast

    # State of placed requests

    def _record_placement(self, placement: work.Placement, now: float) -> None:
        """Record a placement, and count it towards the rate limits of its servers."""
        self._limited.on_placement(placement.grant, now)
        self._placement_by_job[placement.job.key] = placement
        for instance in placement.instances:
            if self.is_cold(instance, now):
                self._send_times_by_cold_server.setdefault(instance, collections.deque()).append(
                    now
                )

    def add_placement(
        self, job: work.Job, grant: work.Grant, placed_at: float, *, is_decoding: bool
    ) -> None:
        """Count a request placed by another node towards its servers' load; update it if known.

        Args:
            job: The request.
            grant: The servers that it was placed on.
            placed_at: Loop time of the placement.
            is_decoding: Whether its first event has arrived.
        """
        if job.key in self._placement_by_job:
            if is_decoding:
                self.on_first_event(job.key, placed_at)
            return
        service = self._service(job.service)
        if service is None:
            return
        if service.engine is None:
            self._plain_servers.add(job.key, grant.lead)
            self._record_placement(
                work.Placement(job, grant, placed_at, is_prompt=False), placed_at
            )
            return
        servers = (grant.lead, *(part.server for part in grant.helpers))
        forecasts = {server.instance: self._forecast(server, service.engine) for server in servers}
        self._count_on_engines(job, grant, forecasts, placed_at)
        if is_decoding:
            self.on_first_event(job.key, placed_at)

    def on_first_event(self, key: work.JobKey, now: float) -> None:
        """Mark a prompt's prefill as complete on all its engines.

        Args:
            key: The request.
            now: Loop time.
        """
        placement = self._placement_by_job.get(key)
        if placement is None:
            return
        if self._paces is not None and placement.is_prompt and not self.is_decoding(key):
            engine_evidence.on_first_event(placement, self._forecast_by_instance, self._paces, now)
        for instance in placement.instances:
            forecast = self._forecast_by_instance.get(instance)
            if forecast is not None:
                forecast.on_first_event(key, now)

    def on_end(
        self,
        key: work.JobKey,
        outcome: server_health.Outcome,
        now: float,
        refusing_helper_id: str = "",
    ) -> bool:
        """Remove a request from its servers, and update their health.

        Args:
            key: The request.
            outcome: How it ended at the lead.
            now: Loop time.
            refusing_helper_id: Id of the server that refused to help; empty for none.

        Returns:
            Whether the outcome made the lead a suspect.
        """
        placement = self._placement_by_job.pop(key, None)
        if placement is None:
            return False
        lead = placement.grant.lead.instance
        if placement.is_prompt:
            self._learn_from_refusal(placement.grant.lead, outcome, now)
            for instance in placement.instances:
                forecast = self._forecast_by_instance.get(instance)
                if forecast is not None:
                    forecast.remove(key, now)
        else:
            seconds = now - placement.placed_at
            self._plain_servers.end(key, placement.grant.lead, outcome, seconds, now)
        for instance in placement.instances:
            if instance.server_id == refusing_helper_id:
                self.health.on_outcome(instance, server_health.Outcome.HELP_REFUSED, now)
        return self.health.on_outcome(lead, outcome, now)

    def _learn_from_refusal(
        self, lead: catalog.BackendServer, outcome: server_health.Outcome, now: float
    ) -> None:
        forecast = self._forecast_by_instance.get(lead.instance)
        if outcome is server_health.Outcome.FULL and self._paces is not None and forecast:
            self._paces.on_full(lead.instance, forecast.occupied_slots, lead.slots, now)

    def check_silence(self, now: float) -> None:
        """Learn from engines that have sent nothing though an event is overdue.

        Args:
            now: Loop time.
        """
        if self._paces is not None:
            for instance, forecast in self._forecast_by_instance.items():
                engine_evidence.on_silence(instance, forecast, self._paces, now)

    def pass_times(self, instance: catalog.Instance, now: float) -> server_paces.PassTimes | None:
        """Return the declared times of an engine's passes; None if nothing was placed there.

        Args:
            instance: The engine.
            now: Loop time.
        """
        forecast = self._forecast_by_instance.get(instance)
        return None if forecast is None else engine_evidence.pass_times(forecast, now)

    def placement(self, key: work.JobKey) -> work.Placement | None:
        """Return the placement of a request.

        Args:
            key: The request.

        Returns:
            The placement; None if the request doesn't count towards the load.
        """
        return self._placement_by_job.get(key)

    def is_decoding(self, key: work.JobKey) -> bool:
        """Whether a prompt's first event has arrived; False for plain calls.

        Args:
            key: The request.
        """
        placement = self._placement_by_job.get(key)
        if placement is None or not placement.is_prompt:
            return False
        forecast = self._forecast_by_instance.get(placement.grant.lead.instance)
        placed = forecast.placed_by_key.get(key) if forecast else None
        return placed is not None and placed.is_decoding

    def job_keys_of(self, host: str) -> list[work.JobKey]:
        """Return the requests of one host's node that count towards the servers' load.

        Args:
            host: The host.
        """
        return [key for key in self._placement_by_job if key.host == host]

    def reconcile(
        self, host: str, incarnation: int, numbers: Iterable[int], now: float
    ) -> tuple[int, ...]:
        """Stop counting a host's requests that its node doesn't report.

        Args:
            host: The host.
            incarnation: Incarnation of its process.
            numbers: Numbers of the requests that it reports.
            now: Loop time.

        Returns:
            Numbers of the reported requests that this node doesn't count.
        """
        reported = set(numbers)
        counted = set()
        for key in self.job_keys_of(host):
            if key.incarnation == incarnation and key.number in reported:
                counted.add(key.number)
            elif (
                key.incarnation != incarnation
                or now - self._placement_by_job[key].placed_at > UNREPORTED_PLACEMENT_SECONDS
            ):
                self.on_end(key, server_health.Outcome.ABANDONED, now)
        return tuple(sorted(reported - counted))

    def remove_host(self, host: str, now: float) -> int:
        """Remove the requests of a host whose node is unresponsive.

        Args:
            host: The host.
            now: Loop time.

        Returns:
            Number of removed requests.
        """
        keys = self.job_keys_of(host)
        for key in keys:
            self.on_end(key, server_health.Outcome.ABANDONED, now)
        return len(keys)

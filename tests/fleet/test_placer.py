"""Placements of single requests, and of heavy mixes against the engine forecasts."""

from __future__ import annotations

import random

import pytest

from dragonflycove.fleet import engine_forecast, placer, roster, server_health, work
from tests.fleet import builders, test_roster


def make_placer(count: int = 14) -> placer.Placer:
    """Return a placer for some engines and three plain servers."""
    plain = [builders.server(f"p{n}", service="plain", slots=6) for n in range(3)]
    return placer.Placer(builders.view(*builders.engines(count), *plain), "z1")


def place_granted(fleet_placer: placer.Placer, job: work.Job, now: float = 0.0) -> work.Grant:
    """Place a request for which there must be capacity."""
    decision = fleet_placer.place(job, now)
    assert isinstance(decision, work.Grant), decision
    return decision


def test_prefill_times_match_the_specification() -> None:
    # On one engine, 133,000 tokens take about 1.9 s and 45,000 about 0.36 s.
    assert engine_forecast.prefill_seconds(builders.ENGINE, 133_000, 1) == pytest.approx(
        1.87, abs=0.05
    )
    assert engine_forecast.prefill_seconds(builders.ENGINE, 45_000, 1) == pytest.approx(
        0.36, abs=0.02
    )


def _forecast(*prefills: tuple[int, float, float, bool]) -> engine_forecast.EngineForecast:
    """Return an engine with prefills: number, time of placement, seconds, whether split."""
    forecast = engine_forecast.EngineForecast(builders.ENGINE)
    for number, at, seconds, split in prefills:
        job = builders.job(number, tokens=200_000, latency_target=3.0, gap_target=1.0)
        forecast.add(
            engine_forecast.PlacedJob(
                job, at, seconds, is_lead=not split, is_split=split, kv_cache_tokens=1
            )
        )
    return forecast


def test_parts_of_a_split_prompt_are_prefilled_before_complete_prompts() -> None:
    # Guards against too short a forecast: 2.1 s were predicted for a prompt that took 5.4 s.
    forecast = _forecast((1, 0.0, 2.0, False), (2, 0.3, 3.0, True))
    assert forecast.backlog_seconds(0.3) == pytest.approx(4.7)
    forecast.on_first_event(work.JobKey("n1", 1, 2), 3.3)
    assert forecast.backlog_seconds(3.3) == pytest.approx(1.7)


def test_the_newest_part_is_prefilled_first_and_delays_the_others() -> None:
    # Guards against too short a forecast: 1.6 s were predicted for a part that waited 4.8 s behind
    # parts that were placed later.
    forecast = _forecast((1, 0.0, 1.5, True))
    assert forecast.backlog_seconds(0.5, is_split=True) == 0.0
    assert forecast.loss_to_others(0.5, 2.0, is_split=True) > 10.0
    forecast = _forecast((1, 0.0, 1.5, True), (2, 0.5, 1.0, True))
    forecast.on_first_event(work.JobKey("n1", 1, 2), 1.5)
    assert forecast.backlog_seconds(1.5) == pytest.approx(1.0)


def test_a_part_waits_for_the_pass_that_prefills_another_beside_a_stream() -> None:
    # Guards against too short a forecast: of 42 split prompts that were placed on engines with a
    # prefill of seconds beside streams, 34 took more than twice the predicted time.
    forecast = _forecast((1, 0.0, 0.1, False))
    forecast.on_first_event(work.JobKey("n1", 1, 1), 0.1)
    job = builders.job(2, tokens=600_000, latency_target=3.0, gap_target=1.0)
    forecast.add(
        engine_forecast.PlacedJob(job, 0.2, 3.0, is_lead=False, is_split=True, kv_cache_tokens=1)
    )
    assert forecast.first_event_seconds(1.2, 0.1, is_split=True) > 2.0
    # What is placed later goes first in the next pass, whole prompts after it.
    newer = builders.job(3, tokens=20_000, latency_target=0.4, gap_target=0.25)
    forecast.add(
        engine_forecast.PlacedJob(newer, 1.2, 0.1, is_lead=True, is_split=True, kv_cache_tokens=1)
    )
    assert forecast.backlog_seconds(1.2, is_split=True) == pytest.approx(2.0)
    assert forecast.backlog_seconds(1.2) == pytest.approx(2.1)
    assert forecast.backlog_seconds(3.25, is_split=True) == pytest.approx(0.05)


def test_a_new_part_waits_at_a_helper_of_a_stream_elsewhere_as_well() -> None:
    # Without it, forecasts were as short as without passes: scale-1 of the large site's small twin
    # served 0.748 instead of 0.828.
    forecast = _forecast((1, 0.0, 0.1, True))
    forecast.on_first_event(work.JobKey("n1", 1, 1), 0.1)
    job = builders.job(2, tokens=600_000, latency_target=3.0, gap_target=1.0)
    forecast.add(
        engine_forecast.PlacedJob(job, 0.2, 3.0, is_lead=False, is_split=True, kv_cache_tokens=1)
    )
    assert forecast.backlog_seconds(1.2, is_split=True) == pytest.approx(2.0)


def test_a_prefill_costs_streams_less_at_an_engine_that_prefills_already() -> None:
    # Guards against a forecast that charged a stream with the next pass alone: prefills spread over
    # more engines, and in `measure heavy` streams of the usual load were given up.
    forecast = _forecast((1, 0.0, 0.1, False))
    forecast.on_first_event(work.JobKey("n1", 1, 1), 0.1)
    idle_loss = forecast.loss_to_others(0.2, 3.0, is_split=True)
    job = builders.job(2, tokens=600_000, latency_target=3.0, gap_target=1.0)
    forecast.add(
        engine_forecast.PlacedJob(job, 0.2, 3.0, is_lead=False, is_split=True, kv_cache_tokens=1)
    )
    assert forecast.loss_to_others(0.2, 3.0, is_split=True) < 0.5 * idle_loss


def test_short_prompts_are_packed_so_that_engines_stay_free() -> None:
    fleet_placer = make_placer()
    used = {place_granted(fleet_placer, builders.job(n)).lead.instance for n in range(8)}
    assert len(used) <= 3


def test_a_long_prompt_is_split_to_meet_its_latency_target() -> None:
    grant = place_granted(
        make_placer(), builders.job(1, tokens=133_000, latency_target=3.0, gap_target=1.0)
    )
    assert len(grant.helpers) >= 3
    assert grant.first_event_seconds < 1.0


def test_a_long_prompt_avoids_engines_that_decode_short_requests() -> None:
    fleet_placer = make_placer(6)
    shorts = [place_granted(fleet_placer, builders.job(n)) for n in range(4)]
    for n in range(4):
        fleet_placer.on_first_event(work.JobKey("n1", 1, n), 0.1)
    long = place_granted(
        fleet_placer, builders.job(9, tokens=300_000, latency_target=3.0, gap_target=1.0), 0.2
    )
    busy = {grant.lead.instance for grant in shorts}
    assert busy.isdisjoint({long.lead.instance, *(p.server.instance for p in long.helpers)})


def test_a_short_prompt_avoids_an_engine_that_prefills_a_long_one() -> None:
    fleet_placer = make_placer(3)
    long = place_granted(
        fleet_placer, builders.job(1, tokens=110_000, latency_target=1.5, gap_target=0.6)
    )
    prefilling = {long.lead.instance, *(part.server.instance for part in long.helpers)}
    short = place_granted(fleet_placer, builders.job(2), 0.01)
    assert short.lead.instance not in prefilling or len(prefilling) == 3


def test_short_prompts_avoid_an_engine_that_only_decodes_a_long_request() -> None:
    # An engine without short requests can prefill the next long prompt without delaying any.
    fleet_placer = make_placer(2)
    # The engine with the long request is in the caller's zone, which would attract short prompts.
    first = place_granted(fleet_placer, builders.job(0, excluded=("e1",)))
    excluded = (first.lead.instance.server_id,)
    long = place_granted(
        fleet_placer,
        builders.job(1, tokens=7_900, latency_target=3.0, gap_target=1.0, excluded=excluded),
    )
    fleet_placer.on_first_event(work.JobKey("n1", 1, 1), 0.1)
    shorts = [place_granted(fleet_placer, builders.job(2 + n), 0.2 + n / 10) for n in range(6)]
    assert long.lead not in [grant.lead for grant in shorts]


def test_a_prompt_over_one_engines_kv_cache_reserves_the_rest_elsewhere() -> None:
    grant = place_granted(
        make_placer(),
        builders.job(1, tokens=600_000, latency_target=3.0, gap_target=1.0, deadline=15.0),
    )
    reserved = sum(part.reserved_tokens for part in grant.helpers)
    assert reserved >= 600_000 - builders.ENGINE.kv_cache_tokens
    assert all(p.reserved_tokens <= builders.ENGINE.kv_cache_tokens for p in grant.helpers)


def test_a_prompt_over_the_kv_cache_of_all_engines_is_refused_at_once() -> None:
    decision = make_placer(2).place(
        builders.job(1, tokens=600_000, latency_target=3.0, deadline=15.0), 0.0
    )
    assert isinstance(decision, work.Refusal)
    assert decision.reason == "larger_than_all_engines"


def test_no_engine_runs_more_than_its_slots() -> None:
    fleet_placer = make_placer(2)
    decisions = [fleet_placer.place(builders.job(n), 0.0) for n in range(20)]
    assert sum(isinstance(one, work.Grant) for one in decisions) == 16
    assert all(isinstance(one, work.Wait) for one in decisions[16:])


def test_ended_requests_free_their_slots() -> None:
    fleet_placer = make_placer(1)
    for n in range(8):
        place_granted(fleet_placer, builders.job(n))
    assert isinstance(fleet_placer.place(builders.job(8), 0.0), work.Wait)
    fleet_placer.on_end(work.JobKey("n1", 1, 3), server_health.Outcome.ANSWERED, 1.0)
    place_granted(fleet_placer, builders.job(8), 1.0)


def test_a_suspect_is_used_only_if_there_is_no_other_server() -> None:
    fleet_placer = make_placer(2)
    first = place_granted(fleet_placer, builders.job(1))
    fleet_placer.on_end(work.JobKey("n1", 1, 1), server_health.Outcome.BROKEN, 0.1)
    others = {place_granted(fleet_placer, builders.job(n), 0.2).lead for n in range(2, 10)}
    assert first.lead not in others
    excluded = tuple(server.instance.server_id for server in others)
    last = place_granted(fleet_placer, builders.job(10, excluded=excluded), 0.2)
    assert last.lead == first.lead


def test_a_server_that_fails_many_requests_gets_few() -> None:
    fleet_placer = make_placer(4)
    for n in range(60):
        grant = place_granted(fleet_placer, builders.job(n), n * 0.1)
        is_grey = grant.lead.instance.server_id == "e1"
        outcome = server_health.Outcome.SERVER_ERROR if is_grey else server_health.Outcome.ANSWERED
        fleet_placer.on_end(work.JobKey("n1", 1, n), outcome, n * 0.1 + 0.05)
    later_ids = [
        place_granted(fleet_placer, builders.job(100 + n), 6.0).lead.instance.server_id
        for n in range(9)
    ]
    assert later_ids.count("e1") <= 1


def test_a_cold_server_gets_no_more_than_its_rate_limit() -> None:
    view = builders.view(builders.server("e0")._replace(cold_seconds=3.0, slots=100))
    service = view.configuration.service_by_name["svc"]  # type: ignore[union-attr]
    wide = service._replace(engine=builders.ENGINE._replace(slots=100))
    view.configuration.service_by_name["svc"] = wide  # type: ignore[union-attr]
    fleet_placer = placer.Placer(view, "z1")
    placed = 0
    for n in range(60):
        placed += isinstance(fleet_placer.place(builders.job(n, tokens=10), n * 0.01), work.Grant)
    assert placed <= 28 * placer.COLD_RATE_SHARE + 1


def test_a_peers_request_is_dropped_when_its_node_no_longer_reports_it() -> None:
    fleet_placer = make_placer(1)
    for n in range(8):
        place_granted(fleet_placer, builders.job(n, host="n2"))
    reported = [0, 1, 2]
    assert fleet_placer.reconcile("n2", 1, [*reported, 77], 0.1) == (77,)
    assert len(fleet_placer.job_keys_of("n2")) == 8, "fresh placements may still be on their way"
    fleet_placer.reconcile("n2", 1, reported, 5.0)
    assert len(fleet_placer.job_keys_of("n2")) == 3
    fleet_placer.reconcile("n2", 2, [], 5.0)
    assert fleet_placer.job_keys_of("n2") == []


def test_plain_calls_spread_over_servers_and_wait_where_all_are_full() -> None:
    fleet_placer = make_placer()
    jobs = [builders.job(n, tokens=0, service="plain", latency_target=0.15) for n in range(19)]
    servers = [place_granted(fleet_placer, job).lead.instance.server_id for job in jobs[:18]]
    assert {servers.count(name) for name in set(servers)} == {6}
    assert isinstance(fleet_placer.place(jobs[18], 0.0), work.Wait)


def busy_engines(count: int, *, prefilling: int) -> placer.Placer:
    """Return engines full of short requests; the first ones prefill for four seconds instead."""
    fleet_placer = make_placer(count)
    others = tuple(f"e{n}" for n in range(prefilling, count))
    for n in range(prefilling):
        excluded = tuple(f"e{m}" for m in range(prefilling) if m != n)
        long = builders.job(
            900 + n,
            tokens=200_000,
            latency_target=6.0,
            gap_target=1.0,
            deadline=15.0,
            excluded=others + excluded,
        )
        place_granted(fleet_placer, long)
    prefilling_ids = tuple(f"e{n}" for n in range(prefilling))
    for n in range((count - prefilling) * 8):
        place_granted(fleet_placer, builders.job(n, excluded=prefilling_ids))
        fleet_placer.on_first_event(work.JobKey("n1", 1, n), 0.0)
    return fleet_placer


def test_a_short_prompt_waits_for_a_slot_rather_than_behind_a_long_prefill() -> None:
    fleet_placer = busy_engines(4, prefilling=2)
    assert isinstance(
        fleet_placer.place(builders.job(500, next_event_deadline=1.4), 0.1), work.Wait
    )
    fleet_placer.on_end(work.JobKey("n1", 1, 3), server_health.Outcome.ANSWERED, 0.2)
    grant = place_granted(fleet_placer, builders.job(500, next_event_deadline=1.4), 0.2)
    assert grant.first_event_seconds < 0.3


def test_a_short_prompt_is_refused_at_once_if_all_prefills_outlast_its_deadline() -> None:
    fleet_placer = busy_engines(2, prefilling=2)
    refusal = fleet_placer.place(builders.job(500, next_event_deadline=1.4), 0.1)
    assert isinstance(refusal, work.Refusal)
    assert refusal.retry_after_seconds > 1.0


def test_a_stream_that_has_started_is_not_refused_while_all_engines_prefill() -> None:
    fleet_placer = busy_engines(2, prefilling=2)
    started = builders.job(
        500,
        latency_target=work.MIN_LATENCY_TARGET_SECONDS,
        next_event_deadline=9.0,
        has_started=True,
    )
    assert not isinstance(fleet_placer.place(started, 0.1), work.Refusal)


def test_a_prompt_that_misses_its_target_anyway_delays_few_engines() -> None:
    fleet_placer = make_placer(6)
    for n in range(42):
        place_granted(fleet_placer, builders.job(n))
        fleet_placer.on_first_event(work.JobKey("n1", 1, n), 0.05)
    giant = builders.job(
        500,
        tokens=364_000,
        latency_target=3.0,
        gap_target=1.0,
        deadline=15.0,
        next_event_deadline=8.4,
    )
    grant = place_granted(fleet_placer, giant, 0.1)
    assert len(grant.helpers) <= 1


def test_long_prompts_prefer_engines_whose_requests_have_missed_their_targets() -> None:
    fleet_placer = make_placer(2)
    for n in range(8):
        engine = f"e{n % 2}"
        is_late = engine == "e1"
        latency_target = work.MIN_LATENCY_TARGET_SECONDS if is_late else 0.3
        place_granted(
            fleet_placer,
            builders.job(n, latency_target=latency_target, excluded=("e0" if is_late else "e1",)),
        )
        fleet_placer.on_first_event(work.JobKey("n1", 1, n), 0.05)
    long = builders.job(500, tokens=120_000, latency_target=3.0, gap_target=1.0, deadline=15.0)
    grant = place_granted(fleet_placer, long, 0.1)
    assert [grant.lead.instance.server_id, grant.helpers] == ["e1", ()]


def test_an_engine_that_refused_to_help_is_not_chosen_as_helper_for_a_while() -> None:
    # A draining engine refuses to help while a store outage hides its state.
    fleet_placer = make_placer(4)
    long = builders.job(1, tokens=133_000, latency_target=3.0, gap_target=1.0, deadline=15.0)
    refusing = place_granted(fleet_placer, long).helpers[0].server.instance
    fleet_placer.on_end(
        long.key,
        server_health.Outcome.ABANDONED,
        0.01,
        refusing_helper_id=refusing.server_id,
    )
    again = place_granted(
        fleet_placer, builders.job(2, tokens=133_000, latency_target=3.0, gap_target=1.0), 3.0
    )
    assert again.helpers
    assert refusing not in [one.server.instance for one in again.helpers]


class _Engines:
    """Runs a mix of requests through a placer.

    First events follow the forecasts at the time of placement, so the test checks the policy and
    not the forecasts.
    """

    def __init__(self, fleet_placer: placer.Placer) -> None:
        self._placer = fleet_placer
        self.missed_by_kind: dict[str, int] = {"short": 0, "long": 0}
        self.asked_by_kind: dict[str, int] = {"short": 0, "long": 0}
        self._ends: list[tuple[float, work.JobKey]] = []

    def arrive(self, number: int, kind: str, now: float, rng: random.Random) -> None:
        """Place one request, and count it as missed if it isn't placed or misses its target."""
        for ends_at, key in [one for one in self._ends if one[0] <= now]:
            self._placer.on_end(key, server_health.Outcome.ANSWERED, ends_at)
        self._ends = [one for one in self._ends if one[0] > now]
        if kind == "short":
            job = builders.job(number, tokens=int(rng.lognormvariate(8.1, 0.9)) + 40)
            decode_seconds = 1.6
        else:
            tokens = min(600_000, int(rng.lognormvariate(11.6, 0.5)))
            job = builders.job(
                number, tokens=tokens, latency_target=3.0, gap_target=1.0, deadline=15.0
            )
            decode_seconds = 1.2
        self.asked_by_kind[kind] += 1
        decision = self._placer.place(job, now)
        if not isinstance(decision, work.Grant):
            self.missed_by_kind[kind] += 1
            return
        first = decision.first_event_seconds
        self.missed_by_kind[kind] += first > job.latency_target_seconds
        self._ends.append((now + first + decode_seconds, job.key))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("shorts", "longs"), [(37.0, 0.1), (5.0, 2.0), (15.0, 0.7)])
def test_heavy_mixes_meet_their_latency_targets(shorts: float, longs: float, seed: int) -> None:
    # The specification's heaviest mixes on 14 engines: shorts at 2.5 times, then long prompts at
    # 2.8 times.
    rng = random.Random(seed)
    fleet_placer = make_placer(14)
    engines = _Engines(fleet_placer)
    now, number = 0.0, 0
    while now < 20.0:
        now += rng.expovariate(shorts + longs)
        kind = "short" if rng.random() < shorts / (shorts + longs) else "long"
        engines.arrive(number, kind, now, rng)
        number += 1
    assert engines.missed_by_kind["short"] <= 0.05 * engines.asked_by_kind["short"]
    assert engines.missed_by_kind["long"] <= max(1, 0.1 * engines.asked_by_kind["long"])


def test_suspect_requests_run_on_different_servers_while_there_are_others() -> None:
    suspects = {1, 2, 3}
    fleet_placer = placer.Placer(
        builders.view(*builders.engines(2)), "z1", lambda fingerprint: fingerprint in suspects
    )
    jobs = [builders.job(n)._replace(fingerprint=n) for n in (1, 2, 3, 4)]
    leads = [place_granted(fleet_placer, job).lead.instance for job in jobs]
    assert leads[0] != leads[1]
    # With all servers taken by suspects, a further one runs beside one of them.
    assert leads[2] in leads[:2]
    fleet_placer.on_end(jobs[0].key, server_health.Outcome.ANSWERED, 1.0)
    fleet_placer.on_end(jobs[2].key, server_health.Outcome.ANSWERED, 1.0)
    again = place_granted(fleet_placer, builders.job(5)._replace(fingerprint=3), 1.0)
    assert again.lead.instance != leads[1]


@pytest.mark.parametrize("groups", [[[0, 1], [2, 3], [4, 5, 6]], [[n] for n in range(7)]])
def test_hubs_cut_off_from_each_other_keep_to_the_rate_of_a_cold_server(
    groups: list[list[int]],
) -> None:
    placed = 0
    for group in groups:
        nodes = roster.Roster(test_roster.member(group[0]))
        for other in range(7):
            if other != group[0]:
                test_roster.hear(nodes, other, 0.0)
        for other in group[1:]:
            test_roster.hear(nodes, other, 20.0)
        cold = builders.server("e0")._replace(cold_seconds=60.0)
        hub = placer.Placer(builders.view(cold), "z1", cold_share=nodes.placing_share)
        for number in range(60):
            decision = hub.place(builders.job(number), 20.0)
            if isinstance(decision, work.Grant):
                placed += 1
                hub.on_end(work.JobKey("n1", 1, number), server_health.Outcome.ANSWERED, 20.0)
    assert placed <= 28.0 * 1.5 + 5


def test_a_hub_that_reaches_all_nodes_uses_the_whole_rate_of_a_cold_server() -> None:
    nodes = roster.Roster(test_roster.member(0))
    for other in range(1, 7):
        test_roster.hear(nodes, other, 20.0)
    assert nodes.placing_share(20.0) == 1.0
    assert roster.Roster(test_roster.member(0)).placing_share(20.0) == pytest.approx(0.1)


def test_nodes_that_place_while_no_hub_responds_keep_to_the_rate_of_a_cold_server() -> None:
    members = [test_roster.member(number) for number in range(7)]
    placed = 0
    for own in members:
        nodes = roster.Roster(own)
        for other in members:
            nodes.mark_running(other, 20.0, is_ready=True, is_leaving=False)
        cold = builders.server("e0")._replace(cold_seconds=60.0, slots=200)
        node = placer.Placer(builders.view(cold), "z1", cold_share=nodes.placing_share)
        for number in range(60):
            grant = node.place(builders.job(number, tokens=10, host=own.host), 20.0)
            placed += isinstance(grant, work.Grant)
            node.on_end(work.JobKey(own.host, 1, number), server_health.Outcome.ANSWERED, 20.0)
    assert placed <= 28.0 * 1.5 + 5

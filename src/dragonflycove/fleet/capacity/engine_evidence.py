"""What passes and first events say of engines, given what was placed there.

Waiting behind other requests makes an event late as a slow engine does. What is known of the load
decides which of the two explains it; a split prompt waits for the slowest of its engines, so its
first event blames one only if nothing else explains it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.fleet import engine_forecast
from dragonflycove.fleet.capacity import bounded_pace, server_paces

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.fleet import catalog, work

MAX_EARLY_SHARE = 0.8
"""Share of its declared time under which a first event's time is taken for wrong, not for fast."""

REMOTE_CONTEXT_FACTOR = 2.0
"""Assumed upper limit of a pass with a stream whose context is partly on other engines, as a
multiple of one without; the time per step to reach them isn't known."""

LATE_FACTOR = 2.0
"""Time to a split prompt's first event, as a multiple of what is known to explain it, that blames
the one engine of which nothing is known."""

MAX_SILENT_SLOWDOWN = 4.0
"""Upper limit of the slowdown that silence shows; an engine may also stall for a second or two."""

BLAME_SAMPLES = 2
"""Passes that a blamed split prompt counts for; two such prompts are needed."""


def pass_times(forecast: engine_forecast.EngineForecast, now: float) -> server_paces.PassTimes:
    """Return the declared times of an engine's passes.

    Args:
        forecast: What is placed there.
        now: Loop time.
    """
    spec = forecast.spec
    since = now - bounded_pace.PREFILL_MEMORY_SECONDS
    sequences = leads = least_context = most_context = 0
    prefill_seconds = 0.0
    has_remote_context = False
    for placed in (*forecast.placed_by_key.values(), *forecast.ended_since(since)):
        most_context += placed.job.kv_cache_tokens if placed.is_lead else placed.kv_cache_tokens
        leads += placed.is_lead
        has_remote_context |= placed.is_lead and placed.kv_cache_tokens < placed.job.kv_cache_tokens
        if placed.first_event_at > since:
            prefill_seconds += placed.prefill_seconds
    for placed in forecast.placed_by_key.values():
        if placed.is_lead and placed.first_event_at <= since:
            sequences += 1
            least_context += max(0, placed.kv_cache_tokens - placed.job.output_tokens)
    shortest = engine_forecast.step_seconds(spec, 1, 0)
    least = engine_forecast.step_seconds(spec, sequences, least_context)
    most = engine_forecast.step_seconds(spec, leads, most_context)
    if has_remote_context:
        most *= REMOTE_CONTEXT_FACTOR
    steps = spec.steps_per_pass
    return server_paces.PassTimes(shortest * steps, least * steps, most * steps, prefill_seconds)


def on_silence(
    instance: catalog.Instance,
    forecast: engine_forecast.EngineForecast,
    paces: server_paces.ServerPaces,
    now: float,
) -> None:
    """Take in that an engine has sent nothing, if a prompt that it prefills alone is overdue.

    A slow engine in the prefill of a long prompt sends nothing for seconds.

    Args:
        instance: The engine.
        forecast: What is placed there.
        paces: Takes the evidence.
        now: Loop time.
    """
    pending = [one for one in forecast.placed_by_key.values() if not one.is_decoding]
    alone = [one.placed_at for one in pending if one.is_lead and not one.is_split]
    if not alone:
        return
    times = pass_times(forecast, now)
    if now - min(alone) < LATE_FACTOR * (times.most + times.shortest):
        return
    since = max(paces.heard_at(instance), min(one.placed_at for one in pending))
    lower = min(MAX_SILENT_SLOWDOWN, (now - since) / (times.prefills + 2 * times.most))
    if lower >= bounded_pace.SLOW:
        bounds = bounded_pace.Bounds(lower, float("inf"), bounded_pace.MIN_SAMPLES)
        paces.on_bounds(instance, bounds, now)


def on_first_event(
    placement: work.Placement,
    forecasts: Mapping[catalog.Instance, engine_forecast.EngineForecast],
    paces: server_paces.ServerPaces,
    now: float,
) -> None:
    """Take in the time to a prompt's first event, before it is marked in the forecasts.

    It bounds the slowdown of all its engines from above. From below, it bounds only the one engine
    of which nothing is known, if what is known of the others doesn't explain the time.

    Args:
        placement: The prompt and its engines.
        forecasts: What is placed at each engine.
        paces: Takes the evidence.
        now: Loop time of the first event.
    """
    seconds = now - placement.placed_at
    paces.on_sign(placement.grant.lead.instance, now)
    explained = 0.0
    unknown: list[tuple[catalog.Instance, float, float]] = []
    for instance in placement.instances:
        forecast = forecasts.get(instance)
        placed = forecast.placed_by_key.get(placement.job.key) if forecast else None
        if forecast is None or placed is None:
            return
        declared = placed.prefill_seconds + forecast.declared_pass_seconds()
        if seconds < MAX_EARLY_SHARE * declared:
            return
        times = pass_times(forecast, now)
        if times.shortest <= 0:
            return
        waited = times.prefills + 2 * times.most
        if paces.is_known(instance, now):
            explained = max(explained, waited * paces.slowdown(instance, now))
        else:
            explained = max(explained, waited)
            unknown.append((instance, seconds / waited, seconds / declared))
        upper = seconds / (placed.prefill_seconds + times.shortest)
        paces.on_bounds(instance, bounded_pace.Bounds(0.0, upper, 1), now)
    if len(placement.instances) == 1 or len(unknown) != 1 or seconds < LATE_FACTOR * explained:
        return
    instance, lower, upper = unknown[0]
    paces.on_bounds(instance, bounded_pace.Bounds(lower, upper, BLAME_SAMPLES), now)

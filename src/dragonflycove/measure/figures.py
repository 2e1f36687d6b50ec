"""Statistics of simulated requests: percentiles of the time to first token, outcomes, goodput."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.measure import simulation

LENGTH_BOUNDS_TOKENS = (1_000, 8_192, 32_000, 100_000, 400_000, 1_000_001)
"""Lower bounds of the length buckets, prompt tokens; the last one is the upper bound of all."""


class FirstToken(TypedDict):
    """Percentiles of the time to first token of a set of requests, seconds."""

    name: str
    answered: int
    """Number of requests with a first token."""
    p50: float
    p95: float
    p99: float


class Ends(TypedDict):
    """Outcome counts of the requests of one kind."""

    kind: str
    offered: int
    """Number of requests that arrived."""
    admitted: int
    answered: int
    """Number of requests that got their complete output before their deadline."""
    failed_after_admission: int
    reasons: dict[str, int]
    """Number of refusals and failures by reason."""


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile by nearest rank.

    Args:
        values: The values.
        share: The percentile as a fraction from 0 to 1.

    Returns:
        The percentile, rounded to 3 decimals; -1 if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return -1.0
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def first_token(name: str, records: Iterable[simulation.RequestRecord]) -> FirstToken:
    """Return percentiles of the time to first token.

    Args:
        name: Name of the set in the result.
        records: The requests; those without a first token are ignored.

    Returns:
        The percentiles; `answered` counts the requests with a first token.
    """
    times = [r.first_token_seconds for r in records if r.first_token_seconds is not None]
    return FirstToken(
        name=name,
        answered=len(times),
        p50=percentile(times, 0.5),
        p95=percentile(times, 0.95),
        p99=percentile(times, 0.99),
    )


def first_tokens_by_length(records: Iterable[simulation.RequestRecord]) -> list[FirstToken]:
    """Return percentiles of the time to first token by prompt length.

    Args:
        records: The requests.

    Returns:
        The percentiles of each bucket of `LENGTH_BOUNDS_TOKENS`.
    """
    everything = list(records)
    results = []
    for low, high in zip(LENGTH_BOUNDS_TOKENS, LENGTH_BOUNDS_TOKENS[1:], strict=False):
        bucket = [r for r in everything if low <= r.arrival.request.prompt_tokens < high]
        results.append(first_token(f"{low // 1_000}k-{high // 1_000}k", bucket))
    return results


def count_ends(kind: str, records: Iterable[simulation.RequestRecord]) -> Ends:
    """Count the outcomes of the requests of one kind.

    Args:
        kind: Name of the kind.
        records: Requests of all kinds.

    Returns:
        The counts; `reasons` counts refusals and failures by reason.
    """
    selected = [r for r in records if r.arrival.kind == kind]
    reasons = collections.Counter(r.reason.value for r in selected if r.reason is not None)
    return Ends(
        kind=kind,
        offered=len(selected),
        admitted=sum(r.was_admitted for r in selected),
        answered=sum(r.reason is None for r in selected),
        failed_after_admission=sum(r.was_admitted and r.reason is not None for r in selected),
        reasons=dict(sorted(reasons.items())),
    )


def answered_share(records: Iterable[simulation.RequestRecord]) -> float:
    """Return the fraction of requests that got their complete output before their deadline.

    Args:
        records: The requests.

    Returns:
        A fraction from 0 to 1; 1 if there are no requests.
    """
    selected = list(records)
    if not selected:
        return 1.0
    return round(sum(r.reason is None for r in selected) / len(selected), 4)


def goodput(run: simulation.Simulation, start: float, end: float) -> float:
    """Return the prompt tokens of answered requests divided by the engines' prefill capacity.

    Args:
        run: The finished simulation.
        start: Start of the measured interval, seconds.
        end: End of the measured interval, seconds.

    Returns:
        The fraction; a request counts in the interval in which it ends.
    """
    tokens = sum(
        record.arrival.request.prompt_tokens
        for record in run.records_by_id.values()
        if record.reason is None and start <= record.ended_at < end
    )
    rates = [e.server.prefill_tokens_per_second for e in run.engines_by_id.values()]
    return round(tokens / (sum(rates) * (end - start)), 4)

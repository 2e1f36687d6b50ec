"""The fleets and the seeded requests of the simulated experiments."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from dragonflycove.configuration import schema
from dragonflycove.values import requests

MODEL = "general"
"""Name of the only model."""

PREFILL_TOKENS_PER_SECOND = 10_000.0
"""Prefill rate of one engine."""

MEMORY_TOKENS = 400_000
"""KV cache of one engine, tokens."""

CONCURRENCY = 24
"""Maximum number of requests that one engine runs concurrently."""

COLD_CONCURRENCY = 3
"""Maximum number of concurrent requests of a cold engine; one more crashes it."""

WARM_AFTER_REQUESTS = 20
"""Finished requests after which an engine is warm."""

LARGE_ORGANISATIONS = 2
"""Number of organisations that send most of the load."""

ORGANISATIONS = 10
"""Number of all organisations."""

LARGE_ORGANISATION_SHARE = 0.6
"""Fraction of the requests that the large organisations send together."""


class Size(NamedTuple):
    """Size of a fleet."""

    name: str
    """Name on the command line."""
    model_servers: int
    """Number of engines."""
    zones: tuple[str, ...]
    """Names of the availability zones."""
    zone_latency_seconds: float
    """One-way network latency between zones."""
    nodes: int
    """Number of entry nodes."""


COOPERATIVE = Size("cooperative", 14, ("cayambe", "latacunga", "riobamba"), 0.001, 6)
"""Fleet of Quesera Familia Andrade Cóndor."""

TENGRI = Size("tengri", 18, ("ub-bayangol", "ub-sukhbaatar", "ub-khanuul"), 0.0005, 6)
"""Fleet of Tengri Shelter Media."""


class Kind(NamedTuple):
    """One kind of request."""

    name: str
    """Name of the kind."""
    token_share: float
    """Fraction of the offered prompt tokens."""
    min_prompt_tokens: int
    """Minimum prompt length, tokens."""
    max_prompt_tokens: int
    """Maximum prompt length, tokens."""
    max_tokens: int
    """Maximum number of output tokens."""
    urgency: requests.Urgency
    """Urgency, from which the dispatcher derives the priority."""
    deadline_seconds: float
    """Time from arrival to deadline."""


KINDS = (
    Kind("short", 0.25, 1_000, 8_000, 256, requests.Urgency.INTERACTIVE, 20.0),
    Kind("medium", 0.25, 8_200, 99_000, 512, requests.Urgency.INTERACTIVE, 90.0),
    Kind("batch", 0.10, 8_200, 99_000, 512, requests.Urgency.BATCH, 300.0),
    Kind("long", 0.40, 100_000, 1_000_000, 1_024, requests.Urgency.BATCH, 900.0),
)
"""The kinds of requests of every experiment; the fractions add up to 1."""


class Arrival(NamedTuple):
    """One request with its arrival time."""

    at: float
    """Arrival time, seconds of virtual time."""
    kind: str
    """Name of its kind."""
    request: requests.ModelRequest
    """The request as the dispatcher receives it."""
    output_tokens: int
    """Tokens that the engine will generate; unknown to the dispatcher."""


def make_configuration(size: Size) -> schema.Configuration:
    """Return the configuration of a fleet, with model engines only.

    Args:
        size: The fleet.

    Returns:
        Version 1 of the configuration, with engines spread evenly over the zones.
    """
    servers = {
        f"engine-{i:02d}": schema.Server(
            f"engine-{i:02d}",
            "answers",
            size.zones[i % len(size.zones)],
            f"127.0.0.1:{10_000 + i}",
            (MODEL,),
            MEMORY_TOKENS,
            PREFILL_TOKENS_PER_SECOND,
            CONCURRENCY,
            COLD_CONCURRENCY,
            WARM_AFTER_REQUESTS,
            True,
            False,
        )
        for i in range(size.model_servers)
    }
    service = schema.Service("answers", schema.ServiceKind.MODEL, (), (MODEL,), ())
    names = [f"organisation-{i}" for i in range(ORGANISATIONS)]
    by_name = {name: schema.Organisation(name, 1.0, 0.0) for name in names}
    return schema.Configuration(1, {"answers": service}, size.zones, servers, by_name, frozenset())


def make_arrivals(
    size: Size, load: float, seconds: float, seed: int, kinds: tuple[Kind, ...] = KINDS
) -> list[Arrival]:
    """Draw the requests of a run.

    Each kind has its own random generator, so that leaving out a kind does not change the others.

    Args:
        size: The fleet.
        load: Offered prompt tokens as a fraction of the engines' prefill capacity.
        seconds: Length of the arrival period.
        seed: Seed of the arrival times and prompt lengths.
        kinds: The kinds to draw.

    Returns:
        Arrivals in order of time.
    """
    capacity = size.model_servers * PREFILL_TOKENS_PER_SECOND
    arrivals: list[Arrival] = []
    for kind in kinds:
        log_range = math.log(kind.max_prompt_tokens / kind.min_prompt_tokens)
        mean = (kind.max_prompt_tokens - kind.min_prompt_tokens) / log_range
        rate = load * kind.token_share * capacity / mean
        arrivals += _draw(kind, rate, seconds, random.Random(f"{seed}/{size.name}/{kind.name}"))
    return sorted(arrivals, key=lambda arrival: (arrival.at, arrival.request.request_id))


def _draw(kind: Kind, rate: float, seconds: float, rng: random.Random) -> list[Arrival]:
    arrivals: list[Arrival] = []
    at = rng.expovariate(rate)
    while at < seconds:
        log_range = math.log(kind.max_prompt_tokens / kind.min_prompt_tokens)
        tokens = int(kind.min_prompt_tokens * math.exp(rng.random() * log_range))
        if rng.random() < LARGE_ORGANISATION_SHARE:
            organisation = rng.randrange(LARGE_ORGANISATIONS)
        else:
            organisation = rng.randrange(LARGE_ORGANISATIONS, ORGANISATIONS)
        request = requests.ModelRequest(
            f"{kind.name}-{len(arrivals)}",
            f"organisation-{organisation}",
            "answers",
            MODEL,
            tokens,
            kind.max_tokens,
            (),
            kind.urgency,
            at + kind.deadline_seconds,
        )
        output_tokens = int(kind.max_tokens * (0.3 + 0.7 * rng.random()))
        arrivals.append(Arrival(at, kind.name, request, output_tokens))
        at += rng.expovariate(rate)
    return arrivals

"""The two users' fleets and the requests of an experiment, all from one seed."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from dragonflycove.configuration import schema
from dragonflycove.values import requests

MODEL = "general"
"""Name of the model."""

PREFILL_TOKENS_PER_SECOND = 10_000.0
"""Prompt tokens that one engine reads in a second."""

MEMORY_TOKENS = 400_000
"""KV memory of one engine, tokens."""

CONCURRENCY = 24
"""Most requests that one engine runs at once."""

COLD_CONCURRENCY = 3
"""Most requests that one engine bears at once in cold start."""

WARM_AFTER_REQUESTS = 20
"""Requests after which an engine is warm."""

LARGE_ORGANISATIONS = 2
"""Organisations that send most of the load."""

ORGANISATIONS = 10
"""Organisations."""

LARGE_ORGANISATION_SHARE = 0.6
"""Share of the requests that the large organisations send together."""


class Size(NamedTuple):
    """One user's fleet of today."""

    name: str
    """Short name of the user."""
    model_servers: int
    """Model engines."""
    zones: tuple[str, ...]
    """Availability zones."""
    zone_latency_seconds: float
    """One way between zones."""
    nodes: int
    """Entry hosts."""


COOPERATIVE = Size("cooperative", 14, ("cayambe", "latacunga", "riobamba"), 0.001, 6)
"""Quesera Familia Andrade Cóndor."""

TENGRI = Size("tengri", 18, ("ub-bayangol", "ub-sukhbaatar", "ub-khanuul"), 0.0005, 6)
"""Tengri Shelter Media."""


class Kind(NamedTuple):
    """One kind of request."""

    name: str
    """Name of the kind."""
    token_share: float
    """Share of the offered prompt tokens."""
    min_prompt_tokens: int
    """Shortest prompt."""
    max_prompt_tokens: int
    """Longest prompt."""
    max_tokens: int
    """Most tokens to generate."""
    urgency: requests.Urgency
    """Priority."""
    deadline_seconds: float
    """Time for the whole answer."""


KINDS = (
    Kind("short", 0.25, 1_000, 8_000, 256, requests.Urgency.INTERACTIVE, 20.0),
    Kind("medium", 0.25, 8_200, 99_000, 512, requests.Urgency.INTERACTIVE, 90.0),
    Kind("batch", 0.10, 8_200, 99_000, 512, requests.Urgency.BATCH, 300.0),
    Kind("long", 0.40, 100_000, 1_000_000, 1_024, requests.Urgency.BATCH, 900.0),
)
"""The mix of every experiment."""


class Arrival(NamedTuple):
    """One request and when it comes."""

    at: float
    """Time, seconds."""
    kind: str
    """Name of its kind."""
    request: requests.ModelRequest
    """The request."""
    output_tokens: int
    """Tokens that it will generate."""


def make_configuration(size: Size) -> schema.Configuration:
    """Return a user's configuration.

    Args:
        size: The user's fleet.

    Returns:
        The configuration, with model engines only.
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
    """Draw the requests of a run; each kind has its own generator, so kinds can be left out.

    Args:
        size: The user's fleet.
        load: Offered prompt tokens against what all engines read.
        seconds: Time over which requests come.
        seed: Seed.
        kinds: Kinds to draw.

    Returns:
        Arrivals in the order of their times.
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

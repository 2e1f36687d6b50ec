"""Plans of mixed loads: the requests with their times, drawn from a seed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

SHORT_TOKENS = (1_000, 8_000)
"""Minimum and maximum length of short prompts."""

MEDIUM_TOKENS = (8_192, 60_000)
"""Minimum and maximum length of medium prompts."""

LONG_TOKENS = (100_000, 1_000_000)
"""Minimum and maximum length of long prompts; the last one of a plan has the maximum."""

SHORT_SHARE = 0.75
"""Fraction of short prompts among the short and medium ones."""

POSTINGS_PER_PROMPT = 0.3
"""Mean number of non-idempotent calls for each short or medium prompt."""

STOCK_CALLS_PER_PROMPT = 0.3
"""Mean number of idempotent calls for each short or medium prompt."""

DEFAULT_DEADLINE_SECONDS = 20.0
"""Time from the first send to the deadline, for short and medium prompts and for calls."""

LONG_DEADLINE_SECONDS = 75.0
"""Time from the first send to the deadline of long prompts."""


class PlanSettings(NamedTuple):
    """Parameters of a plan."""

    seconds: float
    """Length of the sending period."""

    rate: float
    """Short and medium prompts per second."""

    long_count: int
    """Number of long prompts."""

    model: str
    """Name of the model."""

    organisations: tuple[str, ...]
    """Names of the organisations."""

    service: str
    """Name of the plain service."""


class PlannedPrompt(NamedTuple):
    """A model request of the plan."""

    at_seconds: float
    """Time of the first send after the start of the plan."""

    organisation: str
    """Organisation that sends the request."""

    model: str
    """Name of the model."""

    tokens: int
    """Length of the prompt, tokens."""

    max_tokens: int
    """Number of output tokens to generate."""

    seed: int
    """Seed of the prompt's text."""

    deadline_seconds: float
    """Time from the first send to the deadline."""

    is_batch: bool
    """Whether its urgency is `batch` instead of `interactive`."""


class PlannedCall(NamedTuple):
    """A call to a plain service."""

    at_seconds: float
    """Time of the first send after the start of the plan."""

    organisation: str
    """Organisation that sends the request."""

    service: str
    """Name of the plain service."""

    is_posting: bool
    """Whether it is non-idempotent: a POST with an idempotency key."""

    seed: int
    """Seed of the idempotency key and of the path or body."""


PlannedRequest = PlannedPrompt | PlannedCall
"""One entry of a plan."""


def build_plan(settings: PlanSettings, rng: random.Random) -> list[PlannedRequest]:
    """Build a plan from a seeded generator.

    Args:
        settings: Parameters of the plan.
        rng: Seeded random generator.

    Returns:
        The planned requests in order of time.
    """
    plan: list[PlannedRequest] = []
    at = 0.0
    while True:
        at += rng.expovariate(settings.rate)
        if at >= settings.seconds:
            break
        plan.append(_draw_prompt(settings, at, rng))
        if rng.random() < POSTINGS_PER_PROMPT:
            plan.append(_draw_call(settings, at, True, rng))
        if rng.random() < STOCK_CALLS_PER_PROMPT:
            plan.append(_draw_call(settings, at, False, rng))
    for number in range(settings.long_count):
        at = settings.seconds * 0.6 * (number + 0.5) / settings.long_count
        is_last = number == settings.long_count - 1
        tokens = LONG_TOKENS[1] if is_last else rng.randint(LONG_TOKENS[0], 300_000)
        plan.append(_plan_long(settings, at, tokens, rng))
    return sorted(plan, key=lambda planned: planned.at_seconds)


def _draw_prompt(settings: PlanSettings, at: float, rng: random.Random) -> PlannedPrompt:
    is_short = rng.random() < SHORT_SHARE
    return PlannedPrompt(
        at,
        rng.choice(settings.organisations),
        settings.model,
        rng.randint(*(SHORT_TOKENS if is_short else MEDIUM_TOKENS)),
        rng.randint(8, 64),
        rng.getrandbits(32),
        DEFAULT_DEADLINE_SECONDS,
        False,
    )


def _plan_long(settings: PlanSettings, at: float, tokens: int, rng: random.Random) -> PlannedPrompt:
    return PlannedPrompt(
        at,
        rng.choice(settings.organisations),
        settings.model,
        tokens,
        32,
        rng.getrandbits(32),
        LONG_DEADLINE_SECONDS,
        True,
    )


def _draw_call(
    settings: PlanSettings, at: float, is_posting: bool, rng: random.Random
) -> PlannedCall:
    return PlannedCall(
        at, rng.choice(settings.organisations), settings.service, is_posting, rng.getrandbits(32)
    )


def prompt_text(planned: PlannedPrompt) -> str:
    """Return the prompt text of a planned request, four characters per token.

    Args:
        planned: The request.

    Returns:
        A text that differs for every seed.
    """
    word = f"{planned.seed:08x}"
    return (word * (planned.tokens // 2 + 1))[: planned.tokens * 4]

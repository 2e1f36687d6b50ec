"""The plan of a mixed load: which request is sent when."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

SHORT_TOKENS = (1_000, 8_000)
"""Range of short prompts, tokens."""

MEDIUM_TOKENS = (8_192, 60_000)
"""Range of medium prompts, tokens."""

LONG_TOKENS = (100_000, 1_000_000)
"""Range of long prompts, tokens; the last long prompt of a plan has the upper bound."""

SHORT_SHARE = 0.75
"""Share of short prompts among those that are not long."""

POSTINGS_PER_PROMPT = 0.3
"""Calls that may not be repeated for each model request."""

STOCK_CALLS_PER_PROMPT = 0.3
"""Idempotent calls for each model request."""

DEFAULT_DEADLINE_SECONDS = 20.0
"""Time for a short or medium prompt, seconds."""

LONG_DEADLINE_SECONDS = 75.0
"""Time for a long prompt, seconds."""


class PlanSettings(NamedTuple):
    """What a plan is made from."""

    seconds: float
    """Time for which requests are sent, seconds."""

    rate: float
    """Model requests a second."""

    long_count: int
    """Number of long prompts."""

    model: str
    """Name of the model."""

    organisations: tuple[str, ...]
    """Names of the organisations."""

    service: str
    """Name of the plain service."""


class PlannedPrompt(NamedTuple):
    """One model request."""

    at_seconds: float
    """Time of sending after the start, seconds."""

    organisation: str
    """Organisation that sends it."""

    model: str
    """Name of the model."""

    tokens: int
    """Length of the prompt, tokens."""

    max_tokens: int
    """Tokens to generate."""

    seed: int
    """Seed of the prompt's text."""

    deadline_seconds: float
    """Time for the request, seconds."""

    batch: bool
    """Whether it may wait."""


class PlannedCall(NamedTuple):
    """One call to a plain service."""

    at_seconds: float
    """Time of sending after the start, seconds."""

    organisation: str
    """Organisation that sends it."""

    service: str
    """Name of the plain service."""

    posting: bool
    """Whether it may not be repeated."""

    seed: int
    """Seed of its key and body."""


PlannedRequest = PlannedPrompt | PlannedCall
"""One entry of a plan."""


def build_plan(settings: PlanSettings, rng: random.Random) -> list[PlannedRequest]:
    """Build a plan.

    Args:
        settings: What to build it from.
        rng: Generator of everything that is drawn.

    Returns:
        The requests in order of time.
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


def _draw_call(settings: PlanSettings, at: float, posting: bool, rng: random.Random) -> PlannedCall:
    return PlannedCall(
        at, rng.choice(settings.organisations), settings.service, posting, rng.getrandbits(32)
    )


def prompt_text(planned: PlannedPrompt) -> str:
    """Return the prompt of a planned request, four characters a token.

    Args:
        planned: The request.

    Returns:
        A text that no other seed gives.
    """
    word = f"{planned.seed:08x}"
    return (word * (planned.tokens // 2 + 1))[: planned.tokens * 4]

"""Requests of callers, as the deciding modules see them."""

from __future__ import annotations

import enum
from typing import NamedTuple

import xxhash

CHARACTERS_PER_TOKEN = 4
"""Characters of prompt text counted as one token."""

PREFIX_BLOCK_TOKENS = 1024
"""Tokens in one block of the prefix cache."""


class LengthClass(enum.Enum):
    """Class of a prompt by its length in tokens."""

    SHORT = "short"
    """Under 8,192 tokens."""

    MEDIUM = "medium"
    """From 8,192 to under 100,000 tokens."""

    LONG = "long"
    """100,000 tokens and more."""


SHORT_LIMIT_TOKENS = 8_192
"""Prompts under this many tokens are short."""

LONG_LIMIT_TOKENS = 100_000
"""Prompts of this many tokens or more are long."""


class Urgency(enum.IntEnum):
    """Priority of a request at admission and at the engine; a lower value goes first."""

    INTERACTIVE = 0
    """Somebody waits for the answer."""

    BATCH = 1
    """May wait, but must finish by its deadline."""


class ModelRequest(NamedTuple):
    """A prompt for a model."""

    request_id: str
    """The caller's identifier of the request."""

    organisation: str
    """Name of the organisation that sends it."""

    service: str
    """Name of the model service."""

    model: str
    """Name of the model."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    max_tokens: int
    """Most tokens to generate."""

    prefix_hashes: tuple[int, ...]
    """Chained hashes of the prompt's blocks of `PREFIX_BLOCK_TOKENS`, the first block first."""

    urgency: Urgency
    """Priority."""

    deadline: float
    """Time of the loop's clock by which the request finishes or fails, seconds."""

    @property
    def length_class(self) -> LengthClass:
        """Class of the prompt by its length."""
        return classify_length(self.prompt_tokens)

    @property
    def fingerprint(self) -> str:
        """Identity of the prompt for quarantine: organisation, model and prompt hash."""
        last = self.prefix_hashes[-1] if self.prefix_hashes else 0
        return f"{self.organisation}/{self.model}/{last:016x}"


class ServiceCall(NamedTuple):
    """A call to a plain service."""

    request_id: str
    """The caller's identifier of the request."""

    organisation: str
    """Name of the organisation that sends it."""

    service: str
    """Name of the plain service."""

    method: str
    """HTTP method."""

    path: str
    """Path and query, beginning with `/`."""

    body_hash: str
    """Hash of the body, hexadecimal."""

    idempotent: bool
    """Whether it may be run more than once."""

    idempotency_key: str
    """The caller's key; empty for an idempotent call without one."""

    deadline: float
    """Time of the loop's clock by which the call finishes or fails, seconds."""


def classify_length(prompt_tokens: int) -> LengthClass:
    """Return the class of a prompt.

    Args:
        prompt_tokens: Length of the prompt, tokens.

    Returns:
        The class.
    """
    if prompt_tokens < SHORT_LIMIT_TOKENS:
        return LengthClass.SHORT
    if prompt_tokens < LONG_LIMIT_TOKENS:
        return LengthClass.MEDIUM
    return LengthClass.LONG


def count_tokens(text: str) -> int:
    """Estimate the tokens in a text.

    Args:
        text: The prompt.

    Returns:
        The estimate, at least one.
    """
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def hash_prefix(text: str) -> tuple[int, ...]:
    """Hash a prompt block by block, each hash covering all the text before it.

    Args:
        text: The prompt.

    Returns:
        One hash for each block, a last partial block included.
    """
    block = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    digest = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(text), block):
        digest.update(text[start : start + block].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)

"""Callers' requests as decision modules use them, their length classes and prefix hashes."""

from __future__ import annotations

import enum
from typing import NamedTuple

import xxhash

CHARACTERS_PER_TOKEN = 4
"""Characters of prompt text estimated as one token."""

PREFIX_BLOCK_TOKENS = 1024
"""Estimated tokens in one block of a prompt, the unit of prefix hashes."""


class LengthClass(enum.Enum):
    """Class of a prompt by its estimated length in tokens."""

    SHORT = "short"
    """Under 8,192 tokens."""

    MEDIUM = "medium"
    """At least 8,192 and under 100,000 tokens."""

    LONG = "long"
    """At least 100,000 tokens."""


SHORT_LIMIT_TOKENS = 8_192
"""Minimum length of a prompt that is not short."""

LONG_LIMIT_TOKENS = 100_000
"""Minimum length of a long prompt."""


class Urgency(enum.IntEnum):
    """Priority of a request at admission and at the engine; 0 is the highest."""

    INTERACTIVE = 0
    """A user waits for the response."""

    BATCH = 1
    """May be queued for long, but must finish by its deadline."""


class ModelRequest(NamedTuple):
    """A prompt for a model."""

    request_id: str
    """Identifier of the request, assigned by the node that accepts it."""

    organisation: str
    """Name of the organisation that sends the request."""

    service: str
    """Name of the model service."""

    model: str
    """Name of the model."""

    prompt_tokens: int
    """Estimated length of the prompt, tokens."""

    max_tokens: int
    """Maximum number of tokens to generate."""

    prefix_hashes: tuple[int, ...]
    """Chained hashes of the prompt's blocks of `PREFIX_BLOCK_TOKENS`, in order of the prompt."""

    urgency: Urgency
    """Priority at admission and at the engine."""

    deadline: float
    """Loop time by which the request finishes or fails, seconds."""

    @property
    def length_class(self) -> LengthClass:
        """Class of the prompt by `prompt_tokens`."""
        return classify_length(self.prompt_tokens)

    @property
    def fingerprint(self) -> str:
        """Key of the prompt for quarantine: organisation, model and hash of the complete prompt."""
        last = self.prefix_hashes[-1] if self.prefix_hashes else 0
        return f"{self.organisation}/{self.model}/{last:016x}"


class ServiceCall(NamedTuple):
    """An HTTP call to a plain service, which is any service without model engines."""

    request_id: str
    """Identifier of the request, assigned by the node that accepts it."""

    organisation: str
    """Name of the organisation that sends the request."""

    service: str
    """Name of the plain service."""

    method: str
    """HTTP method."""

    path: str
    """Path and query string, beginning with `/`."""

    body_hash: str
    """Hash of the request body, hexadecimal."""

    idempotent: bool
    """Whether it may be executed more than once."""

    idempotency_key: str
    """The caller's idempotency key; empty for an idempotent call without one."""

    deadline: float
    """Loop time by which the call finishes or fails, seconds."""


def classify_length(prompt_tokens: int) -> LengthClass:
    """Classify a prompt by its length.

    Args:
        prompt_tokens: Length of the prompt, tokens.

    Returns:
        The length class.
    """
    if prompt_tokens < SHORT_LIMIT_TOKENS:
        return LengthClass.SHORT
    if prompt_tokens < LONG_LIMIT_TOKENS:
        return LengthClass.MEDIUM
    return LengthClass.LONG


def count_tokens(text: str) -> int:
    """Estimate the number of tokens of a text.

    Args:
        text: The text of the prompt.

    Returns:
        The estimate by `CHARACTERS_PER_TOKEN`, rounded up, at least 1.
    """
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def hash_prefix(text: str) -> tuple[int, ...]:
    """Hash a prompt block by block; each hash covers the text up to the end of its block.

    Args:
        text: The text of the prompt.

    Returns:
        One hash for each block, including a partial block at the end.
    """
    block = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    digest = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(text), block):
        digest.update(text[start : start + block].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)

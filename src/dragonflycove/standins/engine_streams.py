"""Streams of the stand-in model engine."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Submission(NamedTuple):
    """A prompt and its limits, as submitted to the engine."""

    attempt: str
    """Identifier of the attempt."""

    owner: str
    """`host/incarnation` of the node that sent it."""

    model: str
    """Name of the model."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    prefix_hashes: tuple[int, ...]
    """Chained hashes of the prompt's blocks, for the prefix cache."""

    max_tokens: int
    """Number of tokens to generate."""

    priority: int
    """Priority; 0 is the highest."""

    group: tuple[str, ...] = ()
    """Id of the memory group whose reservation it uses, as the only element; empty for no group."""

    crashes: bool = False
    """Whether the engine crashes at the end of its prefill."""

    @property
    def memory_tokens(self) -> int:
        """KV cache tokens that it needs."""
        return self.prompt_tokens + self.max_tokens


class Rejection(NamedTuple):
    """The engine's rejection of a request."""

    status: int
    """HTTP status."""

    reason: str
    """Error text for the response."""

    retry_after_seconds: float | None = None
    """Retry-after; None if a retry would be rejected too."""

    ran: str = "not_run"
    """Whether the request ran, as the response states it: `not_run`, `ran` or `unknown`."""


class StreamState(enum.Enum):
    """Processing state of a stream."""

    WAITING = "waiting"
    """Waits for memory or a free slot."""

    PREFILL = "prefill"
    """Its prompt is in prefill."""

    DECODE = "decode"
    """Its output is being generated."""

    FINISHED = "finished"
    """All its tokens are generated."""


class Token(NamedTuple):
    """One token of a stream."""

    attempt: str
    """Identifier of the attempt."""

    index: int  # type: ignore[assignment]
    """Index in the output, from 0."""

    token: str
    """Text of the token."""

    finish: str | None
    """`stop` for the last token, else None."""


class Idle(NamedTuple):
    """Event: no token was generated for the heartbeat interval."""


class Lost(NamedTuple):
    """Event: the engine dropped the stream before it finished."""


class Stream:
    """An accepted prompt and the progress of its output."""

    def __init__(self, submission: Submission, sequence: int) -> None:
        """Create a waiting stream.

        Args:
            submission: The prompt and its limits.
            sequence: Number of the stream in order of arrival.
        """
        self.submission = submission
        self.sequence = sequence
        self.owner = submission.owner
        self.state = StreamState.WAITING
        self.prefill_remaining: float = submission.prompt_tokens
        self.prefill_cached = 0
        self.prefill_imported: float = 0
        self.emitted = 0
        self.ended_at: float | None = None
        self.lost = False
        self._changed = asyncio.Event()

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key: priority, then arrival."""
        return self.submission.priority, self.sequence

    @property
    def is_finished(self) -> bool:
        """Whether all tokens are generated."""
        return self.state is StreamState.FINISHED

    @property
    def prefilled(self) -> int:
        """Prompt tokens prefilled by this engine, without cached and imported ones."""
        saved = self.prefill_cached + self.prefill_imported
        return round(self.submission.prompt_tokens - saved - self.prefill_remaining)

    def notify(self) -> None:
        """Wake all callers of `follow`."""
        self._changed.set()
        self._changed = asyncio.Event()

    def emit(self) -> None:
        """Count one more generated token and wake all callers of `follow`."""
        self.emitted += 1
        self.notify()

    def mark_lost(self) -> None:
        """Mark the stream as dropped by the engine and wake all callers of `follow`."""
        self.lost = True
        self.notify()

    def token(self, index: int) -> Token:
        """Return the output token at an index."""
        hashes = self.submission.prefix_hashes
        text = output_token(hashes[-1] if hashes else 0, index)
        finish = "stop" if index == self.submission.max_tokens - 1 else None
        return Token(self.submission.attempt, index, text, finish)

    async def follow(
        self, from_index: int, heartbeat_seconds: float
    ) -> AsyncIterator[Token | Idle | Lost]:
        """Yield tokens as they are generated.

        Args:
            from_index: Index of the first token to yield.
            heartbeat_seconds: Time without a token after which `Idle` is yielded.

        Yields:
            Tokens and `Idle`; ends with `Lost` if the engine dropped the stream before it finished.
        """
        index = from_index
        while True:
            while index < self.emitted:
                yield self.token(index)
                index += 1
            if self.is_finished:
                return
            if self.lost:
                yield Lost()
                return
            try:
                async with asyncio.timeout(heartbeat_seconds):
                    await self._changed.wait()
            except TimeoutError:
                yield Idle()


def output_token(prompt_hash: int, index: int) -> str:
    """Return an output token; all engines generate the same output for a prompt.

    Args:
        prompt_hash: Last of the prompt's prefix hashes.
        index: Index of the token.

    Returns:
        Text of the token.
    """
    return f"{prompt_hash:016x}:{index} "

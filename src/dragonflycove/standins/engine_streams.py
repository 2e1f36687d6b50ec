"""Streams of the model engine's stand-in."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Submission(NamedTuple):
    """A prompt as the engine runs it."""

    attempt: str
    """Identifier of the attempt."""

    owner: str
    """`host/incarnation` of the node that sent it."""

    model: str
    """Name of the model."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    prefix_hashes: tuple[int, ...]
    """Chained hashes of the prompt's blocks."""

    max_tokens: int
    """Tokens to generate."""

    priority: int
    """Priority; a lower value goes first."""

    group: tuple[str, ...] = ()
    """Identifier of its memory group's reservation; empty for none."""

    crashes: bool = False
    """Whether running it crashes the engine."""

    @property
    def memory_tokens(self) -> int:
        """KV memory that it needs, tokens."""
        return self.prompt_tokens + self.max_tokens


class Rejection(NamedTuple):
    """The engine did not take a request, which did not run."""

    status: int
    """HTTP status."""

    reason: str
    """One sentence."""

    retry_after_seconds: float | None = None
    """When to come back; `None` where coming back is of no use."""

    ran: str = "not_run"
    """What is known about whether it ran."""


class StreamState(enum.Enum):
    """What a stream is doing."""

    WAITING = "waiting"
    """Waits for memory or for a place."""

    PREFILL = "prefill"
    """Its prompt is being read."""

    DECODE = "decode"
    """Its answer is being generated."""

    FINISHED = "finished"
    """It has its whole answer."""


class Token(NamedTuple):
    """One token of a stream."""

    attempt: str
    """Identifier of the attempt."""

    index: int  # type: ignore[assignment]
    """Its place, from 0."""

    token: str
    """Its text."""

    finish: str | None
    """`stop` with the last token."""


class Idle(NamedTuple):
    """No token has come for the heartbeat's time."""


class Lost(NamedTuple):
    """The engine does not run the stream any more, and it had not finished."""


class Stream:
    """A prompt that the engine runs."""

    def __init__(self, submission: Submission, sequence: int) -> None:
        """Create a waiting stream.

        Args:
            submission: What to run.
            sequence: Its place in the order of arrival.
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
    def order(self) -> tuple[int, int]:
        """Key that sorts streams by priority and arrival."""
        return self.submission.priority, self.sequence

    @property
    def is_finished(self) -> bool:
        """Whether it has its whole answer."""
        return self.state is StreamState.FINISHED

    @property
    def prefilled(self) -> int:
        """Prompt tokens that this engine has read itself."""
        saved = self.prefill_cached + self.prefill_imported
        return round(self.submission.prompt_tokens - saved - self.prefill_remaining)

    def notify(self) -> None:
        """Wake those who follow the stream."""
        self._changed.set()
        self._changed = asyncio.Event()

    def emit(self) -> None:
        """Generate one token."""
        self.emitted += 1
        self.notify()

    def lose(self) -> None:
        """Tell those who follow the stream that it is gone."""
        self.lost = True
        self.notify()

    def token(self, index: int) -> Token:
        """Return a token by its place."""
        hashes = self.submission.prefix_hashes
        text = output_token(hashes[-1] if hashes else 0, index)
        finish = "stop" if index == self.submission.max_tokens - 1 else None
        return Token(self.submission.attempt, index, text, finish)

    async def follow(
        self, from_index: int, heartbeat_seconds: float
    ) -> AsyncIterator[Token | Idle | Lost]:
        """Give the tokens from a place on as they come.

        Args:
            from_index: The place.
            heartbeat_seconds: Time without a token after which `Idle` comes.

        Yields:
            Tokens and `Idle`; `Lost` at the end if the stream did not finish.
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
    """Return a token of the answer to a prompt, the same on every engine.

    Args:
        prompt_hash: Last of the prompt's prefix hashes.
        index: Place of the token.

    Returns:
        Its text.
    """
    return f"{prompt_hash:016x}:{index} "

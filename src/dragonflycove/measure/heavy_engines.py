"""Engines of the heavy loads, which work in passes as the platform's pages describe."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, work

CHUNK_TOKENS = 2_048
"""Prompt tokens that one step reads at most, as the users' sheets state."""


class PromptPart:
    """One engine's part of a prompt."""

    __slots__ = ("chunk_seconds", "is_split", "key", "remaining_seconds")

    def __init__(
        self, key: work.JobKey, spec: catalog.EngineSpec, prompt_tokens: int, parts: int
    ) -> None:
        """Create an unread part.

        Args:
            key: The prompt's request.
            spec: The engine.
            prompt_tokens: Length of the whole prompt.
            parts: Engines that read it.
        """
        self.key = key
        self.remaining_seconds = engine_forecast.prefill_seconds(spec, prompt_tokens, parts)
        chunks = max(1.0, prompt_tokens / parts / CHUNK_TOKENS)
        self.chunk_seconds = self.remaining_seconds / chunks
        self.is_split = parts > 1


class DecodingSequence:
    """A request that an engine writes."""

    __slots__ = ("context_tokens", "events_left")

    def __init__(self, events: int, context_tokens: int) -> None:
        """Begin to write.

        Args:
            events: Events of the answer after the first.
            context_tokens: Tokens that each step looks at.
        """
        self.events_left = events
        self.context_tokens = context_tokens


class PassResult(NamedTuple):
    """What a pass brought."""

    prefilled: tuple[PromptPart, ...]
    """Parts that were read to their end."""

    decoded: tuple[work.JobKey, ...]
    """Requests that wrote an event."""


class Engine:
    """One engine of the heavy loads."""

    def __init__(self, spec: catalog.EngineSpec) -> None:
        """Create an idle engine.

        Args:
            spec: Its speed and size.
        """
        self._spec = spec
        self._pending_parts: list[PromptPart] = []
        self.sequence_by_key: dict[work.JobKey, DecodingSequence] = {}
        """Requests that are being written."""
        self._pass_ends_at = 0.0
        self._current_pass: PassResult | None = None

    def enqueue(self, part: PromptPart) -> None:
        """Take in a part; one of a split prompt goes before all others, as seen on the bench.

        Args:
            part: The part.
        """
        self._pending_parts.insert(0 if part.is_split else len(self._pending_parts), part)

    def remove(self, key: work.JobKey) -> None:
        """Forget a request that has ended.

        Args:
            key: The request.
        """
        self._pending_parts = [part for part in self._pending_parts if part.key != key]
        self.sequence_by_key.pop(key, None)

    def end_pass(self, now: float) -> PassResult | None:
        """End a pass if it is over, and begin the next.

        Args:
            now: Time on the run's clock.

        Returns:
            What the pass brought; None while none ends.
        """
        if now < self._pass_ends_at:
            return None
        ended, self._current_pass = self._current_pass, None
        return ended

    def begin_pass(self, now: float) -> None:
        """Begin a pass if none runs and there is work.

        Args:
            now: Time on the run's clock.
        """
        if self._current_pass is not None or not (self._pending_parts or self.sequence_by_key):
            return
        spec = self._spec
        steps = spec.steps_per_pass if self.sequence_by_key else 1
        context = sum(sequence.context_tokens for sequence in self.sequence_by_key.values())
        seconds = steps * engine_forecast.step_seconds(spec, len(self.sequence_by_key), context)
        prefilled = []
        chunks = float(steps)
        while self._pending_parts and chunks > 0:
            part = self._pending_parts[0]
            prefill_seconds = min(part.remaining_seconds, chunks * part.chunk_seconds)
            chunks -= prefill_seconds / part.chunk_seconds
            part.remaining_seconds -= prefill_seconds
            seconds += prefill_seconds
            if part.remaining_seconds > 1e-9:
                break
            prefilled.append(self._pending_parts.pop(0))
        self._current_pass = PassResult(tuple(prefilled), tuple(self.sequence_by_key))
        # A pass ends where the last one ended, however late this engine was looked at.
        started_at = max(self._pass_ends_at, now - 0.01)
        self._pass_ends_at = started_at + seconds

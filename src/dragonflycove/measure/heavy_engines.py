"""Engine model of the heavy loads, which runs in passes of several uninterrupted steps."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, work

CHUNK_TOKENS = 2_048
"""Maximum prompt tokens that an engine prefills in one step."""


class PromptPart:
    """The part of a prompt that one engine prefills."""

    __slots__ = ("chunk_seconds", "is_split", "key", "remaining_seconds")

    def __init__(
        self, key: work.JobKey, spec: catalog.EngineSpec, prompt_tokens: int, parts: int
    ) -> None:
        """Create a part whose prefill has not begun.

        Args:
            key: Key of the request.
            spec: Speed of the engine.
            prompt_tokens: Length of the complete prompt, all parts together.
            parts: Number of engines that share the prefill.
        """
        self.key = key
        self.remaining_seconds = engine_forecast.prefill_seconds(spec, prompt_tokens, parts)
        chunks = max(1.0, prompt_tokens / parts / CHUNK_TOKENS)
        self.chunk_seconds = self.remaining_seconds / chunks
        self.is_split = parts > 1


class DecodingSequence:
    """A sequence that an engine decodes."""

    __slots__ = ("context_tokens", "events_left")

    def __init__(self, events: int, context_tokens: int) -> None:
        """Create a sequence after its first event.

        Args:
            events: Number of events still to generate.
            context_tokens: Context that each decode step attends to, tokens.
        """
        self.events_left = events
        self.context_tokens = context_tokens


class PassResult(NamedTuple):
    """Results of one pass."""

    prefilled: tuple[PromptPart, ...]
    """Parts whose prefill ended in the pass."""

    decoded: tuple[work.JobKey, ...]
    """Requests that produced an event."""


class Engine:
    """One engine; it prefills parts in queue order while it decodes all its sequences."""

    def __init__(self, spec: catalog.EngineSpec) -> None:
        """Create an idle engine.

        Args:
            spec: Speed and capacity of the engine.
        """
        self._spec = spec
        self._pending_parts: list[PromptPart] = []
        self.sequence_by_key: dict[work.JobKey, DecodingSequence] = {}
        """Sequences that are being decoded."""
        self._pass_ends_at = 0.0
        self._current_pass: PassResult | None = None

    def enqueue(self, part: PromptPart) -> None:
        """Queue a part for prefill.

        Parts of split prompts go to the front of the queue, as at real engines.

        Args:
            part: The part to prefill.
        """
        self._pending_parts.insert(0 if part.is_split else len(self._pending_parts), part)

    def remove(self, key: work.JobKey) -> None:
        """Remove a request's queued parts and its sequence.

        Args:
            key: Key of the request.
        """
        self._pending_parts = [part for part in self._pending_parts if part.key != key]
        self.sequence_by_key.pop(key, None)

    def end_pass(self, now: float) -> PassResult | None:
        """End the current pass if its end time is reached.

        Args:
            now: Virtual time, seconds.

        Returns:
            Results of the pass; None if no pass ends now.
        """
        if now < self._pass_ends_at:
            return None
        ended, self._current_pass = self._current_pass, None
        return ended

    def begin_pass(self, now: float) -> None:
        """Begin a pass, unless one is in progress or there is no work.

        Args:
            now: Virtual time, seconds.
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
        # The simulation advances in time steps of 0.01 s. A pass begins when the previous one ended,
        # which may be up to one time step ago.
        started_at = max(self._pass_ends_at, now - 0.01)
        self._pass_ends_at = started_at + seconds

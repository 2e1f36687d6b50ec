"""Cold start of the stand-in model engine: slower prefill and a limit on its streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.standins import engine_parameters


class ColdStart:
    """Tracks whether the engine is cold, and the streams accepted since it turned cold."""

    def __init__(self, parameters: engine_parameters.EngineParameters) -> None:
        """Create the state of a newly started engine.

        Args:
            parameters: The engine's parameters.
        """
        self._parameters = parameters
        self._attempts: set[str] = set()
        self._finished = 0
        self.is_cold = parameters.starts_cold

    @property
    def in_flight(self) -> int:
        """Number of streams accepted since the engine turned cold and not ended."""
        return len(self._attempts)

    @property
    def is_overloaded(self) -> bool:
        """Whether the engine is cold and has more streams than `cold_concurrency`."""
        return self.is_cold and self.in_flight > self._parameters.cold_concurrency

    @property
    def prefill_rate(self) -> float:
        """Current prefill rate, tokens per second."""
        rate = self._parameters.prefill_tokens_per_second
        return rate * self._parameters.cold_speed if self.is_cold else rate

    def turn_cold(self) -> None:
        """Turn cold; streams accepted before don't count towards `in_flight`."""
        self.is_cold = True
        self._attempts.clear()
        self._finished = 0

    def on_accepted(self, attempt: str) -> None:
        """Count an accepted stream, if the engine is cold."""
        if self.is_cold:
            self._attempts.add(attempt)

    def on_removed(self, attempt: str) -> None:
        """Stop counting a stream."""
        self._attempts.discard(attempt)

    def on_finished(self, attempt: str) -> None:
        """Count a finished stream; turn warm after `warm_after_requests` of them."""
        self.on_removed(attempt)
        self._finished += 1
        if self._finished >= self._parameters.warm_after_requests:
            self.is_cold = False

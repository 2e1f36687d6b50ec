"""Cold start of the model engine's stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.standins import engine_parameters


class ColdStart:
    """Whether the engine is cold, and what it bears then."""

    def __init__(self, parameters: engine_parameters.EngineParameters) -> None:
        """Create the state at the engine's start.

        Args:
            parameters: The engine's parameters.
        """
        self._parameters = parameters
        self._attempts: set[str] = set()
        self._finished = 0
        self.is_cold = parameters.starts_cold

    @property
    def in_flight(self) -> int:
        """Streams taken since it turned cold that have not ended."""
        return len(self._attempts)

    @property
    def is_overloaded(self) -> bool:
        """Whether it has more streams than a cold engine bears."""
        return self.is_cold and self.in_flight > self._parameters.cold_concurrency

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens read in a second now."""
        rate = self._parameters.prefill_tokens_per_second
        return rate * self._parameters.cold_speed if self.is_cold else rate

    def turn_cold(self) -> None:
        """Turn cold."""
        self.is_cold = True
        self._attempts.clear()
        self._finished = 0

    def on_accepted(self, attempt: str) -> None:
        """Count a new stream."""
        if self.is_cold:
            self._attempts.add(attempt)

    def on_removed(self, attempt: str) -> None:
        """Count a stream no more."""
        self._attempts.discard(attempt)

    def note_finished(self, attempt: str) -> None:
        """Count a finished stream, and turn warm after enough of them."""
        self.on_removed(attempt)
        self._finished += 1
        if self._finished >= self._parameters.warm_after_requests:
            self.is_cold = False

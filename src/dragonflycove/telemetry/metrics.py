"""Metrics of a node: counters by reason, and the time to first token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors, renderer

if TYPE_CHECKING:
    from dragonflycove.values import outcomes, requests

FIRST_TOKEN_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.42, 0.84, 1.7, 3.4, 6.8, 15.0, 30.0, 60.0, 120.0)
"""Upper bounds of the histogram buckets for the time to first token."""


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Create the metrics in a new registry."""
        self.registry = collectors.Registry()
        """Registry that `/metrics` serves."""
        self._refusals = self._counter("dragonflycove_refusals", "Requests refused, by reason")
        self._retries = self._counter("dragonflycove_retries", "Attempts repeated, by reason")
        self._failures = self._counter("dragonflycove_failures", "Requests failed, by reason")
        self._events = self._counter("dragonflycove_events", "Other events, by name")
        self._answered = self._counter("dragonflycove_answered", "Requests answered, by kind")
        self._first_token = collectors.Histogram(
            "dragonflycove_first_token_seconds",
            "Time to first token, by length class",
            registry=self.registry,
            buckets=list(FIRST_TOKEN_BUCKETS_SECONDS),
        )

    def _counter(self, name: str, help_text: str) -> collectors.Counter:
        return collectors.Counter(name, help_text, registry=self.registry)

    def refused(self, reason: outcomes.Reason) -> None:
        """Count a refused request."""
        self._refusals.inc({"reason": reason.value})

    def retried(self, reason: outcomes.Reason, count: int = 1) -> None:
        """Count retries of attempts."""
        self._retries.add({"reason": reason.value}, count)

    def failed(self, reason: outcomes.Reason) -> None:
        """Count a failed request."""
        self._failures.inc({"reason": reason.value})

    def answered(self, kind: str) -> None:
        """Count a request whose complete response was sent, by its kind."""
        self._answered.inc({"kind": kind})

    def count(self, name: str, amount: int = 1) -> None:
        """Count another event.

        Args:
            name: Name of the event, in snake case.
            amount: Number of occurrences to add.
        """
        if amount:
            self._events.add({"name": name}, amount)

    def first_token(self, length: requests.LengthClass, seconds: float) -> None:
        """Record the time to first token of a request.

        Args:
            length: Length class of the prompt.
            seconds: Time to first token, seconds.
        """
        self._first_token.observe({"length": length.value}, seconds)

    def totals(self, name: str) -> dict[str, float]:
        """Return the values of one counter by label value.

        Args:
            name: `refusals`, `retries`, `failures`, `events` or `answered`.

        Returns:
            Totals by reason, event name or kind.
        """
        counter: collectors.Counter = getattr(self, f"_{name}")
        return {
            str(next(iter(labels.values()))): float(value)  # type: ignore[arg-type]
            for labels, value in counter.get_all()
        }

    def render(self, accept: list[str]) -> tuple[bytes, str]:
        """Render the metrics in a Prometheus format.

        Args:
            accept: Values of the `Accept` headers, which choose the format.

        Returns:
            The encoded metrics and their media type.
        """
        content, headers = renderer.render(self.registry, accept)
        return content, headers["Content-Type"]

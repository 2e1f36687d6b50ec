"""Metrics: a counter for each refusal and retry reason, and the times that users measure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import collectors, renderer

if TYPE_CHECKING:
    from dragonflycove.values import outcomes, requests

FIRST_TOKEN_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.42, 0.84, 1.7, 3.4, 6.8, 15.0, 30.0, 60.0, 120.0)
"""Upper bounds of the buckets for time to first token, seconds."""


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Create the metrics in a registry of their own."""
        self.registry = collectors.Registry()
        """The registry that `/metrics` shows."""
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

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(name, doc, registry=self.registry)

    def refused(self, reason: outcomes.Reason) -> None:
        """Count a refusal."""
        self._refusals.inc({"reason": reason.value})

    def retried(self, reason: outcomes.Reason, count: int = 1) -> None:
        """Count repeated attempts."""
        self._retries.add({"reason": reason.value}, count)

    def failed(self, reason: outcomes.Reason) -> None:
        """Count a failed request."""
        self._failures.inc({"reason": reason.value})

    def answered(self, kind: str) -> None:
        """Count a request with its whole answer."""
        self._answered.inc({"kind": kind})

    def count(self, name: str, amount: int = 1) -> None:
        """Count another event.

        Args:
            name: Name of the event, in snake case.
            amount: How often it happened.
        """
        if amount:
            self._events.add({"name": name}, amount)

    def first_token(self, length: requests.LengthClass, seconds: float) -> None:
        """Record a time to first token.

        Args:
            length: Class of the prompt.
            seconds: The time, seconds.
        """
        self._first_token.observe({"length": length.value}, seconds)

    def totals(self, name: str) -> dict[str, float]:
        """Return the values of one counter by its label.

        Args:
            name: `refusals`, `retries`, `failures`, `events` or `answered`.

        Returns:
            The totals by reason, event name or kind.
        """
        counter: collectors.Counter = getattr(self, f"_{name}")
        return {
            str(next(iter(labels.values()))): float(value)  # type: ignore[arg-type]
            for labels, value in counter.get_all()
        }

    def render(self, accept: list[str]) -> tuple[bytes, str]:
        """Render the metrics for a scraper.

        Args:
            accept: Values of the Accept headers.

        Returns:
            The content and its media type.
        """
        content, headers = renderer.render(self.registry, accept)
        return content, headers["Content-Type"]

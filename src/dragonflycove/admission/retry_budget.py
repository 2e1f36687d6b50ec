"""Retry budgets: bound a service's retries to a share of its admitted requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
"""Retries added to the budget by each admitted request."""

MAX_SAVED_RETRIES = 10.0
"""Maximum number of retries that a budget holds."""

RETRIES_PER_SECOND = 0.1
"""Retries added to the budget per second, independent of requests."""


class RetryBudget:
    """Token bucket of the retries that one service may still make."""

    def __init__(self, now: float) -> None:
        """Create a full budget.

        Args:
            now: Loop time, seconds.
        """
        self._available = MAX_SAVED_RETRIES
        self._refilled_at = now

    def on_admitted(self) -> None:
        """Add the retries for one admitted request, `RETRIES_PER_REQUEST`."""
        self._available = min(MAX_SAVED_RETRIES, self._available + RETRIES_PER_REQUEST)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget, if one is left.

        Args:
            now: Loop time, seconds.

        Returns:
            Whether the retry may be made.
        """
        earned = (now - self._refilled_at) * RETRIES_PER_SECOND
        self._available = min(MAX_SAVED_RETRIES, self._available + earned)
        self._refilled_at = now
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class RetryBudgets:
    """Retry budgets by service, created with a service's first request."""

    def __init__(self) -> None:
        """Create an empty set of budgets."""
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def on_admitted(self, service: str, now: float) -> None:
        """Add the retries for one admitted request to its service's budget.

        Args:
            service: The request's service.
            now: Loop time, seconds.
        """
        self._budget_of(service, now).on_admitted()

    def spend(self, service: str, now: float) -> bool:
        """Take one retry from the budget, if one is left.

        Args:
            service: The request's service.
            now: Loop time, seconds.

        Returns:
            Whether the retry may be made.
        """
        return self._budget_of(service, now).spend(now)

    def _budget_of(self, service: str, now: float) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget(now)
        return budget

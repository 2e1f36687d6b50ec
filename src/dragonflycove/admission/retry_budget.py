"""Bounds the retries of a service to a share of its requests."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.1
"""Retries that one admitted request pays for."""

MAX_SAVED_RETRIES = 10.0
"""Most retries that can be saved up."""

RETRIES_PER_SECOND = 0.1
"""Retries that time alone pays for, per second."""


class RetryBudget:
    """The retries that one service may still spend."""

    def __init__(self, now: float) -> None:
        """Create a full budget.

        Args:
            now: Time, seconds.
        """
        self._available = MAX_SAVED_RETRIES
        self._refilled_at = now

    def on_admitted(self) -> None:
        """Add the share that one admitted request pays for."""
        self._available = min(MAX_SAVED_RETRIES, self._available + RETRIES_PER_REQUEST)

    def spend(self, now: float) -> bool:
        """Take one retry, if there is one.

        Args:
            now: Time, seconds.

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
    """The retry budget of each service that has had a request."""

    def __init__(self) -> None:
        """Create no budgets."""
        self._budgets_by_service: dict[str, RetryBudget] = {}

    def on_admitted(self, service: str, now: float) -> None:
        """Add the share that one admitted request pays for.

        Args:
            service: The request's service.
            now: Time, seconds.
        """
        self._budget_of(service, now).on_admitted()

    def spend(self, service: str, now: float) -> bool:
        """Take one retry, if there is one.

        Args:
            service: The request's service.
            now: Time, seconds.

        Returns:
            Whether the retry may be made.
        """
        return self._budget_of(service, now).spend(now)

    def _budget_of(self, service: str, now: float) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget(now)
        return budget

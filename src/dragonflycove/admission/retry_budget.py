"""Bounds the retries of a service to a share of its requests."""

from __future__ import annotations

RETRY_SHARE = 0.1
"""Retries that one admitted request pays for."""

RETRY_RESERVE = 10.0
"""Most retries that can be saved up."""

RESERVE_PER_SECOND = 0.1
"""Retries that time alone pays for, per second."""


class RetryBudget:
    """The retries that one service may still spend."""

    def __init__(self, now: float) -> None:
        """Create a full budget.

        Args:
            now: Time, seconds.
        """
        self._available = RETRY_RESERVE
        self._refilled_at = now

    def on_admitted(self) -> None:
        """Add the share that one admitted request pays for."""
        self._available = min(RETRY_RESERVE, self._available + RETRY_SHARE)

    def spend(self, now: float) -> bool:
        """Take one retry, if there is one.

        Args:
            now: Time, seconds.

        Returns:
            Whether the retry may be made.
        """
        earned = (now - self._refilled_at) * RESERVE_PER_SECOND
        self._available = min(RETRY_RESERVE, self._available + earned)
        self._refilled_at = now
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class Budgets:
    """The retry budget of each service that has had a request."""

    def __init__(self) -> None:
        """Create no budgets."""
        self._by_service: dict[str, RetryBudget] = {}

    def on_admitted(self, service: str, now: float) -> None:
        """Add the share that one admitted request pays for.

        Args:
            service: The request's service.
            now: Time, seconds.
        """
        self._of(service, now).on_admitted()

    def spend(self, service: str, now: float) -> bool:
        """Take one retry, if there is one.

        Args:
            service: The request's service.
            now: Time, seconds.

        Returns:
            Whether the retry may be made.
        """
        return self._of(service, now).spend(now)

    def _of(self, service: str, now: float) -> RetryBudget:
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(now)
        return budget

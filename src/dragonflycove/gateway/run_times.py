"""How long attempts at requests have taken lately, by route."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import catalog

if TYPE_CHECKING:
    from dragonflycove.fleet import forwarding

MAX_SAMPLES = 64
"""Answered attempts that are remembered for each route."""

MAX_AGE_SECONDS = 60.0
"""Time for which an answered attempt is remembered."""

REPEATABLE_SHARE = 0.5
"""Share of the attempts that took no longer than expected, where another one may follow."""

UNREPEATABLE_SHARE = 0.95
"""The same where no other one may follow."""


class _Sample(NamedTuple):
    seconds_per_unit: float
    expires_at: float


class Run:
    """An attempt that has not ended."""

    def __init__(self, route_name: str, units: int, started_at: float) -> None:
        """Create a run.

        Args:
            route_name: Name of the request's route.
            units: Size of the request.
            started_at: Loop time at which the attempt began.
        """
        self.route_name = route_name
        """Name of the request's route."""
        self.units = units
        """Size of the request."""
        self.started_at = started_at
        """Loop time at which the attempt began."""


class RunTimes:
    """Times of the attempts that were answered lately, and of those that go on."""

    def __init__(self) -> None:
        """Create without attempts."""
        self._samples_by_route: dict[str, collections.deque[_Sample]] = {}
        self._runs_by_route: collections.defaultdict[str, set[Run]] = collections.defaultdict(set)

    def start(self, route: catalog.Route, request: forwarding.CallerRequest, now: float) -> Run:
        """Record that an attempt begins.

        Args:
            route: Its route.
            request: The request.
            now: Loop time.

        Returns:
            The run, for `end`.
        """
        run = Run(route.name, _units(route, request), now)
        self._runs_by_route[route.name].add(run)
        return run

    def end(self, run: Run, now: float, *, is_answered: bool) -> None:
        """Record that an attempt has ended.

        Args:
            run: The run.
            now: Loop time.
            is_answered: Whether its caller got a complete response that reports success.
        """
        runs = self._runs_by_route[run.route_name]
        runs.discard(run)
        if not runs:
            del self._runs_by_route[run.route_name]
        if is_answered:
            samples = self._samples_by_route.setdefault(
                run.route_name, collections.deque(maxlen=MAX_SAMPLES)
            )
            seconds = (now - run.started_at) / run.units
            samples.append(_Sample(seconds, now + MAX_AGE_SECONDS))

    def expected_seconds(
        self,
        route: catalog.Route,
        request: forwarding.CallerRequest,
        limit_seconds: float,
        now: float,
    ) -> float:
        """Return how long an attempt is expected to take, at most the time that its request has.

        Without answers to go by, a request that can't be repeated is expected to take all its time.

        Args:
            route: Its route.
            request: The request.
            limit_seconds: Time that it has.
            now: Loop time.
        """
        samples = [
            one.seconds_per_unit
            for one in self._samples_by_route.get(route.name, ())
            if one.expires_at > now
        ]
        ages = [
            (now - run.started_at) / run.units for run in self._runs_by_route.get(route.name, ())
        ]
        if samples:
            share = REPEATABLE_SHARE if route.is_retryable else UNREPEATABLE_SHARE
            typical = _quantile(samples, share)
            # An attempt that goes on says nothing until it has taken longer than others.
            typical = _quantile(samples + [age for age in ages if age > typical], share)
        elif route.is_retryable:
            typical = max(ages, default=0.0)
        else:
            return limit_seconds
        return min(limit_seconds, typical * _units(route, request))

    def discard_expired(self, now: float) -> None:
        """Forget the routes without recent answers.

        Args:
            now: Loop time.
        """
        self._samples_by_route = {
            name: samples
            for name, samples in self._samples_by_route.items()
            if samples[-1].expires_at > now
        }


def _units(route: catalog.Route, request: forwarding.CallerRequest) -> int:
    """Return the size of a request, which its time grows with."""
    return max(1, request.output_tokens) if route.kind is catalog.CallKind.STREAMING else 1


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]

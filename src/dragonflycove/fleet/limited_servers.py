"""Counts requests towards the rate limits of backend servers, and predicts when they take more."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import request_rate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dragonflycove.fleet import catalog, server_limits, work

CALLS_PER_RESERVATION = 2
"""Calls of a KV cache reservation that count: its order and its release."""


class RateCapacity(NamedTuple):
    """What a service takes whose usable servers all have limits."""

    free_now: int
    """Requests that may be sent now."""

    next_seconds: float
    """Time until the next one after those."""

    requests_per_second: float
    """Rate of all its servers together, as far as this node may use it."""

    def seconds_until(self, position: int) -> float:
        """Return the time until a number of requests can have been sent.

        Args:
            position: Number of requests, counted from 1.
        """
        later = position - self.free_now
        if later <= 0:
            return 0.0
        return self.next_seconds + (later - 1) / self.requests_per_second


class LimitedServers:
    """The rates of the servers that state limits."""

    def __init__(self, limits: server_limits.ServerLimits, share: Callable[[float], float]) -> None:
        """Create without counted requests.

        Args:
            limits: Limits that this node knows.
            share: Returns this node's share of common limits at a loop time.
        """
        self._limits = limits
        self._compute_share = share
        self._share_at = (float("-inf"), 0.0)
        self._rate_by_instance: dict[catalog.Instance, request_rate.RequestRate] = {}

    def share(self, now: float) -> float:
        """Return this node's share of common limits, computed once for each loop time.

        Args:
            now: Loop time.
        """
        if self._share_at[0] != now:
            self._share_at = (now, self._compute_share(now))
        return self._share_at[1]

    @property
    def has_limits(self) -> bool:
        """Whether any server states a limit."""
        return len(self._limits) > 0

    def is_limited(self, instance: catalog.Instance) -> bool:
        """Whether a server states a limit.

        Args:
            instance: The server.
        """
        return self._limits.limit(instance) is not None

    def can_take_request(self, instance: catalog.Instance, now: float) -> bool:
        """Whether another request stays within a server's limit, if it has one.

        Args:
            instance: The server.
            now: Loop time.
        """
        limit = self._limits.limit(instance)
        return limit is None or self._tokens(instance, limit, now) >= 1.0

    def on_placement(self, grant: work.Grant, now: float) -> None:
        """Count the requests of a placement towards the limits of its servers.

        Args:
            grant: The servers that a request was placed on.
            now: Loop time.
        """
        self.on_request(grant.lead.instance, now)
        for helper in grant.helpers:
            count = 1 + CALLS_PER_RESERVATION * (helper.reserved_tokens > 0)
            self.on_request(helper.server.instance, now, count)

    def on_request(self, instance: catalog.Instance, now: float, count: int = 1) -> None:
        """Count requests towards a server's limit, if it has one.

        Args:
            instance: The server.
            now: Loop time.
            count: Number of requests.
        """
        limit = self._limits.limit(instance)
        if limit is not None:
            self._tokens(instance, limit, now)
            self._rate_by_instance[instance].take(count)

    def capacity(self, instances: Iterable[catalog.Instance], now: float) -> RateCapacity | None:
        """Return what servers take together; None if one of them takes any number of requests.

        Args:
            instances: The servers; at least one.
            now: Loop time.
        """
        free_now, rates, waits = 0, 0.0, []
        share = self.share(now)
        for instance in instances:
            limit = self._limits.limit(instance)
            if limit is None:
                return None
            tokens = self._tokens(instance, limit, now)
            rate = request_rate.effective_rate(limit, share)
            whole = max(0, int(tokens))
            free_now += whole
            rates += rate
            waits.append((whole + 1 - tokens) / rate)
        return RateCapacity(free_now, min(waits), rates)

    def discard_unlimited(self) -> None:
        """Discard the counts of servers whose limits have ended."""
        self._rate_by_instance = {
            instance: rate
            for instance, rate in self._rate_by_instance.items()
            if self.is_limited(instance)
        }

    def _tokens(self, instance: catalog.Instance, limit: float, now: float) -> float:
        rate = self._rate_by_instance.get(instance)
        if rate is None:
            rate = self._rate_by_instance[instance] = request_rate.RequestRate(now)
        # Idle time adds up to this node's share of one request. Whole ones that many nodes had
        # saved would exceed the limit together when their hub is lost.
        return rate.refill(
            request_rate.effective_rate(limit, self.share(now)),
            1 / request_rate.effective_rate(limit, 1.0),
            now,
        )

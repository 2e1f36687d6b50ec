"""Compares ways to divide a limit by the units that each leaves unused.

The shares are computed by real share tables. Permits and leases are models of the ways that were
weighed and not taken; where they leave a choice, it is made in their favour.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from dragonflycove.shares import share_table
from dragonflycove.values import identifiers


class Outage(NamedTuple):
    """A time in which something cannot be reached."""

    starts_at: float
    """First moment, seconds."""

    ends_at: float
    """First moment after it, seconds."""

    def covers(self, now: float) -> bool:
        """Tell whether a moment lies in the outage."""
        return self.starts_at <= now < self.ends_at


NEVER = Outage(0.0, 0.0)
"""No outage."""


class Scenario(NamedTuple):
    """One death of a host, and what is down around it. Times are seconds."""

    hosts: int
    """Number of hosts."""

    limits: tuple[share_table.Limit, ...]
    """Limits that are divided."""

    seconds: int
    """Length of the scenario."""

    dies_at: float
    """When the first host dies."""

    unlisted_after: float = 10.0
    """Time from the death to its leaving the host list."""

    replaced_after: float = 10.0
    """Time from the death to its successor's listing, under a new name."""

    list_outage: Outage = NEVER
    """When the host list cannot be read."""

    log_outage: Outage = NEVER
    """When the log cannot be written."""

    lag_seconds: float = 5.0
    """Lag bound of the host list."""

    reclaim_seconds: float = 20.0
    """Reclaim time."""

    permit_seconds: float = 2.0
    """Life of a permit."""

    lease_seconds: float = 10.0
    """Life of a lease in the log."""

    def names(self, now: float) -> frozenset[str]:
        """Return the host list that is true at a moment."""
        names = {f"host-{number}" for number in range(self.hosts)}
        if now >= self.dies_at + self.unlisted_after:
            names.discard("host-0")
        if now >= self.dies_at + self.replaced_after:
            names.add("host-new")
        return frozenset(names)

    def living(self, now: float) -> frozenset[str]:
        """Return the hosts whose nodes run at a moment."""
        return self.names(now) - ({"host-0"} if now >= self.dies_at else set())


class Unused(NamedTuple):
    """Units left unused over a scenario."""

    unit_seconds: float
    """Unit-seconds that nobody could use."""

    fraction: float
    """The same as a fraction of all."""

    longest_seconds: int
    """Longest time in which the limit that fared worst had no usable unit."""


def compare_shares(scenario: Scenario) -> Unused:
    """Measure the shares with real tables that settled long before.

    Args:
        scenario: The scenario.

    Returns:
        The units left unused.
    """
    lag, reclaim = scenario.lag_seconds, scenario.reclaim_seconds
    tables: dict[str, share_table.ShareTable] = {}
    usable = []
    warm_up = int(2 * (lag + reclaim)) + 2
    for second in range(-warm_up, scenario.seconds):
        now = float(second)
        listed = scenario.names(now)
        for host in scenario.living(now):
            table = tables.setdefault(host, share_table.ShareTable(host, lag, reclaim))
            if not scenario.list_outage.covers(now):
                table.on_host_list(listed, 0.0, now)
        if second >= 0:
            usable.append(_sum_units(scenario, tables, now))
    return _summarise(scenario, usable)


def compare_permits(scenario: Scenario) -> Unused:
    """Model permits that the highest ranked host gives out.

    Who has become the highest ranked waits for the list's lag and a permit's life. Work that
    runs on is taken over without loss.

    Args:
        scenario: The scenario.

    Returns:
        The units left unused.
    """
    usable = []
    issuers = {limit.name: _Issuer() for limit in scenario.limits}
    for second in range(scenario.seconds):
        now = float(second)
        row = []
        for limit in scenario.limits:
            working = issuers[limit.name].step(scenario, limit, now)
            row.append(limit.units if working else 0)
        usable.append(row)
    return _summarise(scenario, usable)


def compare_leases(scenario: Scenario) -> Unused:
    """Model one lease in the log for each unit, held by the highest ranked hosts.

    Args:
        scenario: The scenario.

    Returns:
        The units left unused.
    """
    usable = []
    outage = scenario.log_outage
    for second in range(scenario.seconds):
        now = float(second)
        lapsed = outage.covers(now) and now >= outage.starts_at + scenario.lease_seconds
        vacant = scenario.dies_at <= now < scenario.dies_at + scenario.lease_seconds
        # A lease of the dead host cannot pass on while the log is down.
        vacant = vacant or (now >= scenario.dies_at and outage.covers(now))
        row = []
        for limit in scenario.limits:
            hosts = identifiers.rendezvous_rank(limit.name, scenario.names(-1.0))
            lost = share_table.divide(limit.units, hosts.index("host-0"), len(hosts))
            row.append(0 if lapsed else limit.units - lost * vacant)
        usable.append(row)
    return _summarise(scenario, usable)


class _Issuer:
    """Which host gives out the permits of one limit, and since when it may."""

    def __init__(self) -> None:
        self._host = ""
        self._read_at = 0.0
        self._may_at = float("-inf")
        self._stopped_at = float("inf")

    def step(self, scenario: Scenario, limit: share_table.Limit, now: float) -> bool:
        """Tell whether permits are valid at a moment."""
        if not scenario.list_outage.covers(now):
            self._read_at = now
            names = scenario.names(now)
            best = max(names, key=lambda name: identifiers.stable_hash(limit.name, name))
            if best != self._host and self._host:
                self._may_at = now + scenario.lag_seconds + scenario.permit_seconds
            self._host = best
        alive = self._host in scenario.living(now)
        if alive and now >= self._may_at and now - self._read_at <= scenario.lag_seconds:
            self._stopped_at = now
            return True
        return now - self._stopped_at < scenario.permit_seconds


def _sum_units(
    scenario: Scenario, tables: dict[str, share_table.ShareTable], now: float
) -> list[int]:
    """Return the units that living hosts may use, by limit."""
    living = scenario.living(now)
    return [
        sum(table.units(limit, now) for host, table in tables.items() if host in living)
        for limit in scenario.limits
    ]


def _summarise(scenario: Scenario, usable: list[list[int]]) -> Unused:
    """Sum up the units left unused in each second."""
    total = sum(limit.units for limit in scenario.limits) * len(usable)
    unused = total - sum(sum(row) for row in usable)
    longest = 0
    for column in zip(*usable, strict=True):
        run = 0
        for units in column:
            run = 0 if units else run + 1
            longest = max(longest, run)
    return Unused(float(unused), unused / total, longest)


Compare = Callable[[Scenario], Unused]
"""One of the functions above."""

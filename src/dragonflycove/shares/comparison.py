"""Simulates ways to divide a limit and compares the units that each leaves unused.

Shares are computed by real share tables. Permits and leases are models of two alternatives that
were rejected; where a model is ambiguous, the choice favours the alternative.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from dragonflycove.shares import share_table
from dragonflycove.values import identifiers


class Outage(NamedTuple):
    """A period during which the host list or the log is unreachable."""

    starts_at: float
    """Start of the outage, seconds from the start of the scenario."""

    ends_at: float
    """End of the outage, exclusive, seconds from the start of the scenario."""

    def covers(self, now: float) -> bool:
        """Return whether a time lies in the outage."""
        return self.starts_at <= now < self.ends_at


NO_OUTAGE = Outage(0.0, 0.0)
"""An outage that covers no time, for scenarios without one."""


class Scenario(NamedTuple):
    """One host failure and the outages around it; all times are in seconds."""

    hosts: int
    """Number of hosts."""

    limits: tuple[share_table.Limit, ...]
    """Limits to divide."""

    seconds: int
    """Duration of the scenario."""

    dies_at: float
    """Time at which the first host (`host-0`) dies, from the start of the scenario."""

    unlisted_after: float = 10.0
    """Time from the death until the host list no longer has the host."""

    replaced_after: float = 10.0
    """Time from the death until the host list has its successor, under a new name."""

    list_outage: Outage = NO_OUTAGE
    """Period during which the host list cannot be read."""

    log_outage: Outage = NO_OUTAGE
    """Period during which the log cannot be written."""

    lag_seconds: float = 5.0
    """Maximum age of a host list that may be acted on."""

    reclaim_seconds: float = 20.0
    """Time within which the work of a dead host is ended."""

    permit_seconds: float = 2.0
    """Validity of a permit."""

    lease_seconds: float = 10.0
    """Validity of a lease in the log."""

    def listed_hosts(self, now: float) -> frozenset[str]:
        """Return the names on the host list at a time."""
        names = {f"host-{number}" for number in range(self.hosts)}
        if now >= self.dies_at + self.unlisted_after:
            names.discard("host-0")
        if now >= self.dies_at + self.replaced_after:
            names.add("host-new")
        return frozenset(names)

    def running_hosts(self, now: float) -> frozenset[str]:
        """Return the hosts whose nodes are running at a time."""
        return self.listed_hosts(now) - ({"host-0"} if now >= self.dies_at else set())


class UnusedUnits(NamedTuple):
    """Units left unused over a scenario."""

    unit_seconds: float
    """Unit-seconds that no host could use."""

    fraction: float
    """Unused unit-seconds as a fraction of all unit-seconds of the scenario."""

    longest_seconds: int
    """Longest period in which no host could use a unit of some limit, seconds."""


def simulate_shares(scenario: Scenario) -> UnusedUnits:
    """Simulate shares, with real share tables that are in a steady state at the start.

    Args:
        scenario: The scenario.

    Returns:
        The units left unused.
    """
    lag, reclaim = scenario.lag_seconds, scenario.reclaim_seconds
    tables: dict[str, share_table.ShareTable] = {}
    usable = []
    settling_seconds = int(2 * (lag + reclaim)) + 2
    for second in range(-settling_seconds, scenario.seconds):
        now = float(second)
        listed = scenario.listed_hosts(now)
        for host in scenario.running_hosts(now):
            table = tables.setdefault(host, share_table.ShareTable(host, lag, reclaim))
            if not scenario.list_outage.covers(now):
                table.on_host_list(listed, 0.0, now)
        if second >= 0:
            usable.append(_sum_units(scenario, tables, now))
    return _summarise(scenario, usable)


def simulate_permits(scenario: Scenario) -> UnusedUnits:
    """Simulate permits that are issued by the highest ranked host.

    A host that becomes the highest ranked waits for the lag of the host list and the validity of a
    permit before it issues any. Running work is assumed to continue
    under the new host's permits without interruption.

    Args:
        scenario: The scenario.

    Returns:
        The units left unused.
    """
    usable = []
    issuers = {limit.name: _PermitIssuer() for limit in scenario.limits}
    for second in range(scenario.seconds):
        now = float(second)
        row = []
        for limit in scenario.limits:
            permits_valid = issuers[limit.name].step(scenario, limit, now)
            row.append(limit.units if permits_valid else 0)
        usable.append(row)
    return _summarise(scenario, usable)


def simulate_leases(scenario: Scenario) -> UnusedUnits:
    """Simulate one lease in the log per unit, held by the highest ranked hosts.

    Args:
        scenario: The scenario.

    Returns:
        The units left unused.
    """
    usable = []
    outage = scenario.log_outage
    for second in range(scenario.seconds):
        now = float(second)
        all_leases_expired = outage.covers(now) and now >= outage.starts_at + scenario.lease_seconds
        dead_host_leases_blocked = (
            scenario.dies_at <= now < scenario.dies_at + scenario.lease_seconds
        )
        # The dead host's leases cannot be transferred while the log is down.
        dead_host_leases_blocked = dead_host_leases_blocked or (
            now >= scenario.dies_at and outage.covers(now)
        )
        row = []
        for limit in scenario.limits:
            hosts = identifiers.rendezvous_rank(limit.name, scenario.listed_hosts(-1.0))
            lost = share_table.divide(limit.units, hosts.index("host-0"), len(hosts))
            row.append(0 if all_leases_expired else limit.units - lost * dead_host_leases_blocked)
        usable.append(row)
    return _summarise(scenario, usable)


class _PermitIssuer:
    """The host that issues the permits of one limit, and the earliest time at which it may."""

    def __init__(self) -> None:
        self._host = ""
        self._read_at = 0.0
        self._may_issue_at = float("-inf")
        self._last_issued_at = float("inf")

    def step(self, scenario: Scenario, limit: share_table.Limit, now: float) -> bool:
        """Advance to a time and return whether permits are valid then."""
        if not scenario.list_outage.covers(now):
            self._read_at = now
            names = scenario.listed_hosts(now)
            highest_ranked = max(names, key=lambda name: identifiers.stable_hash(limit.name, name))
            if highest_ranked != self._host and self._host:
                self._may_issue_at = now + scenario.lag_seconds + scenario.permit_seconds
            self._host = highest_ranked
        is_running = self._host in scenario.running_hosts(now)
        if is_running and now >= self._may_issue_at and now - self._read_at <= scenario.lag_seconds:
            self._last_issued_at = now
            return True
        return now - self._last_issued_at < scenario.permit_seconds


def _sum_units(
    scenario: Scenario, tables: dict[str, share_table.ShareTable], now: float
) -> list[int]:
    """Return the units that running hosts may use, one number per limit."""
    running_hosts = scenario.running_hosts(now)
    return [
        sum(table.units(limit, now) for host, table in tables.items() if host in running_hosts)
        for limit in scenario.limits
    ]


def _summarise(scenario: Scenario, usable: list[list[int]]) -> UnusedUnits:
    """Aggregate the usable units, one row per second and one column per limit."""
    total = sum(limit.units for limit in scenario.limits) * len(usable)
    unused = total - sum(sum(row) for row in usable)
    longest = 0
    for column in zip(*usable, strict=True):
        run = 0
        for units in column:
            run = 0 if units else run + 1
            longest = max(longest, run)
    return UnusedUnits(float(unused), unused / total, longest)


Simulation = Callable[[Scenario], UnusedUnits]
"""Signature of the `simulate_*` functions."""

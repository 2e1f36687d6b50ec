"""What hosts can take and do take, from the loads that they report.

Answers hosts of unequal size, and hosts that turn slow, in the directory.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import peer_messages

FULL_LAG_SECONDS = 0.1
"""Lag of the event loop of a host that is full; half of the time to pass an event on."""

LOAD_LIFETIME_SECONDS = 3.0
"""Time after which a load is not known any more; several reports in a row are lost by then."""

RISE_SECONDS = 0.5
"""Time constant with which a load that rises is smoothed; callers soon follow."""

FALL_SECONDS = 2.0
"""Time constant with which a load that falls is smoothed; as callers keep responses."""


MIN_CORES = 0.01
"""Minimum cores that a host counts with; also those of a host that states none that can be."""


class SmoothedLoad(NamedTuple):
    """A host's load, smoothed over its reports."""

    incarnation: int
    """Incarnation of the node's process."""

    link_bytes_per_second: float
    """Capacity of the host's link; 0 if not given."""

    link_load: float
    """Share of that capacity in use."""

    processor_load: float
    """Share of the processor time in use."""

    pressure: float
    """Largest share in use of any resource, 0 to 1."""

    reported_at: float
    """Loop time of the last report."""


def pressure_of(load: peer_messages.HostLoad) -> float:
    """Return the largest share in use of any resource of a host, 0 to 1.

    Args:
        load: What the host reports.
    """
    shares = (
        load.link_load,
        load.processor_load,
        load.memory_load,
        load.lag_seconds / FULL_LAG_SECONDS,
    )
    return min(1.0, max(0.0, *shares))


class HostLoads:
    """The loads of hosts as they last reported them, smoothed."""

    def __init__(self) -> None:
        """Create the object without any load."""
        self._load_by_host: dict[str, SmoothedLoad] = {}

    def on_report(self, load: peer_messages.HostLoad, now: float) -> None:
        """Add a report; ignored for older incarnations and if a number is none.

        Args:
            load: What the host reports.
            now: Loop time.
        """
        measured = (
            load.link_bytes_per_second,
            load.link_load,
            load.processor_load,
            load.memory_load,
            load.lag_seconds,
        )
        if not all(math.isfinite(value) for value in measured):
            return
        known = self._load_by_host.get(load.host)
        if known is not None and known.incarnation > load.incarnation:
            return
        new = SmoothedLoad(
            load.incarnation,
            max(0.0, load.link_bytes_per_second),
            min(1.0, max(0.0, load.link_load)),
            min(1.0, max(0.0, load.processor_load)),
            pressure_of(load),
            now,
        )
        if known is not None and known.incarnation == load.incarnation:
            seconds = now - known.reported_at
            new = new._replace(
                link_load=smooth(known.link_load, new.link_load, seconds),
                processor_load=smooth(known.processor_load, new.processor_load, seconds),
                pressure=smooth(known.pressure, new.pressure, seconds),
            )
        self._load_by_host[load.host] = new

    def get(self, host: str, now: float) -> SmoothedLoad | None:
        """Return a host's load; None if no current one is known.

        Args:
            host: Its host name.
            now: Loop time.
        """
        load = self._load_by_host.get(host)
        if load is None or now - load.reported_at > LOAD_LIFETIME_SECONDS:
            return None
        return load

    def discard_expired(self, now: float) -> None:
        """Forget loads that are too old.

        Args:
            now: Loop time.
        """
        for host in list(self._load_by_host):
            if self.get(host, now) is None:
                del self._load_by_host[host]


def smooth(
    known: float,
    new: float,
    seconds: float,
    rise_seconds: float = RISE_SECONDS,
    fall_seconds: float = FALL_SECONDS,
) -> float:
    """Return an exponentially smoothed value, with one time constant for each direction.

    Args:
        known: The value so far.
        new: The value measured.
        seconds: Time between them.
        rise_seconds: Time constant of a rise.
        fall_seconds: Time constant of a fall.
    """
    constant = rise_seconds if new > known else fall_seconds
    return known + (new - known) * -math.expm1(-max(0.0, seconds) / constant)


class Host(NamedTuple):
    """A host that may be named, with its load."""

    host: str
    """Host name."""

    zone: str
    """Its availability zone."""

    region: str
    """Its region."""

    cores: float
    """CPU cores that it may use; may be a fraction."""

    load: SmoothedLoad | None
    """Its load; None if none is known."""


def usable_cores(cores: float) -> float:
    """Return a host's cores, or the minimum if it states none that can be.

    Args:
        cores: What it states.
    """
    return max(MIN_CORES, cores) if math.isfinite(cores) else MIN_CORES


def zone_pressures(hosts: Iterable[Host]) -> dict[str, float]:
    """Return the mean pressure of each zone's hosts by their cores, by zone.

    Zones without a known load are left out.

    Args:
        hosts: The hosts that may be named.
    """
    cores_by_zone: dict[str, float] = {}
    used_by_zone: dict[str, float] = {}
    for host in hosts:
        if host.load is None:
            continue
        cores = usable_cores(host.cores)
        cores_by_zone[host.zone] = cores_by_zone.get(host.zone, 0.0) + cores
        used = host.load.pressure * cores
        used_by_zone[host.zone] = used_by_zone.get(host.zone, 0.0) + used
    return {zone: used / cores_by_zone[zone] for zone, used in used_by_zone.items()}

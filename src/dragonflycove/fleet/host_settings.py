"""Settings of a process on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog


class StoreLimits(NamedTuple):
    """Where the platform's store is and what it takes from all nodes together."""

    address: catalog.Address
    """Address of the store."""

    writes_per_second: float
    """Writing calls a second."""

    reads_per_second: float
    """Reading calls a second."""


class Bounds(NamedTuple):
    """Bounds that the deployment sets."""

    drain_seconds: float
    """Time after which a leaving server gets no more requests."""

    grace_seconds: float
    """Time between SIGTERM and SIGKILL."""

    contact_seconds: float
    """Time for which a disturbed host is excused from the other bounds."""

    retry_ratio: float
    """Repeated sends allowed per request, over the fleet."""

    retry_window_seconds: float
    """Window in which repeated sends are counted."""

    retry_allowance: float
    """Repeated sends allowed per window beside the ratio, over the fleet."""

    cold_overage: float
    """Factor on the rate that a cold server bears, over the fleet."""

    cold_tolerance: float
    """Requests a second that a cold server may get beside that."""

    directory_ttl_seconds: float
    """Longest time for which callers may keep a directory answer."""

    hold_seconds: float
    """Longest time that a memory reservation may ask for."""

    stall_seconds: float
    """Time that an engine waits for another one that is gone."""


class HostSettings(NamedTuple):
    """Settings of one process."""

    host: str
    """Name of this host."""

    ip: str
    """IP address of this host."""

    zone: str
    """Availability zone of this host."""

    region: str
    """Region of the zone."""

    region_by_zone: dict[str, str]
    """All availability zones with their regions."""

    caller_address: catalog.Address | None
    """Where callers connect."""

    readiness_address: catalog.Address | None
    """Where the platform asks whether this node is ready."""

    directory_address: catalog.Address | None
    """Where callers ask which addresses to use."""

    peer_address: catalog.Address
    """Where other nodes reach this node."""

    seed_ips: tuple[str, ...]
    """IP addresses of some hosts that may be running."""

    cores: float
    """Share of a core that this host has."""

    memory_bytes: int
    """Memory that the process may use."""

    heartbeat_seconds: float
    """Time between two registrations of a backend server."""

    store: StoreLimits
    """The platform's store."""

    bounds: Bounds
    """Bounds of the deployment."""

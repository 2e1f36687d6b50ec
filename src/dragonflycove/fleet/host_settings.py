"""Settings that the platform gives to a node's process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import load_parts

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog


class StoreLimits(NamedTuple):
    """Address and rate limits of the platform's store, shared by all nodes."""

    address: catalog.Address
    """Address of the store."""

    writes_per_second: float
    """Write calls per second, over the fleet."""

    reads_per_second: float
    """Read calls per second, over the fleet."""


class Bounds(NamedTuple):
    """Bounds that the deployment sets on the nodes' behaviour."""

    drain_seconds: float
    """Time after which a draining server must get no more requests."""

    grace_seconds: float
    """Time between SIGTERM and SIGKILL."""

    contact_seconds: float
    """Time after a disturbance of a host during which the other bounds don't apply to it."""

    retry_ratio: float
    """Retries allowed per request, over the fleet."""

    retry_window_seconds: float
    """Sliding window in which retries are counted."""

    retry_allowance: float
    """Retries allowed per window in addition to the ratio, over the fleet."""

    cold_overage: float
    """Factor on a cold server's rate limit that the fleet must not exceed."""

    cold_tolerance: float
    """Requests per second that a cold server may get above its limit times `cold_overage`."""

    directory_ttl_seconds: float
    """Maximum time for which callers may cache a directory response."""

    max_reservation_seconds: float
    """Maximum duration of a KV cache reservation."""

    stall_seconds: float
    """Time for which an engine waits for another engine that has stopped."""

    config_apply_seconds: float = 2.0
    """Time after its acknowledgement within which a configuration is in force at all nodes."""

    rollback_slack_seconds: float = 0.25
    """Time after the first effect of a configuration from which on none before it decides."""


class HostSettings(NamedTuple):
    """Settings of one node's process."""

    host: str
    """Name of this host."""

    ip: str
    """IP address of this host."""

    zone: str
    """Availability zone of this host."""

    region: str
    """Region of the zone."""

    region_by_zone: dict[str, str]
    """Region of every availability zone."""

    caller_address: catalog.Address | None
    """Address for callers; None if this node accepts no callers."""

    readiness_address: catalog.Address | None
    """Address for the platform's readiness checks; None if not given."""

    directory_address: catalog.Address | None
    """Address for callers' directory lookups; None if not given."""

    peer_address: catalog.Address
    """Address for messages from other nodes."""

    relay_address: catalog.Address
    """Address for requests that other nodes relay; `roster.Member.relay_address` derives it."""

    seed_ips: tuple[str, ...]
    """IP addresses of hosts to contact first; some may not be running."""

    cores: float
    """CPU cores that this host may use; may be a fraction."""

    memory_bytes: int
    """Memory that the process may use."""

    max_descriptors: int
    """Descriptors that the process may open."""

    heartbeat_seconds: float
    """Interval at which backend servers renew their registrations."""

    store: StoreLimits
    """Address and rate limits of the platform's store."""

    bounds: Bounds
    """Bounds of the deployment."""

    link_bytes_per_second: float = 0.0
    """Capacity of the host's link; 0 if not given."""

    load_parts: load_parts.LoadParts = load_parts.LoadParts()
    """Which parts of the handling of heavy load are in use."""

"""Settings of a node."""

from __future__ import annotations

from typing import Annotated

import msgspec

Address = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$", description="a.b.c.d:port")
]
"""IP address and port."""

Seconds = Annotated[float, msgspec.Meta(gt=0)]
"""A positive time, seconds."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
"""A name of a host or an availability zone."""


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process."""

    host: Name
    """Name of this host in the host list."""

    zone: Name
    """Name of this host's availability zone."""

    caller_address: Address
    """Address on which callers and operators reach this node."""

    peer_address: Address
    """Address on which other nodes reach this node."""

    log_address: Address
    """Address of the log service."""

    host_list_address: Address
    """Address of the host list."""

    lookup_ttl_seconds: Seconds = 5.0
    """Time for which callers may keep an address, seconds."""

    heartbeat_seconds: Seconds = 2.0
    """Time between heartbeats to a waiting caller, seconds."""

    report_seconds: Seconds = 0.25
    """Time between readings of an engine's load, seconds."""

    digest_seconds: Seconds = 0.25
    """Time between two digests of this node's load to its peers, seconds."""

    silence_seconds: Seconds = 2.0
    """Time without a frame after which a connection counts as silent, seconds."""

    default_deadline_seconds: Seconds = 30.0
    """Time for a request whose caller names none, seconds."""

    drain_seconds: Seconds = 60.0
    """Longest time that a graceful stop waits for running requests, seconds."""

    host_list_lag_seconds: Seconds = 3.0
    """Bound on the lag of the host list, seconds."""

    reclaim_seconds: Seconds = 8.0
    """Time within which what a dead node left on an engine is given back, seconds."""

    log_retention_seconds: Seconds = 3600.0
    """Time for which the log service keeps a record, seconds."""

    log_appends_per_second: Annotated[int, msgspec.Meta(ge=1)] = 200
    """Appends a second that the log service takes from all nodes together."""

    weight_units_per_second: Annotated[int, msgspec.Meta(ge=1)] = 4
    """Units a second that the weight store gives to all nodes together."""

    log_path: str = ""
    """File for the logs; empty for the standard error."""

"""Settings of a node, read from its settings file."""

from __future__ import annotations

from typing import Annotated

import msgspec

Address = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$", description="a.b.c.d:port")
]
"""IPv4 address and port, `a.b.c.d:port`."""

Seconds = Annotated[float, msgspec.Meta(gt=0)]
"""A duration above zero, seconds."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
"""A name of a host or an availability zone."""


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process. The field names are the keys of its settings file."""

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
    """Time for which callers may cache an address, seconds."""

    heartbeat_seconds: Seconds = 2.0
    """Interval of heartbeats to a waiting caller, seconds."""

    report_seconds: Seconds = 0.25
    """Interval at which an engine's load report is fetched, seconds."""

    digest_seconds: Seconds = 0.25
    """Interval at which this node sends its load digest to its peers, seconds."""

    silence_seconds: Seconds = 2.0
    """Time without a byte from an engine after which the attempt counts as failed, seconds."""

    default_deadline_seconds: Seconds = 30.0
    """Time from arrival to the deadline of a request whose caller gives no deadline, seconds."""

    drain_seconds: Seconds = 60.0
    """Maximum time that a graceful stop waits for running requests, seconds."""

    host_list_lag_seconds: Seconds = 3.0
    """Maximum time for which the host list may lag behind the hosts' actual state, seconds."""

    reclaim_seconds: Seconds = 8.0
    """Time within which resources that a dead node held on an engine are released, seconds."""

    log_retention_seconds: Seconds = 3600.0
    """Time for which the log service keeps a record, seconds."""

    log_appends_per_second: Annotated[int, msgspec.Meta(ge=1)] = 200
    """Appends per second that the log service accepts from all nodes together."""

    weight_units_per_second: Annotated[int, msgspec.Meta(ge=1)] = 4
    """Units per second that the weight store grants to all nodes together."""

    log_path: str = ""
    """Path of the log file; empty for standard error."""

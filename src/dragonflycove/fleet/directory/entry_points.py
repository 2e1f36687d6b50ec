"""Chooses the nodes whose addresses the directory gives to a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import catalog

MAX_ADDRESSES = 64
"""Maximum addresses in a directory response; callers read no more."""

MIN_ZONE_NODES = 2
"""Minimum nodes of the caller's zone; with fewer, all nodes of the region are listed."""


class EntryPoint(NamedTuple):
    """A node that accepts callers."""

    address: catalog.Address
    """Address for callers."""

    zone: str
    """Its availability zone."""

    region: str
    """Its region."""

    cores: float
    """CPU cores that it may use; may be a fraction."""

    reaches_servers: bool = True
    """Whether it reaches the servers of all services itself, without relaying requests."""

    host: str = ""
    """Host name."""


def choose(points: Iterable[EntryPoint], region: str, zone: str) -> list[EntryPoint]:
    """Choose the nodes to list: those of the caller's zone, else of its region, else all nodes.

    Nodes that don't reach servers are left out as long as others do.

    Args:
        points: The nodes that accept callers.
        region: The caller's region.
        zone: The caller's availability zone.

    Returns:
        The nodes; callers pick one at random for each connection.
    """
    return nearest(reachable(points), region, zone)[:MAX_ADDRESSES]


def reachable(points: Iterable[EntryPoint]) -> list[EntryPoint]:
    """Return the nodes that reach servers, or all if none does, in a fixed order.

    Args:
        points: The nodes that accept callers.
    """
    known = sorted(points, key=lambda point: str(point.address))
    return [point for point in known if point.reaches_servers] or known


def nearest(points: list[EntryPoint], region: str, zone: str) -> list[EntryPoint]:
    """Return the nodes of a zone if there are enough, else those of its region, else all.

    Args:
        points: The nodes that may be listed.
        region: The caller's region.
        zone: The caller's availability zone.
    """
    near = [point for point in points if point.zone == zone]
    if len(near) >= MIN_ZONE_NODES:
        return near
    return [point for point in points if point.region == region] or points

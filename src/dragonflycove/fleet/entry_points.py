"""Chooses the nodes that a caller is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import catalog

MOST_ADDRESSES = 64
"""Addresses that a caller reads of one answer."""

LEAST_NEAR = 2
"""Nodes of the caller's zone that suffice; with fewer, those of the region are named as well."""


class EntryPoint(NamedTuple):
    """A node that takes callers."""

    address: catalog.Address
    """Where callers connect."""

    zone: str
    """Its availability zone."""

    region: str
    """Its region."""

    cores: float
    """Its share of a core."""


def choose(points: Iterable[EntryPoint], region: str, zone: str) -> list[EntryPoint]:
    """Choose the nodes to name, those of the caller's zone first.

    Args:
        points: The nodes that take callers.
        region: The caller's region.
        zone: The caller's availability zone.

    Returns:
        The nodes; callers pick one at random for each connection.
    """
    listed = sorted(points, key=lambda point: str(point.address))
    near = [point for point in listed if point.zone == zone]
    if len(near) >= LEAST_NEAR:
        return near[:MOST_ADDRESSES]
    regional = [point for point in listed if point.region == region]
    return (regional or listed)[:MOST_ADDRESSES]

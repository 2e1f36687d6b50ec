"""Which zones' hosts are also named to the callers of another zone, decided at the first hub.

Answers callers of one zone that move to another: its hosts would be overloaded while others idle.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet.directory import host_pressure

if TYPE_CHECKING:
    from collections.abc import Mapping

HELP_PRESSURE = 0.65
"""Mean pressure of a zone's hosts above which others help; bytes between zones cost money."""

FULL_HELP_PRESSURE = 0.9
"""Mean pressure at which the zones are used alike."""

MIN_DIFFERENCE = 0.1
"""Difference between the zones' pressures from which on help is given; less may be chance."""

FULL_DIFFERENCE = 0.3
"""Difference between the zones' pressures at which all help is given."""

RISE_SECONDS = 0.5
"""Time constant with which help rises."""

FALL_SECONDS = 10.0
"""Time constant with which help falls; longer than callers keep responses."""

MIN_SHARE = 0.02
"""Help below this share ends."""


class Pair(NamedTuple):
    """A zone and one that helps it."""

    zone: str
    """Zone of the callers."""

    helper: str
    """Zone of the hosts."""


class ZoneHelp:
    """How much the zones of each region help each other."""

    def __init__(self) -> None:
        """Create the object without help."""
        self._share_by_pair: dict[Pair, float] = {}
        self._updated_at = float("-inf")

    def update(
        self,
        pressure_by_zone: Mapping[str, float],
        region_by_zone: Mapping[str, str],
        now: float,
    ) -> dict[Pair, float]:
        """Move the shares towards those that the pressures ask for.

        Args:
            pressure_by_zone: Mean pressure of each zone's hosts.
            region_by_zone: Region of each zone; only zones of one region help each other.
            now: Loop time.

        Returns:
            Weight of the helper's hosts for the zone's callers relative to its own hosts, 0 to 1.
        """
        seconds = max(0.0, now - self._updated_at)
        self._updated_at = now
        pairs = {
            Pair(zone, helper)
            for zone in pressure_by_zone
            for helper in pressure_by_zone
            if zone != helper and region_by_zone.get(zone) == region_by_zone.get(helper)
        }
        shares = {}
        for pair in sorted(pairs | set(self._share_by_pair)):
            wanted = 0.0
            if pair in pairs:
                wanted = _wanted_share(pressure_by_zone[pair.zone], pressure_by_zone[pair.helper])
            known = self._share_by_pair.get(pair, 0.0)
            share = host_pressure.smooth(known, wanted, seconds, RISE_SECONDS, FALL_SECONDS)
            if max(share, wanted) >= MIN_SHARE:
                shares[pair] = share
        self._share_by_pair = shares
        return dict(shares)


def _wanted_share(pressure: float, helper_pressure: float) -> float:
    need = (pressure - HELP_PRESSURE) / (FULL_HELP_PRESSURE - HELP_PRESSURE)
    room = (pressure - helper_pressure - MIN_DIFFERENCE) / (FULL_DIFFERENCE - MIN_DIFFERENCE)
    return min(1.0, max(0.0, need)) * min(1.0, max(0.0, room))

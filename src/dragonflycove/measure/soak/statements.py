"""Checks that nodes heed servers that ask for rest, or that say in their responses that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.measure.soak import crashes

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dragonflycove.standins.platform import server as platform_server

NOTICE_SECONDS = 0.5
"""Time after a response that asks for rest from which the rest binds its node."""

REST_TOLERANCE = 2
"""Requests that may arrive from a node in a time of rest."""

CONTACT_SECONDS = 3.0
"""Time after a disturbance of a node for which it excuses the node."""

DRAIN_SECONDS = 2.0
"""Time after a node passed on a response that says so from which a server gets no requests."""

TRANSIT_SECONDS = 1.0
"""Time that a request takes at most from its caller over a slow link to its server."""

MIN_REST_SECONDS, MAX_REST_SECONDS = 0.8, 4.0
"""Range of the rests that servers ask for."""


class StatementLog:
    """The servers that have asked for rest or said that they leave."""

    def __init__(self, node_by_ip: Mapping[str, str]) -> None:
        """Create an empty log.

        Args:
            node_by_ip: Names of the nodes by the addresses that they connect from.
        """
        self._node_by_ip = node_by_ip
        self._disturbances: list[crashes.Disturbance] = []
        self.resting: list[platform_server.PlatformServer] = []
        """Servers that have asked for rest."""
        self.leaving: list[tuple[platform_server.PlatformServer, float]] = []
        """Servers that have said that they leave, each with the time from which on."""

    def excuse(self, node: str, begin: float, end: float) -> None:
        """Record that a node was restarted, paused or cut off; faults of the store excuse nothing.

        Args:
            node: Name of the node; empty for all.
            begin: Time of the monotonic clock.
            end: Time of the monotonic clock.
        """
        self._disturbances.append(crashes.Disturbance(node, begin, end))

    def _is_excused(self, ip: str, begin: float, end: float) -> bool:
        """Whether a node was disturbed in a span of time, or shortly before."""
        return any(
            one.node in ("", self._node_by_ip[ip])
            and one.begin < end
            and one.end > begin - CONTACT_SECONDS
            for one in self._disturbances
        )

    def violations(self) -> list[str]:
        """Return one line for each statement that a node did not heed."""
        return [
            line
            for lines in (
                *map(self._rest_violations, self.resting),
                *(self._drain_violations(server, since) for server, since in self.leaving),
            )
            for line in lines
        ]

    def _rest_violations(self, server: platform_server.PlatformServer) -> list[str]:
        lines = []
        for rest in server.rest_requests:
            end = rest.at + float(rest.stated)
            count = sum(
                one.sender_ip == rest.sender_ip and rest.at + NOTICE_SECONDS < one.at < end
                for one in server.arrivals_by_sender
            )
            if count > REST_TOLERANCE and not self._is_excused(rest.sender_ip, rest.at, end):
                node = self._node_by_ip[rest.sender_ip]
                lines.append(
                    f"BUDGET: {server.server_id} asked {node} for {rest.stated} s of rest and got"
                    f" {count} requests from it"
                )
        return lines

    def _drain_violations(self, server: platform_server.PlatformServer, since: float) -> list[str]:
        lines = []
        for ip, node in self._node_by_ip.items():
            times = [
                one.at
                for one in server.arrivals_by_sender
                if one.sender_ip == ip and one.at >= since
            ]
            if not times:
                continue
            late = [at for at in times if at > times[0] + DRAIN_SECONDS + TRANSIT_SECONDS]
            if late and not self._is_excused(ip, times[0], late[0]):
                lines.append(
                    f"DRAIN: {server.server_id} told {node} that it leaves and got {len(late)}"
                    f" requests from it {late[0] - times[0]:.1f} s later and on"
                )
        return lines

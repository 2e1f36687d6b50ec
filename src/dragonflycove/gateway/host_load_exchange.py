"""Exchange of host loads: reports to the hubs, and the first hub's weights to all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages
from dragonflycove.fleet.directory import (
    host_pressure,
    naming_weights,
    weighted_choice,
    zone_help,
)
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random

    from dragonflycove.fleet import catalog, roster
    from dragonflycove.fleet.directory import entry_points
    from dragonflycove.gateway import host_meter, peer_socket

MIN_INTERVAL_SECONDS = 0.5
"""Lower limit of the interval between two reports of a load."""

MAX_INTERVAL_SECONDS = 1.0
"""Upper limit of it; a load is known for three of them."""

MAX_HOSTS_PER_MESSAGE = 40
"""Hosts with weights of their own; keeps the message under 1,400 bytes, as any path carries."""

MAX_PAIRS_PER_MESSAGE = 6
"""Helping zones in one message, the most helpful first."""

MIN_WEIGHT_DIFFERENCE = 0.1
"""Difference from the usual weight from which on a host's weight is sent."""

MAX_PERMILLE = 1_000_000
"""Maximum weight per core that is read from a message, thousandths."""

HELP_LOG_SECONDS = 10.0
"""Minimum time between two log lines that a zone gets help."""


class HostLoadExchange:
    """Reports this host's load, and keeps the weights of all hosts."""

    def __init__(
        self,
        nodes: roster.Roster,
        datagram_socket: peer_socket.PeerSocket,
        meter: host_meter.HostMeter,
        rng: random.Random,
    ) -> None:
        """Create the exchange and register its message handlers at the socket.

        Args:
            nodes: This node and the others.
            datagram_socket: Socket to the other nodes.
            meter: Measures this host's load.
            rng: Random generator.
        """
        self._nodes = nodes
        self._peer_socket = datagram_socket
        self._meter = meter
        self._loads = host_pressure.HostLoads()
        self._weights = naming_weights.NamingWeights()
        self._help = zone_help.ZoneHelp()
        self._choice = weighted_choice.WeightedChoice(rng)
        self._next_report_at = float("-inf")
        self._help_logged_at_by_zone: dict[str, float] = {}
        self._own_load: peer_messages.HostLoad | None = None
        datagram_socket.register(peer_messages.HostLoad, self._on_load)
        datagram_socket.register(peer_messages.NamingWeights, self._on_weights)

    def choose(
        self, points: list[entry_points.EntryPoint], region: str, zone: str
    ) -> list[entry_points.EntryPoint]:
        """Choose the nodes to list for a caller.

        Args:
            points: The nodes that accept callers.
            region: The caller's region.
            zone: The caller's availability zone.
        """
        return self._choice.choose(points, region, zone, asyncio.get_running_loop().time())

    def on_timer(self, lag_seconds: float, counts: host_meter.CallerCounts) -> None:
        """Report the load if it is time, and decide on weights if this node is the first hub.

        Args:
            lag_seconds: How late the timer was.
            counts: Counts of the callers' listener.
        """
        now = asyncio.get_running_loop().time()
        self._meter.on_timer(lag_seconds)
        if now < self._next_report_at:
            return
        self._next_report_at = now + min(
            MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, self._nodes.report_seconds)
        )
        load = self._own_load = self._meter.measure(counts, now)
        self._loads.on_report(load, now)
        hubs = self._nodes.hubs(now)
        for hub in hubs:
            if hub.host != self._nodes.own.host:
                self._peer_socket.send(hub.peer_address, load)
        if self._nodes.is_first_hub(now):
            self._decide(now)

    def _decide(self, now: float) -> None:
        """Decide on the weights of all hosts, and send them to all nodes."""
        alive = self._nodes.alive(now)
        members = [status.member for status in alive if status.is_ready and not status.is_leaving]
        if self._nodes.is_ready and not self._nodes.is_leaving:
            members.append(self._nodes.own)
        hosts = [
            host_pressure.Host(
                member.host,
                member.zone,
                member.region,
                member.cores,
                self._loads.get(member.host, now),
            )
            for member in members
        ]
        usual, weight_by_host = naming_weights.most_different(
            self._weights.update(hosts, now), MIN_WEIGHT_DIFFERENCE, MAX_HOSTS_PER_MESSAGE
        )
        share_by_pair = self._help.update(
            host_pressure.zone_pressures(hosts), {host.zone: host.region for host in hosts}, now
        )
        self._log_help(share_by_pair, now)
        by_share = sorted(share_by_pair.items(), key=lambda item: item[1], reverse=True)
        message = peer_messages.NamingWeights(
            round(usual * 1_000),
            tuple(
                peer_messages.HostWeight(host, round(weight * 1_000))
                for host, weight in weight_by_host.items()
            ),
            tuple(
                peer_messages.HelpShare(pair.zone, pair.helper, round(share * 1_000))
                for pair, share in by_share[:MAX_PAIRS_PER_MESSAGE]
            ),
        )
        self._use(message, now)
        for status in alive:
            self._peer_socket.send(status.member.peer_address, message)

    def _log_help(self, share_by_pair: dict[zone_help.Pair, float], now: float) -> None:
        for zone in sorted({pair.zone for pair in share_by_pair}):
            if now - self._help_logged_at_by_zone.get(zone, float("-inf")) < HELP_LOG_SECONDS:
                continue
            self._help_logged_at_by_zone[zone] = now
            shares = {p.helper: share for p, share in share_by_pair.items() if p.zone == zone}
            logs.event(
                "zone_helped",
                zone=zone,
                helpers=",".join(shares),
                share=round(max(shares.values()), 2),
            )

    def _on_load(self, load: peer_messages.HostLoad, sender: catalog.Address) -> None:
        self._loads.on_report(load, asyncio.get_running_loop().time())

    def _on_weights(self, message: peer_messages.NamingWeights, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        hubs = self._nodes.hubs(now)
        if hubs and hubs[0].peer_address == sender:
            self._use(message, now)

    def _use(self, message: peer_messages.NamingWeights, now: float) -> None:
        self._choice.on_weights(
            weighted_choice.Weights(
                min(MAX_PERMILLE, message.usual_permille) / 1_000,
                {one.host: min(MAX_PERMILLE, one.permille) / 1_000 for one in message.hosts},
                {
                    zone_help.Pair(one.zone, one.helper): min(1_000, max(0, one.permille)) / 1_000
                    for one in message.help
                },
                now,
            )
        )

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauge metrics by name."""
        load = self._own_load
        return {
            "dragonflycove_host_load": host_pressure.pressure_of(load) if load else 0.0,
            "dragonflycove_loop_lag_seconds": load.lag_seconds if load else 0.0,
            "dragonflycove_named_hosts": self._choice.named,
        }

    def discard_expired(self, now: float) -> None:
        """Forget loads that are too old.

        Args:
            now: Loop time.
        """
        self._loads.discard_expired(now)

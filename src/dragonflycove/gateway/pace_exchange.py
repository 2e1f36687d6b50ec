"""Reports what this node has measured of servers' speed to the hubs, and takes in others' reports."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from dragonflycove.fleet import peer_messages
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, placer, roster, store_view
    from dragonflycove.fleet.capacity import server_paces
    from dragonflycove.gateway import pace_meter, peer_socket


class PaceExchange:
    """Keeps `ServerPaces` up to date with what all nodes measure."""

    def __init__(
        self,
        nodes: roster.Roster,
        view: store_view.StoreView,
        server_placer: placer.Placer,
        paces: server_paces.ServerPaces,
        meter: pace_meter.PaceMeter,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the exchange and register its message handler at the socket.

        Args:
            nodes: This node and the others.
            view: Servers as this node knows them.
            server_placer: Knows what is placed on the servers.
            paces: Takes in the evidence.
            meter: What this node measures.
            datagram_socket: Socket to the other nodes.
        """
        self._nodes = nodes
        self._store_view = view
        self._placer = server_placer
        self._paces = paces
        self._meter = meter
        self._peer_socket = datagram_socket
        datagram_socket.register(peer_messages.PaceReport, self._on_report)

    def report(self) -> None:
        """Take in what this node measured since the last call, and send it to the hubs."""
        now = asyncio.get_running_loop().time()
        own_host = self._nodes.own.host
        addresses = [hub.peer_address for hub in self._nodes.hubs(now) if hub.host != own_host]
        for report in self._meter.take():
            for address in addresses:
                self._peer_socket.send(address, report)
            self._apply(report, now)
        if self._is_hub(now):
            self._placer.check_silence(now)
        for change in self._paces.changes(now):
            logs.event(
                "server_pace",
                server=change.instance.server_id,
                born=change.instance.started_at_ms,
                slowdown=change.slowdown,
                slow=change.is_slow,
                slow_servers=self._paces.slow_count,
            )

    def _on_report(self, report: peer_messages.PaceReport, sender: catalog.Address) -> None:
        self._apply(report, asyncio.get_running_loop().time())

    def _is_hub(self, now: float) -> bool:
        return self._nodes.hub_rank(now) >= 0

    def _apply(self, report: peer_messages.PaceReport, now: float) -> None:
        configuration = self._store_view.configuration
        for record in report.records:
            server = self._store_view.server(record.instance)
            is_valid = math.isfinite(record.slowdown) and record.slowdown > 0 and record.samples > 0
            if server is None or configuration is None or not is_valid:
                continue
            service = configuration.service_by_name.get(server.service)
            if service is None:
                continue
            if service.engine is None:
                self._paces.on_response_record(record, now)
                continue
            if not self._is_hub(now):
                # Only hubs know the contexts and prefills that others placed on the engine.
                continue
            times = self._placer.pass_times(record.instance, now)
            # An engine without a declared step time has nothing to compare with.
            if times is not None and times.shortest > 0:
                self._paces.on_pass_record(record, times, now)

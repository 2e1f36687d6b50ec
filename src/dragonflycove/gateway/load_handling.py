"""The parts of the handling of heavy load that are in use at a node; see `fleet/load_parts.py`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet.capacity import server_paces
from dragonflycove.fleet.directory import entry_points
from dragonflycove.fleet.memory import byte_account
from dragonflycove.fleet.queueing import capacity_bookings, organisation_shares
from dragonflycove.gateway import (
    callers,
    held_bytes,
    host_load_exchange,
    host_meter,
    organisation_names,
    pace_exchange,
    pace_meter,
    relay_codec,
    response_bodies,
)
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    import random

    from dragonflycove.fleet import catalog, host_settings, placer, roster, store_view, work
    from dragonflycove.gateway import peer_socket

REPORT_INTERVAL_SECONDS = 0.25
"""Time between two reports of what this node has measured."""


class LoadHandling:
    """Owns the parts, exchanges what they know with other nodes, and shows them at work."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        nodes: roster.Roster,
        view: store_view.StoreView,
        datagram_socket: peer_socket.PeerSocket,
        rng: random.Random,
    ) -> None:
        """Create the parts that the settings ask for.

        Args:
            settings: Settings of the process.
            nodes: The other nodes.
            view: Servers as this node knows them.
            datagram_socket: Socket to the other nodes.
            rng: Random generator.
        """
        self.parts = settings.load_parts
        """Which parts are in use."""
        own_memory_bytes = settings.memory_bytes
        if not self.parts.byte_account:
            own_memory_bytes -= response_bodies.MAX_BUFFERED_BYTES
        self.held = held_bytes.HeldBytes(byte_account.ByteAccount.from_memory(own_memory_bytes))
        """The bytes held for callers; without the part `byte_account` those of requests only."""
        self.passed_on_bookings = capacity_bookings.PassedOnBookings()
        """Bookings that this node has passed on to its callers."""
        self._nodes = nodes
        self._store_view = view
        self._peer_socket = datagram_socket
        self._host_loads: host_load_exchange.HostLoadExchange | None = None
        if self.parts.host_loads:
            meter = host_meter.HostMeter(
                nodes.own, settings.link_bytes_per_second, asyncio.get_running_loop().time()
            )
            self._host_loads = host_load_exchange.HostLoadExchange(
                nodes, datagram_socket, meter, rng
            )
        is_learning = self.parts.learned_capacity
        self.paces = server_paces.ServerPaces() if is_learning else None
        """What is learned of the servers' speed and concurrency; None if it isn't."""
        self.meter = pace_meter.PaceMeter(view) if is_learning else None
        """Measures the servers' speed; None if it isn't learned."""
        self._pace_exchange: pace_exchange.PaceExchange | None = None
        self.shares = (
            organisation_shares.OrganisationShares(self._engine_of)
            if self.parts.organisation_shares
            else None
        )
        """Divides capacity between organisations; None if the part isn't in use."""

    def _engine_of(self, service_name: str) -> catalog.EngineSpec | None:
        configuration = self._store_view.configuration
        service = configuration.service_by_name.get(service_name) if configuration else None
        return service.engine if service else None

    def on_running(self, job: work.Job, placed_at: float) -> None:
        """Count a running request that another node reports and this one didn't know.

        Args:
            job: The request.
            placed_at: Loop time of its placement.
        """
        if self.shares is not None:
            self.shares.on_running(job, placed_at, asyncio.get_running_loop().time())

    def connect(self, server_placer: placer.Placer) -> placer.Placer:
        """Take in what other nodes measure, beside what is placed.

        Args:
            server_placer: Knows what is placed on the servers.

        Returns:
            The same placer.
        """
        if self.paces is not None and self.meter is not None:
            self._pace_exchange = pace_exchange.PaceExchange(
                self._nodes,
                self._store_view,
                server_placer,
                self.paces,
                self.meter,
                self._peer_socket,
            )
        return server_placer

    async def run(self, counts: host_meter.CallerCounts) -> None:
        """Report what the parts have measured; runs until cancelled.

        Args:
            counts: Counts of the callers' listener.
        """
        in_use = [name for name, is_in_use in self.parts._asdict().items() if is_in_use]
        logs.event("load_parts", in_use=",".join(in_use))
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + REPORT_INTERVAL_SECONDS
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            self._report(counts, loop.time() - due_at)

    def _report(self, counts: host_meter.CallerCounts, lag_seconds: float) -> None:
        """Send what has been measured since the last report."""
        if self._host_loads is not None:
            self._host_loads.on_timer(lag_seconds, counts)
        if self._pace_exchange is not None:
            self._pace_exchange.report()
        self._report_bookings(asyncio.get_running_loop().time())

    def _report_bookings(self, now: float) -> None:
        """Report the bookings of this node's callers to a first hub that doesn't know them."""
        hub = next(iter(self._nodes.hubs(now)), None)
        if hub is not None:
            for report in self.passed_on_bookings.reports((hub.host, hub.incarnation), now):
                self._peer_socket.send(hub.peer_address, report)

    def choose_entry_points(
        self, points: list[entry_points.EntryPoint], region: str, zone: str
    ) -> list[entry_points.EntryPoint]:
        """Choose the nodes that the directory lists for a caller.

        Args:
            points: The nodes that accept callers.
            region: The caller's region.
            zone: The caller's availability zone.
        """
        if self._host_loads is None:
            return entry_points.choose(points, region, zone)
        return self._host_loads.choose(points, region, zone)

    def caller_accounting(self, view: store_view.StoreView) -> callers.Accounting:
        """Return how bytes held for callers are accounted for.

        Args:
            view: Configuration as this node knows it.
        """
        names = organisation_names.OrganisationNames(view)
        return callers.Accounting(self.held, names.of_caller, has_responses=self.parts.byte_account)

    def relay_accounting(self, view: store_view.StoreView) -> callers.Accounting:
        """Return how bytes held for nodes that relay requests are accounted for.

        Args:
            view: Configuration as this node knows it.
        """
        names = organisation_names.OrganisationNames(view)
        return callers.Accounting(
            self.held,
            names.of_relayed,
            relay_codec.REFUSAL_HEADER,
            has_responses=self.parts.byte_account,
        )

    def gauges(self) -> dict[str, float]:
        """Return the values of the parts' gauge metrics by name."""
        now = asyncio.get_running_loop().time()
        return {
            "dragonflycove_slow_servers": self.paces.slow_count if self.paces else 0,
            "dragonflycove_limited_concurrency": self.paces.limited_count(now) if self.paces else 0,
            "dragonflycove_largest_share": self.shares.largest_share(now) if self.shares else 0.0,
            **(self._host_loads.gauges() if self._host_loads is not None else {}),
            **self.held.gauges(),
        }

    def discard_expired(self, now: float) -> None:
        """Forget servers, nodes and organisations that are gone.

        Args:
            now: Loop time.
        """
        if self._host_loads is not None:
            self._host_loads.discard_expired(now)
        if self.paces is not None:
            self.paces.discard_expired(now)

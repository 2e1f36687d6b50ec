"""Follows how warm each backend server is, and bounds the work that each may get."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.shares import _warmth, share_table

if TYPE_CHECKING:
    from dragonflycove.configuration import schema

REPORT_MAX_AGE_SECONDS = 5.0
"""Age of the newest load report above which a backend server counts as cold."""


class ServerTurnedCold(NamedTuple):
    """Tell the other nodes that a backend server has turned cold."""

    server_id: str
    """Identifier of the backend server."""

    start_id: str
    """Its start that was last reported; empty where none was."""


class ColdStartTracker:
    """Warmth of every backend server of one configuration."""

    def __init__(
        self,
        servers_by_id: dict[str, schema.Server],
        report_max_age_seconds: float = REPORT_MAX_AGE_SECONDS,
    ) -> None:
        """Create a tracker that takes every backend server for cold.

        Args:
            servers_by_id: Backend servers of the configuration.
            report_max_age_seconds: Age of a report above which it says nothing.
        """
        self._report_max_age_seconds = report_max_age_seconds
        self._warmth_by_server: dict[str, _warmth.Warmth] = {}
        self._limit_name_by_server: dict[str, str] = {}
        self.on_configuration(servers_by_id)

    @classmethod
    def from_config(cls, configuration: schema.Configuration) -> ColdStartTracker:
        """Create a tracker for an accepted configuration.

        Args:
            configuration: The configuration.

        Returns:
            The tracker.
        """
        return cls(configuration.servers_by_id)

    def on_configuration(self, servers_by_id: dict[str, schema.Server]) -> None:
        """Take in the backend servers of a new configuration, keeping what is known.

        Args:
            servers_by_id: Backend servers of the configuration.
        """
        kept = self._warmth_by_server
        self._warmth_by_server = {}
        for server_id, server in servers_by_id.items():
            warmth = kept.get(server_id) or _warmth.Warmth()
            warmth.server = server
            self._warmth_by_server[server_id] = warmth
        self._limit_name_by_server = {name: f"cold/{name}" for name in servers_by_id}

    def on_report(
        self,
        server_id: str,
        start_id: str,
        finished_since_start: int,
        running: int,
        age_seconds: float,
        now: float,
    ) -> list[ServerTurnedCold]:
        """Take in a load report.

        Args:
            server_id: Identifier of the backend server.
            start_id: The start of the server that reports.
            finished_since_start: Requests finished since that start.
            running: Requests running on it.
            age_seconds: How long ago the report was true.
            now: Time of the loop's clock.

        Returns:
            What to tell the peers.
        """
        warmth = self._warmth_by_server.get(server_id)
        if warmth is None:
            return []
        turned = warmth.take_report(start_id, finished_since_start, running, now - age_seconds)
        return [ServerTurnedCold(server_id, start_id)] if turned else []

    def on_first_token(
        self, server_id: str, predicted_seconds: float, measured_seconds: float, now: float
    ) -> list[ServerTurnedCold]:
        """Compare a first token's time with the cost model's.

        Args:
            server_id: Identifier of the backend server.
            predicted_seconds: Time to first token that the model gave for a warm server.
            measured_seconds: Time that it took.
            now: Time of the loop's clock.

        Returns:
            What to tell the peers.
        """
        warmth = self._warmth_by_server.get(server_id)
        # In cold start slow first tokens are what the bound is for, not news.
        if warmth is None or not warmth.is_warm(now, self._report_max_age_seconds):
            return []
        if not warmth.is_slow(predicted_seconds, measured_seconds):
            return []
        warmth.turn_cold(now)
        return [ServerTurnedCold(server_id, warmth.start_id)]

    def on_cache_lost(self, server_id: str, now: float) -> list[ServerTurnedCold]:
        """Take in that a backend server lost its prefix cache.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.

        Returns:
            What to tell the peers.
        """
        warmth = self._warmth_by_server.get(server_id)
        if warmth is None:
            return []
        warmth.turn_cold(now)
        return [ServerTurnedCold(server_id, warmth.start_id)]

    def on_crash(self, server_id: str, now: float) -> list[ServerTurnedCold]:
        """Take in that a backend server broke off everything at once.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.

        Returns:
            What to tell the peers.
        """
        warmth = self._warmth_by_server.get(server_id)
        if warmth is None:
            return []
        warmth.break_off(now)
        return [ServerTurnedCold(server_id, warmth.start_id)]

    def on_peer_cold(self, server_id: str, start_id: str, now: float) -> None:
        """Take in that a peer saw a backend server turn cold.

        Args:
            server_id: Identifier of the backend server.
            start_id: The start that the peer saw; word of an earlier start is ignored.
            now: Time of the loop's clock.
        """
        warmth = self._warmth_by_server.get(server_id)
        if warmth is not None and not warmth.has_left_start(start_id):
            warmth.turn_cold(now)

    def bound(self, server_id: str, now: float) -> int:
        """Return the bound on the work of all nodes on a backend server.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.

        Returns:
            Concurrent requests, from its bound in cold start up to its concurrency.
        """
        warmth = self._warmth_by_server.get(server_id)
        if warmth is None:
            return 0
        return warmth.bound(now, self._report_max_age_seconds)

    def is_warm(self, server_id: str, now: float) -> bool:
        """Tell whether a backend server bears its full load.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.

        Returns:
            False in cold start, and where the newest report is too old.
        """
        warmth = self._warmth_by_server.get(server_id)
        return warmth is not None and warmth.is_warm(now, self._report_max_age_seconds)

    def limit(self, server_id: str, now: float) -> share_table.Limit:
        """Return the common limit on a backend server, for asking who holds a share of it.

        Args:
            server_id: Identifier of the backend server.
            now: Time of the loop's clock.

        Returns:
            The limit.
        """
        name = self._limit_name_by_server.get(server_id, f"cold/{server_id}")
        return share_table.Limit(name, self.bound(server_id, now))

    def node_limits(self, shares: share_table.ShareTable, now: float) -> dict[str, int]:
        """Return the concurrent work that this node may have on each backend server.

        A warm server refuses what is too much itself, so each node may fill it. One in cold
        start falls over, so its bound is divided.

        Args:
            shares: This node's shares.
            now: Time of the loop's clock.

        Returns:
            Concurrent requests by identifier of the backend server.
        """
        return {name: self._node_limit(name, shares, now) for name in self._warmth_by_server}

    def _node_limit(self, server_id: str, shares: share_table.ShareTable, now: float) -> int:
        """Return the concurrent work that this node may have on one backend server."""
        limit = self.limit(server_id, now)
        if self.is_warm(server_id, now):
            return limit.units
        # What runs there may belong to nodes without a share, from before it turned cold.
        if self._warmth_by_server[server_id].running >= limit.units:
            return 0
        return shares.units(limit, now)

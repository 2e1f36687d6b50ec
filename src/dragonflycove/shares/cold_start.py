"""Tracks which backend servers are in cold start and limits the concurrency of each."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.shares import _warm_state, share_table

if TYPE_CHECKING:
    from dragonflycove.configuration import schema

REPORT_MAX_AGE_SECONDS = 5.0
"""Maximum age of the newest load report; a server with an older one counts as cold."""


class ServerTurnedCold(NamedTuple):
    """Message to all other nodes: a backend server turned cold and can't take its full load."""

    server_id: str
    """Identifier of the backend server."""

    start_id: str
    """Identifier of its start that was last reported; empty if it has not reported."""


class ColdStartTracker:
    """Warm or cold state of every backend server of the configuration."""

    def __init__(
        self,
        servers_by_id: dict[str, schema.Server],
        report_max_age_seconds: float = REPORT_MAX_AGE_SECONDS,
    ) -> None:
        """Create a tracker in which every backend server counts as cold.

        Args:
            servers_by_id: Backend servers of the configuration.
            report_max_age_seconds: Maximum age of a load report that is used.
        """
        self._report_max_age_seconds = report_max_age_seconds
        self._state_by_server: dict[str, _warm_state.WarmState] = {}
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
        """Process a new configuration; servers that it still lists keep their state.

        Args:
            servers_by_id: Backend servers of the configuration.
        """
        previous = self._state_by_server
        self._state_by_server = {}
        for server_id, server in servers_by_id.items():
            state = previous.get(server_id) or _warm_state.WarmState()
            state.server = server
            self._state_by_server[server_id] = state
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
        """Process a load report.

        Args:
            server_id: Identifier of the backend server.
            start_id: Identifier of the server's start that the report is about.
            finished_since_start: Number of requests finished since that start.
            running: Number of requests running on the server.
            age_seconds: Time since the server measured the report.
            now: Loop time, seconds.

        Returns:
            Messages to broadcast to the other nodes.
        """
        state = self._state_by_server.get(server_id)
        if state is None:
            return []
        turned_cold = state.on_report(start_id, finished_since_start, running, now - age_seconds)
        return [ServerTurnedCold(server_id, start_id)] if turned_cold else []

    def on_first_token(
        self, server_id: str, predicted_seconds: float, measured_seconds: float, now: float
    ) -> list[ServerTurnedCold]:
        """Compare a time to first token with the cost model's prediction.

        Args:
            server_id: Identifier of the backend server.
            predicted_seconds: Time to first token that the cost model predicted for a warm server.
            measured_seconds: Measured time to first token.
            now: Loop time, seconds.

        Returns:
            Messages to broadcast to the other nodes.
        """
        state = self._state_by_server.get(server_id)
        # Slow first tokens are expected in cold start and must not begin another.
        if state is None or not state.is_warm(now, self._report_max_age_seconds):
            return []
        if not state.on_first_token(predicted_seconds, measured_seconds):
            return []
        state.mark_cold(now)
        return [ServerTurnedCold(server_id, state.start_id)]

    def on_cache_lost(self, server_id: str, now: float) -> list[ServerTurnedCold]:
        """Handle that a backend server lost its prefix cache.

        Args:
            server_id: Identifier of the backend server.
            now: Loop time, seconds.

        Returns:
            Messages to broadcast to the other nodes.
        """
        state = self._state_by_server.get(server_id)
        if state is None:
            return []
        state.mark_cold(now)
        return [ServerTurnedCold(server_id, state.start_id)]

    def on_crash(self, server_id: str, now: float) -> list[ServerTurnedCold]:
        """Handle that a backend server crashed and aborted all its requests.

        Args:
            server_id: Identifier of the backend server.
            now: Loop time, seconds.

        Returns:
            Messages to broadcast to the other nodes.
        """
        state = self._state_by_server.get(server_id)
        if state is None:
            return []
        state.mark_crashed(now)
        return [ServerTurnedCold(server_id, state.start_id)]

    def on_peer_cold(self, server_id: str, start_id: str, now: float) -> None:
        """Process a peer's message that a backend server turned cold.

        Args:
            server_id: Identifier of the backend server.
            start_id: Start that the message is about; one about an earlier start is ignored.
            now: Loop time, seconds.
        """
        state = self._state_by_server.get(server_id)
        if state is not None and not state.is_earlier_start(start_id):
            state.mark_cold(now)

    def concurrency_limit(self, server_id: str, now: float) -> int:
        """Return the concurrency limit of a backend server, for all nodes together.

        Args:
            server_id: Identifier of the backend server.
            now: Loop time, seconds.

        Returns:
            Concurrent requests: its limit in cold start, or its concurrency if it is warm; 0 for an
            unknown server.
        """
        state = self._state_by_server.get(server_id)
        if state is None:
            return 0
        return state.concurrency_limit(now, self._report_max_age_seconds)

    def is_warm(self, server_id: str, now: float) -> bool:
        """Return whether a backend server is warm, that is, can take its full concurrency.

        Args:
            server_id: Identifier of the backend server.
            now: Loop time, seconds.

        Returns:
            False in cold start, if the newest report is too old, and for an unknown server.
        """
        state = self._state_by_server.get(server_id)
        return state is not None and state.is_warm(now, self._report_max_age_seconds)

    def limit(self, server_id: str, now: float) -> share_table.Limit:
        """Return the shared limit on a backend server, for looking up its shares.

        Args:
            server_id: Identifier of the backend server.
            now: Loop time, seconds.

        Returns:
            The limit in concurrent requests of all nodes.
        """
        name = self._limit_name_by_server.get(server_id, f"cold/{server_id}")
        return share_table.Limit(name, self.concurrency_limit(server_id, now))

    def node_limits(self, shares: share_table.ShareTable, now: float) -> dict[str, int]:
        """Return the concurrency that this node may use on each backend server.

        A warm server refuses requests above its limit, so each node may use the whole limit. A
        server in cold start crashes when overloaded, so its limit is divided among the nodes.

        Args:
            shares: This node's shares.
            now: Loop time, seconds.

        Returns:
            Concurrent requests by identifier of the backend server.
        """
        return {name: self._node_limit(name, shares, now) for name in self._state_by_server}

    def _node_limit(self, server_id: str, shares: share_table.ShareTable, now: float) -> int:
        """Return the concurrency that this node may use on one backend server."""
        limit = self.limit(server_id, now)
        if self.is_warm(server_id, now):
            return limit.units
        # Requests from before it turned cold may belong to nodes that have no share now.
        if self._state_by_server[server_id].running >= limit.units:
            return 0
        return shares.units(limit, now)

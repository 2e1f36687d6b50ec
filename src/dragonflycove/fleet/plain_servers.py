"""Chooses the server of a plain call by expected loss of value, and counts the calls there.

Plain calls take some ten milliseconds and come by the hundred a second; a server that slows down
must get fewer of them within a second, and not none.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import engine_forecast, engine_selection, server_health

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import catalog, work
    from dragonflycove.fleet.capacity import server_paces

PLAIN_CALL_SECONDS = 0.05
"""Assumed service time of a plain call; the platform's specification states 45 ms of work."""

LOSS_PER_LOAD = 0.1
"""Value assumed lost at a server in full use; spreads calls that would be in time anywhere."""


class PlainChoice(NamedTuple):
    """The server with the least expected loss for a call."""

    server: catalog.BackendServer
    """The server."""

    queued_share: float
    """Calls that would queue there, this one included, as a share of its slots."""

    service_seconds: float
    """Predicted time of the call itself."""

    @property
    def wait_seconds(self) -> float:
        """Predicted time that the call would queue there; 0 if it would not."""
        return self.queued_share * self.service_seconds


class PlainServers:
    """The calls at plain servers."""

    def __init__(
        self, health: server_health.ServerHealth, paces: server_paces.ServerPaces | None
    ) -> None:
        """Create without calls.

        Args:
            health: Health of the servers.
            paces: What is learned of the servers' speed and concurrency; None to assume all alike.
        """
        self._health = health
        self._paces = paces
        self._call_count_by_instance: collections.Counter[catalog.Instance] = collections.Counter()
        self._in_flight_by_key: dict[work.JobKey, int] = {}

    def choose(
        self, job: work.Job, servers: Sequence[catalog.BackendServer], now: float
    ) -> PlainChoice:
        """Return the best server of a call.

        Args:
            job: The call.
            servers: Servers that may get it; at least one.
            now: Loop time.
        """
        choices = [self._evaluate(server, now) for server in servers]

        def loss(choice: PlainChoice) -> float:
            instance = choice.server.instance
            seconds = choice.service_seconds
            load = self._call_count_by_instance[instance] / choice.server.slots
            failure_ratio = self._health.failure_ratio(instance, now)
            is_remote = choice.server.zone != job.zone
            return (
                engine_forecast.miss_probability(
                    (1 + choice.queued_share) * seconds, job.latency_target_seconds
                )
                + LOSS_PER_LOAD * load * (seconds / PLAIN_CALL_SECONDS)
                + engine_selection.FAILURE_LOSS_FACTOR * failure_ratio
                + (engine_selection.REMOTE_ZONE_LOSS if is_remote else 0.0)
            )

        return min(choices, key=loss)

    def free_slots(self, server: catalog.BackendServer, now: float) -> int:
        """Return how many calls a server takes well in addition to those that it has.

        Args:
            server: The server.
            now: Loop time.
        """
        used = self._call_count_by_instance[server.instance]
        return max(0, self._slots(server, now) - used)

    def _slots(self, server: catalog.BackendServer, now: float) -> int:
        if self._paces is None:
            return server.slots
        return self._paces.slots(server.instance, server.slots, now)

    def _evaluate(self, server: catalog.BackendServer, now: float) -> PlainChoice:
        seconds, slots = PLAIN_CALL_SECONDS, self._slots(server, now)
        if self._paces is not None:
            seconds *= self._paces.slowdown(server.instance, now)
        queued = max(0, self._call_count_by_instance[server.instance] + 1 - slots)
        return PlainChoice(server, queued / slots, seconds)

    def add(self, key: work.JobKey, server: catalog.BackendServer) -> None:
        """Count a call at its server.

        Args:
            key: The call.
            server: Its server.
        """
        self._call_count_by_instance[server.instance] += 1
        self._in_flight_by_key[key] = self._call_count_by_instance[server.instance]

    def end(
        self,
        key: work.JobKey,
        server: catalog.BackendServer,
        outcome: server_health.Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Count a call no more, and learn from its end.

        Args:
            key: The call.
            server: Its server.
            outcome: How it ended.
            seconds: Time since its placement.
            now: Loop time.
        """
        instance = server.instance
        in_flight = self._in_flight_by_key.pop(key, 1)
        if self._paces is not None and outcome is server_health.Outcome.ANSWERED:
            self._paces.on_call(instance, seconds, in_flight, server.slots, now)
        elif self._paces is not None and outcome is server_health.Outcome.FULL:
            count = self._call_count_by_instance[instance]
            self._paces.on_full(instance, count, server.slots, now)
        self._call_count_by_instance[instance] -= 1
        if self._call_count_by_instance[instance] <= 0:
            del self._call_count_by_instance[instance]

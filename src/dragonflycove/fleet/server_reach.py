"""Whether this node can open connections to the backend servers of each service.

One failed connection may be the server's fault. A service counts as unreached if no server of a
sample accepts a connection, while this node would place requests on them.
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dragonflycove.fleet import catalog

MAX_SAMPLED_SERVERS = 16
"""Maximum servers of a service that are probed before it counts as unreached."""

FIRST_SAMPLED_SERVERS = 2
"""Servers that are probed first; mostly one of them accepts, and the others are left alone."""

OTHER_SAMPLED_SERVERS = 4
"""Servers of other services that are probed to tell dead servers from a cut of this node."""

RECHECK_SERVERS = 3
"""Servers of an unreached service that are probed at each recheck."""


class ServerReach:
    """The services whose servers this node reaches, and since when it does not reach others."""

    def __init__(self) -> None:
        """Create without evidence; every service counts as reached."""
        self._opened_at_by_service: dict[str, float] = {}
        self._unreached_since_by_service: dict[str, float] = {}
        self._recheck_offset = 0

    @property
    def unreached_services(self) -> tuple[str, ...]:
        """Names of the services that this node does not reach, sorted."""
        return tuple(sorted(self._unreached_since_by_service))

    def is_unreached(self, service: str) -> bool:
        """Whether this node reaches no server of a service.

        Args:
            service: The service.
        """
        return service in self._unreached_since_by_service

    def has_opened_since(self, service: str, since: float) -> bool:
        """Whether a server of a service has accepted a connection since a time.

        Responses over older connections don't count; these can live on while new ones fail.

        Args:
            service: The service.
            since: Loop time.
        """
        return self._opened_at_by_service.get(service, float("-inf")) >= since

    def on_opened(self, service: str, now: float) -> None:
        """Record that a server of a service accepted a connection.

        Args:
            service: The service.
            now: Loop time.
        """
        self._opened_at_by_service[service] = now

    def on_checked(self, service: str, *, probed: int, accepted: int, now: float) -> bool:
        """Record the result of probing a sample of a service's servers.

        Args:
            service: The service.
            probed: Servers that were probed; with none, the service counts as reached.
            accepted: Servers that accepted a connection.
            now: Loop time.

        Returns:
            Whether it changed whether the service is reached.
        """
        if accepted:
            self.on_opened(service, now)
        if accepted or not probed:
            return self._unreached_since_by_service.pop(service, None) is not None
        if service in self._unreached_since_by_service:
            return False
        self._unreached_since_by_service[service] = now
        return True

    def recheck_sample(
        self, servers: Sequence[catalog.BackendServer]
    ) -> list[catalog.BackendServer]:
        """Return the servers of an unreached service that are probed next, others each time.

        Args:
            servers: The service's usable servers.
        """
        ordered = spread_over_zones(servers)
        self._recheck_offset += RECHECK_SERVERS
        if len(ordered) <= RECHECK_SERVERS:
            return ordered
        turns = range(self._recheck_offset, self._recheck_offset + RECHECK_SERVERS)
        return [ordered[turn % len(ordered)] for turn in turns]


def spread_over_zones(servers: Iterable[catalog.BackendServer]) -> list[catalog.BackendServer]:
    """Return servers in an order that takes one of each availability zone in turn.

    Args:
        servers: The servers.
    """
    by_zone: dict[str, list[catalog.BackendServer]] = collections.defaultdict(list)
    for server in servers:
        by_zone[server.zone].append(server)
    rounds = itertools.zip_longest(*by_zone.values())
    return [server for one in rounds for server in one if server is not None]

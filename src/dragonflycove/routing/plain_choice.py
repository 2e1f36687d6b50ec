"""Chooses the backend server for a call to a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dragonflycove.configuration import schema


def rank_plain_servers(
    configuration: schema.Configuration,
    service: str,
    zone: str,
    in_flight_by_server: Mapping[str, int],
    excluded: frozenset[str],
    rng: random.Random,
) -> list[schema.Server]:
    """Rank the servers of a plain service that may get a call now.

    Args:
        configuration: The configuration in force.
        service: Name of the service.
        zone: Zone of this node; its servers go first where loads are equal.
        in_flight_by_server: This node's calls under way at each server.
        excluded: Servers not to use.
        rng: Breaks ties.

    Returns:
        The servers, the best first; those at their concurrency bound are left out.
    """
    usable = [
        server
        for server in configuration.servers_by_id.values()
        if server.service == service
        and server.server_id not in excluded
        and configuration.accepts_new_work(server.server_id)
        and in_flight_by_server.get(server.server_id, 0) < server.concurrency
    ]

    def sort_key(server: schema.Server) -> tuple[int, bool, float]:
        in_flight = in_flight_by_server.get(server.server_id, 0)
        return in_flight, server.zone != zone, rng.random()

    return sorted(usable, key=sort_key)

"""Ranks the backend servers for a call to a plain service, one that is not a model."""

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
    """Rank the servers of a plain service that may get a call now by this node's calls in flight.

    Args:
        configuration: The configuration in force.
        service: Name of the service.
        zone: Availability zone of this node, whose servers are preferred among equally loaded ones.
        in_flight_by_server: This node's calls in flight at each server.
        excluded: Identifiers of the servers that must not be used.
        rng: Orders servers that are equal otherwise.

    Returns:
        The servers, the least loaded first, without those at their concurrency limit.
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

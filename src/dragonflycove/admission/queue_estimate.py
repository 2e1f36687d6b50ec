"""Estimates how long a new request would wait in the nodes' queues."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import lanes
from dragonflycove.routing import engine_pools

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.routing import load_digests

GUARANTEED_SHARES = (
    (slice(0, 1), 1.0 - engine_pools.LOWER_PRIORITY_POOLS_SHARE),
    (
        slice(1, lanes.FIRST_BATCH_INDEX),
        engine_pools.LOWER_PRIORITY_POOLS_SHARE - lanes.BATCH_SHARE,
    ),
    (slice(lanes.FIRST_BATCH_INDEX, len(lanes.LANE_ORDER)), lanes.BATCH_SHARE),
)
"""Groups of lanes and the share of the engines' rate that each gets at least."""


class FleetLanes(NamedTuple):
    """What waits for one model in all nodes, and what they have admitted lately."""

    queued_tokens: list[float]
    """Tokens that wait, by lane in the order of service."""
    admitted_per_second: list[float]
    """Prompt tokens admitted in a second, by lane in the order of service."""
    nodes: int
    """Number of nodes."""


def sum_lanes(parts: Sequence[load_digests.ModelLaneLoad], nodes: int) -> FleetLanes:
    """Add up what waits in several nodes.

    Args:
        parts: What waits in each.
        nodes: Number of nodes.

    Returns:
        The sum.
    """
    queued = [0.0] * len(lanes.LANE_ORDER)
    admitted = [0.0] * len(lanes.LANE_ORDER)
    for part in parts:
        for index in range(len(lanes.LANE_ORDER)):
            queued[index] += part.queued_tokens[index]
            admitted[index] += part.admitted_per_second[index]
    return FleetLanes(queued, admitted, nodes)


def add_own_lanes(peers: FleetLanes, own: load_digests.ModelLaneLoad) -> FleetLanes:
    """Add what waits in this node to what waits in its peers.

    Args:
        peers: What waits in the peers.
        own: What waits in this node.

    Returns:
        The sum.
    """
    queued = [a + b for a, b in zip(peers.queued_tokens, own.queued_tokens, strict=True)]
    admitted = [
        a + b for a, b in zip(peers.admitted_per_second, own.admitted_per_second, strict=True)
    ]
    return FleetLanes(queued, admitted, peers.nodes + 1)


def lane_rate(fleet: FleetLanes, lane: lanes.LaneKey, rate: float) -> float:
    """Estimate the rate that is left for a lane.

    Groups that are served first take what they admit; the others take what they are guaranteed,
    where they use it.

    Args:
        fleet: What waits in all nodes.
        lane: The lane.
        rate: Prompt tokens that all engines read in a second.

    Returns:
        Tokens a second.
    """
    index = lanes.LANE_ORDER.index(lane)
    left = rate
    guaranteed = rate
    for group, share in GUARANTEED_SHARES:
        admitted = fleet.admitted_per_second[group]
        if index in range(group.start, group.stop):
            left -= sum(fleet.admitted_per_second[group.start : index])
            guaranteed = share * rate / (group.stop - group.start)
        elif group.start < index:
            left -= sum(admitted)
        else:
            left -= min(share * rate, sum(admitted))
    return max(guaranteed, left)


def wait_seconds(
    fleet: FleetLanes,
    lane: lanes.LaneKey,
    rate: float,
    organisation_tokens: float,
    organisation_share: float,
) -> float:
    """Estimate the wait of a new request.

    Args:
        fleet: What waits in all nodes.
        lane: The request's lane.
        rate: Prompt tokens that all engines read in a second, above 0.
        organisation_tokens: Tokens of its organisation that wait in its lane at this node, and its
            own.
        organisation_share: Share of the lane's rate that its organisation gets.

    Returns:
        Seconds.
    """
    index = lanes.LANE_ORDER.index(lane)
    own_rate = lane_rate(fleet, lane, rate)
    in_turn = fleet.queued_tokens[index] / own_rate
    by_share = organisation_tokens * fleet.nodes / (own_rate * organisation_share)
    return sum(fleet.queued_tokens[:index]) / rate + min(in_turn, by_share)

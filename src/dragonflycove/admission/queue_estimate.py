"""Estimates how long a new request would wait in the nodes' queues."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import lanes
from dragonflycove.values import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.routing import digests

LEAST_RATE_SHARE = 0.05
"""Least share of the engines' rate that a lane is taken to get."""


class FleetLanes(NamedTuple):
    """What waits for one model in all nodes, and what they have admitted lately."""

    queued_tokens: list[float]
    """Tokens that wait, by lane in the order of service."""
    admitted_per_second: list[float]
    """Prompt tokens admitted in a second, by lane in the order of service."""
    nodes: int
    """Number of nodes."""


def add_up(parts: Sequence[digests.ModelLanes], nodes: int) -> FleetLanes:
    """Add up what waits in each node.

    Args:
        parts: What waits in this node and in its peers.
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
    return FleetLanes(queued, admitted, max(1, nodes))


def lane_rate(fleet: FleetLanes, lane: lanes.LaneKey, rate: float) -> float:
    """Estimate the rate that is left for a lane.

    Args:
        fleet: What waits in all nodes.
        lane: The lane.
        rate: Prompt tokens that all engines read in a second.

    Returns:
        Tokens a second.
    """
    index = lanes.LANE_ORDER.index(lane)
    left = rate - sum(fleet.admitted_per_second[:index])
    if lane.urgency is requests.Urgency.BATCH:
        return max(lanes.BATCH_SHARE * rate, left)
    if any(fleet.queued_tokens[lanes.FIRST_BATCH_INDEX :]):
        left -= lanes.BATCH_SHARE * rate
    return max(LEAST_RATE_SHARE * rate, left)


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
        organisation_tokens: Tokens of its organisation that wait in its lane at this node.
        organisation_share: Share of the lane's rate that its organisation gets.

    Returns:
        Seconds.
    """
    index = lanes.LANE_ORDER.index(lane)
    own_rate = lane_rate(fleet, lane, rate)
    in_turn = fleet.queued_tokens[index] / own_rate
    by_share = organisation_tokens * fleet.nodes / (own_rate * organisation_share)
    return sum(fleet.queued_tokens[:index]) / rate + min(in_turn, by_share)

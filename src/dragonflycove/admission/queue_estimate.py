"""Estimates how long a new request would be queued, from the queues of all nodes."""

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
"""Groups of lanes, as slices of `LANE_ORDER`, and the minimum share of the prefill rate of each."""


class FleetLanes(NamedTuple):
    """Queued tokens and admission rates of one model, summed over all nodes."""

    queued_tokens: list[float]
    """Queued tokens by lane, in the order of `LANE_ORDER`."""
    admitted_per_second: list[float]
    """Prompt tokens admitted per second by lane, in the order of `LANE_ORDER`."""
    nodes: int
    """Number of nodes in the sum."""


def sum_lanes(lane_loads: Sequence[load_digests.ModelLaneLoad], nodes: int) -> FleetLanes:
    """Sum the lane loads of several nodes.

    Args:
        lane_loads: Lane loads of one model; nodes that don't report it are left out.
        nodes: Number of nodes.

    Returns:
        The sum.
    """
    queued = [0.0] * len(lanes.LANE_ORDER)
    admitted = [0.0] * len(lanes.LANE_ORDER)
    for lane_load in lane_loads:
        for index in range(len(lanes.LANE_ORDER)):
            queued[index] += lane_load.queued_tokens[index]
            admitted[index] += lane_load.admitted_per_second[index]
    return FleetLanes(queued, admitted, nodes)


def add_own_lanes(peers: FleetLanes, own: load_digests.ModelLaneLoad) -> FleetLanes:
    """Add this node's lane load to the sum over its peers.

    Args:
        peers: Sum over the peers.
        own: This node's lane load.

    Returns:
        The sum over all nodes.
    """
    queued = [a + b for a, b in zip(peers.queued_tokens, own.queued_tokens, strict=True)]
    admitted = [
        a + b for a, b in zip(peers.admitted_per_second, own.admitted_per_second, strict=True)
    ]
    return FleetLanes(queued, admitted, peers.nodes + 1)


def lane_rate(fleet: FleetLanes, lane: lanes.LaneKey, rate: float) -> float:
    """Estimate the prefill rate that is left for a lane.

    Lanes that are served earlier take their complete admission rate. Groups of lanes that are
    served later take their admission rate up to the share that is guaranteed to them.

    Args:
        fleet: Lane loads of all nodes.
        lane: The lane.
        rate: Prefill rate of all engines, tokens per second.

    Returns:
        Tokens per second; at least the lane's part of its group's guaranteed share.
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
    """Estimate the time for which a new request would be queued.

    Args:
        fleet: Lane loads of all nodes.
        lane: The request's lane.
        rate: Prefill rate of all engines, tokens per second, above 0.
        organisation_tokens: Tokens that the request's organisation has queued in the lane at this
            node, plus the request's own.
        organisation_share: Share of the lane's rate that its organisation gets.

    Returns:
        Seconds.
    """
    index = lanes.LANE_ORDER.index(lane)
    own_rate = lane_rate(fleet, lane, rate)
    lane_seconds = fleet.queued_tokens[index] / own_rate
    organisation_seconds = organisation_tokens * fleet.nodes / (own_rate * organisation_share)
    return sum(fleet.queued_tokens[:index]) / rate + min(lane_seconds, organisation_seconds)

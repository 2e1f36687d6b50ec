"""Values and decisions of relaying a request to a node that reaches the servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

# Headers between nodes are decoded by this type at run time.
from dragonflycove.fleet import forwarding  # noqa: TC001

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from dragonflycove.fleet import catalog, roster

MAX_CUT_NODES_PER_PEER = 2
"""Nodes of a zone that use one node of it before they use those of other zones as well."""

SERVERS_UNREACHED = "servers_unreached"
"""Reason of a refusal: neither this node nor any other that it may use reaches the servers."""

RELAY_BUSY = "relay_busy"
"""Reason of a refusal: the node runs as many relayed requests as it takes."""

CONFIGURATION_DIFFERS = "configuration_differs"
"""Reason of a refusal: the node's configuration is older, or has another route or organisation."""

UNKNOWN_NODE = "unknown_node"
"""Reason of a refusal: the node doesn't know the one that relays, as it may have just started."""

NOT_RELAYED = "not_relayed"
"""Reason of a refusal: the node can't decode what the one that relays tells of the request."""

STOPPING = "stopping"
"""Reason of a refusal: the node is stopping."""

NODE_MEMORY = "node_memory"
"""Reason of a refusal: the node holds as many bytes of requests and responses as it can."""

SLOW_CALLER = "slow_caller"
"""Reason for which a connection is ended: its caller made no progress."""

RETRIED_ELSEWHERE = frozenset(
    {
        SERVERS_UNREACHED,
        RELAY_BUSY,
        CONFIGURATION_DIFFERS,
        UNKNOWN_NODE,
        NOT_RELAYED,
        STOPPING,
        NODE_MEMORY,
    }
)
"""Reasons that concern the refusing node alone; another one may serve the request."""


class RelayedRequest(NamedTuple):
    """What the relaying node tells about a request beside the request itself."""

    host: str
    """Host of the node that received the request from its caller."""

    incarnation: int
    """Incarnation of that node's process."""

    configuration_version: int
    """Version of the configuration by which it accepted the request."""

    service: str
    """Service that it chose."""

    organisation: str | None
    """Organisation of the caller's key, which is not passed on; None without a key."""

    waited_seconds: float
    """Time since the request, or since the last event if the caller has received some."""

    has_started: bool
    """Whether the caller has received events of the response."""

    attempt_ends: tuple[forwarding.AttemptEnd, ...] = ()
    """How the request's attempts at servers have ended so far."""

    excluded: tuple[str, ...] = ()
    """Ids of servers that must not get it again."""


class ServerAttempt(NamedTuple):
    """An attempt that the serving node makes at a server."""

    server_id: str
    """Id of the server; empty if it is too long to be passed on."""

    end: forwarding.AttemptEnd | None
    """How the attempt ended; None while it runs."""


def count_ends(
    attempts: Sequence[ServerAttempt] | None,
    end: forwarding.AttemptEnd,
    route: catalog.Route,
    *,
    is_complete: bool,
) -> list[forwarding.AttemptEnd]:
    """Return the ends of attempts that a relayed request counts towards its route's limit.

    Args:
        attempts: What the serving node has reported; None if it reports nothing, as older releases
            do. It may have made all attempts of the route then.
        end: How the request ended at the serving node.
        route: The request's route.
        is_complete: Whether the serving node's response was complete, so that its report is.
    """
    if end is forwarding.AttemptEnd.DELIVERED or end in forwarding.PROVEN_NOT_EXECUTED:
        return [end]
    if attempts is None:
        return [end] * max(1, route.max_attempts)
    ends = [one.end or end for one in attempts]
    is_running = bool(attempts) and attempts[-1].end is None
    # A lost node may have begun an attempt without being able to report it.
    is_unreported = not is_complete and not is_running
    if is_unreported or all(one in forwarding.PROVEN_NOT_EXECUTED for one in ends):
        ends.append(end)
    return ends


class Candidate(NamedTuple):
    """A node that may serve relayed requests."""

    member: roster.Member
    """The node."""

    relayed: int
    """Requests that this node relays to it at present."""

    @property
    def load(self) -> float:
        """Relayed requests per CPU core."""
        return self.relayed / max(0.1, self.member.cores)


def choose_peer(
    candidates: Sequence[Candidate],
    zone: str,
    cut_count_by_zone: Mapping[str, int],
    rng: random.Random,
) -> roster.Member | None:
    """Choose the node that serves a relayed request.

    Nodes of the own zone go first, as bytes between zones cost money, unless too many cut nodes
    would share them. The less loaded of two random ones is taken.

    Args:
        candidates: Nodes that reach the service.
        zone: Availability zone of this node.
        cut_count_by_zone: Nodes that don't reach the service, this one included, by zone.
        rng: Random generator.

    Returns:
        The node; None if there is no candidate.
    """
    if not candidates:
        return None
    near = [one for one in candidates if one.member.zone == zone]
    is_enough = cut_count_by_zone.get(zone, 0) <= MAX_CUT_NODES_PER_PEER * len(near)
    eligible = near if near and is_enough else candidates
    return min(rng.sample(eligible, min(2, len(eligible))), key=lambda one: one.load).member

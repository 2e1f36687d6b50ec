"""What nodes tell each other."""

from __future__ import annotations

from typing import NamedTuple

# Messages are decoded by these types at run time.
from dragonflycove.fleet import catalog, roster, server_health, work  # noqa: TC001


class Freshness(NamedTuple):
    """How new a node's belief is."""

    operator_revision: int
    """Offset of the newest operator's record that changed it."""

    operator_age_seconds: float
    """Seconds since the operators' topic was known to hold nothing newer."""

    server_revision: int
    """Offset of the newest server's record that changed it."""

    server_age_seconds: float
    """Seconds since the servers' topic was known to hold nothing newer."""


class RunningJob(NamedTuple):
    """A request that a node has placed, told to hubs that did not place it."""

    job: work.Job
    """The request."""

    grant: work.Grant
    """Where it runs."""

    age_seconds: float
    """Time since it was placed."""

    is_decoding: bool
    """Whether its first event has come."""


class Condition(NamedTuple):
    """A start of a node, and whether it takes callers."""

    host: str
    """Host name."""

    incarnation: int
    """Start of its process."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""


class Report(NamedTuple):
    """A node reports to a hub."""

    condition: Condition
    """The node."""

    member: roster.Member | None
    """Its addresses; None once the hub knows them."""

    freshness: Freshness
    """How new its belief is."""

    jobs: tuple[int, ...] | None
    """Numbers of all requests that it has placed; None if this report leaves them out."""

    wants_list: bool
    """Whether the hub should list all nodes."""


class Seen(NamedTuple):
    """A node as a hub last heard of it."""

    member: roster.Member
    """The node."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""

    is_gone: bool
    """Whether it has fallen silent."""


class ListPart(NamedTuple):
    """Which part of a list of all nodes a message holds."""

    number: int
    """Number of the list; grows."""

    position: int
    """Position of the part in the list."""

    total: int
    """Parts of the list."""


class Pulse(NamedTuple):
    """A hub answers a report, or tells of a change."""

    condition: Condition
    """The hub."""

    freshness: Freshness
    """How new its belief is."""

    members_hash: int
    """Hash of all nodes that run, as the hub knows them."""

    knows_receiver: bool
    """Whether the hub knows the receiver's addresses."""

    unknown_jobs: tuple[int, ...]
    """Numbers of the receiver's requests that the hub does not count yet."""

    seen: tuple[Seen, ...]
    """Nodes that changed, or a part of the list of all."""

    part: ListPart | None
    """Which part of the list; None if it tells of changes."""


class PlaceRequest(NamedTuple):
    """A node asks a hub where a request goes."""

    job: work.Job
    """The request."""


class PlaceGranted(NamedTuple):
    """A hub has placed a request."""

    key: work.JobKey
    """The request."""

    grant: work.Grant
    """Where it goes."""


class PlaceRefused(NamedTuple):
    """A hub has no place for a request."""

    key: work.JobKey
    """The request."""

    refusal: work.Refusal
    """Why, and when to come back."""


class PlaceWaits(NamedTuple):
    """A request waits at a hub."""

    key: work.JobKey
    """The request."""

    expected_seconds: float
    """Predicted time until it is placed."""


class Withdrawn(NamedTuple):
    """A node no longer wants a request placed."""

    key: work.JobKey
    """The request."""


class FirstEvent(NamedTuple):
    """A prompt has been read."""

    key: work.JobKey
    """The request."""


class Ended(NamedTuple):
    """A send has ended."""

    key: work.JobKey
    """The request."""

    outcome: server_health.Outcome
    """How it ended at its server."""

    instance: catalog.Instance
    """The server."""

    fingerprint: int
    """Hash of what makes the request itself."""

    lost_servers: int
    """Servers lost with it so far, as far as the node knows."""

    refusing_helper_id: str
    """Id of the server that refused to help; empty for none."""


Message = (
    Report
    | Pulse
    | RunningJob
    | PlaceRequest
    | PlaceGranted
    | PlaceRefused
    | PlaceWaits
    | Withdrawn
    | FirstEvent
    | Ended
)
"""Any message between nodes."""

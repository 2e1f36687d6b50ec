"""What nodes tell each other."""

from __future__ import annotations

from typing import NamedTuple

from dragonflycove.fleet import catalog, roster, server_health, work


class Freshness(NamedTuple):
    """How new a node's belief is."""

    operator_revision: int
    """Offset of the newest operator's record that changed it."""

    operator_age: float
    """Seconds since the operators' topic was known to hold nothing newer."""

    server_revision: int
    """Offset of the newest server's record that changed it."""

    server_age: float
    """Seconds since the servers' topic was known to hold nothing newer."""


class RunningJob(NamedTuple):
    """A request that a node has placed, told to hubs that did not place it."""

    job: work.Job
    """The request."""

    grant: work.Grant
    """Where it runs."""

    age_seconds: float
    """Time since it was placed."""

    writes: bool
    """Whether its first event has come."""


class Report(NamedTuple):
    """A node reports to a hub."""

    member: roster.Member
    """The node."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""

    freshness: Freshness
    """How new its belief is."""

    jobs: tuple[int, ...] | None
    """Numbers of all requests that it has placed; None if this report leaves them out."""


class Seen(NamedTuple):
    """A node as a hub last heard of it."""

    member: roster.Member
    """The node."""

    age_seconds: float
    """Time since its report."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""


class Pulse(NamedTuple):
    """A hub tells what it knows of the nodes."""

    member: roster.Member
    """The hub."""

    is_ready: bool
    """Whether it takes callers."""

    is_leaving: bool
    """Whether it is stopping."""

    freshness: Freshness
    """How new its belief is."""

    seen: tuple[Seen, ...]
    """Nodes that it knows; some of them, where there are many."""

    unknown_jobs: tuple[int, ...]
    """Numbers of the receiver's requests that the hub does not count yet."""


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

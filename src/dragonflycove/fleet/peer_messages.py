"""Messages between nodes; encoded by position, so the order of their fields must not change."""

from __future__ import annotations

from typing import NamedTuple

# Messages are decoded by these types at run time.
from dragonflycove.fleet import catalog, roster, server_health, work  # noqa: TC001


class Freshness(NamedTuple):
    """How current a node's view of the store is."""

    operator_revision: int
    """Offset of the newest operators' record that changed the view."""

    operator_age_seconds: float
    """Time since the view was last known to match the operators' topic."""

    server_revision: int
    """Offset of the newest server's record that changed the view."""

    server_age_seconds: float
    """Time since the view was last known to match the servers' topic."""


class RunningJob(NamedTuple):
    """A running request, reported to a hub that does not count it towards the servers' load yet."""

    job: work.Job
    """The request."""

    grant: work.Grant
    """The servers that it runs on."""

    age_seconds: float
    """Time since its placement."""

    is_decoding: bool
    """Whether its first event has arrived."""


class Condition(NamedTuple):
    """State of one incarnation of a node."""

    host: str
    """Host name."""

    incarnation: int
    """Incarnation of its process."""

    is_ready: bool
    """Whether it accepts callers."""

    is_leaving: bool
    """Whether it is stopping."""


class Report(NamedTuple):
    """Periodic report of a node to a hub."""

    condition: Condition
    """The node."""

    member: roster.Member | None
    """The node's addresses; None once the hub knows them."""

    freshness: Freshness
    """How current its view of the store is."""

    jobs: tuple[int, ...] | None
    """Numbers of all its placed requests; None if this report omits them."""

    wants_list: bool
    """Whether the node requests the list of all nodes."""


class Seen(NamedTuple):
    """A node's state as known to a hub."""

    member: roster.Member
    """The node."""

    is_ready: bool
    """Whether it accepts callers."""

    is_leaving: bool
    """Whether it is stopping."""

    is_unresponsive: bool
    """Whether it has sent no report for so long that it counts as unresponsive."""


class ListPart(NamedTuple):
    """Identifies one part of a list of all nodes that spans several messages."""

    number: int
    """Number of the list; increases."""

    position: int
    """Index of the part in the list."""

    total: int
    """Number of parts in the list."""


class Pulse(NamedTuple):
    """A hub's response to a report, or its notification of a change."""

    condition: Condition
    """The hub."""

    freshness: Freshness
    """How current its view of the store is."""

    members_hash: int
    """Hash of all running nodes known to the hub."""

    knows_receiver: bool
    """Whether the hub knows the receiver's addresses."""

    unknown_jobs: tuple[int, ...]
    """Numbers of the receiver's requests that the hub does not count towards the load yet."""

    seen: tuple[Seen, ...]
    """Nodes that changed, or a part of the list of all."""

    part: ListPart | None
    """Which part of the list `seen` holds; None if it holds changes."""


class PlaceRequest(NamedTuple):
    """A node requests a placement from a hub."""

    job: work.Job
    """The request."""


class PlaceGranted(NamedTuple):
    """A hub has placed a request."""

    key: work.JobKey
    """The request."""

    grant: work.Grant
    """The servers that it was placed on."""


class PlaceRefused(NamedTuple):
    """A hub refuses to place a request."""

    key: work.JobKey
    """The request."""

    refusal: work.Refusal
    """Reason and retry-after."""


class PlaceWaits(NamedTuple):
    """A hub has queued a request."""

    key: work.JobKey
    """The request."""

    expected_seconds: float
    """Predicted time until it is placed."""


class Withdrawn(NamedTuple):
    """A node cancels a request for a placement."""

    key: work.JobKey
    """The request."""


class FirstEvent(NamedTuple):
    """A request's first event has arrived, so its prefill is complete."""

    key: work.JobKey
    """The request."""


class Ended(NamedTuple):
    """An attempt has ended."""

    key: work.JobKey
    """The request."""

    outcome: server_health.Outcome
    """How it ended at its server."""

    instance: catalog.Instance
    """The server."""

    fingerprint: int
    """Fingerprint of the request; equal for all its resends."""

    lost_servers: int
    """Servers that the request has crashed; read by releases that have no `CrashReport`."""

    refusing_helper_id: str
    """Id of the helper that refused to help; empty if none refused."""


class ServerSilent(NamedTuple):
    """A server has been silent for so long that its requests look for other places."""

    instance: catalog.Instance
    """The server."""


class CrashRecord(NamedTuple):
    """A server that ended while it ran a request."""

    fingerprint: int
    """Fingerprint of the request; equal for all its resends."""

    instance: catalog.Instance
    """The server."""

    age_seconds: float
    """Time since the loss was noticed."""


class AnswerRecord(NamedTuple):
    """A complete response to a request, which shows that it doesn't crash every server."""

    fingerprint: int
    """Fingerprint of the request; equal for all its resends."""

    age_seconds: float
    """Time since the last complete response."""


class SurvivalRecord(NamedTuple):
    """A server that was alive after it had been noticed as lost."""

    instance: catalog.Instance
    """The server."""

    age_seconds: float
    """Time since it was certainly running."""


class CrashReport(NamedTuple):
    """What the sender knows of crashes: something new, or a part of all."""

    crashes: tuple[CrashRecord, ...]
    """Servers that ended while they ran requests."""

    answers: tuple[AnswerRecord, ...]
    """Answers to requests that were running when a server ended."""

    survivals: tuple[SurvivalRecord, ...]
    """Servers that turned out to be alive."""

    wants_all: bool
    """Whether the sender requests all crashes that the receiver knows."""


class CrashDigest(NamedTuple):
    """Hash of all crashes that the sender counts, to find nodes that lack some."""

    digest: int
    """The hash; 0 for none."""


class LimitRecord(NamedTuple):
    """What a server has stated of the rate of requests that it takes."""

    instance: catalog.Instance
    """The server."""

    requests_per_second: float | None
    """Requests that it takes from all nodes together; None if its limit has ended."""

    age_seconds: float
    """Time since the statement."""


class LimitReport(NamedTuple):
    """What the sender knows of servers' limits: something new, or a part of all."""

    limits: tuple[LimitRecord, ...]
    """The newest statements of servers."""

    wants_all: bool
    """Whether the sender requests all statements that the receiver knows."""


class LimitDigest(NamedTuple):
    """Hash of all limits that the sender knows, to find nodes that lack some."""

    digest: int
    """The hash; 0 for none."""


class ReachReport(NamedTuple):
    """Which services the sender does not reach any server of."""

    host: str
    """Host name of the sender."""

    incarnation: int
    """Incarnation of its process."""

    services: tuple[str, ...]
    """Names of the services; empty if it reaches each."""


class LeavingRecord(NamedTuple):
    """A server that has said in a response that it leaves."""

    instance: catalog.Instance
    """The server."""

    age_seconds: float
    """Time since it last said so."""


class LeavingReport(NamedTuple):
    """Leaving servers that the sender knows: a new one, or a part of all."""

    servers: tuple[LeavingRecord, ...]
    """The servers."""

    wants_all: bool
    """Whether the sender requests all leaving servers that the receiver knows."""


class LeavingDigest(NamedTuple):
    """Hash of all leaving servers that the sender knows, to find nodes that lack some."""

    digest: int
    """The hash; 0 for none."""


class PaceRecord(NamedTuple):
    """How fast one server has been in the sender's requests."""

    instance: catalog.Instance
    """The server."""

    slowdown: float
    """Time that it took as a multiple of the declared time; 1 for a server as declared."""

    samples: int
    """Events and responses that the sender measured since its last report."""


class PaceReport(NamedTuple):
    """What a node has measured of servers' speed since its last report to this receiver."""

    records: tuple[PaceRecord, ...]
    """The servers that it measured."""


class HostLoad(NamedTuple):
    """What a node's host can take, and what it takes at present."""

    host: str
    """Host name."""

    incarnation: int
    """Incarnation of the node's process."""

    link_bytes_per_second: float
    """Capacity of the host's link."""

    link_load: float
    """Share of that capacity in use, 0 to 1."""

    processor_load: float
    """Share of the host's processor time in use, 0 to 1."""

    memory_load: float
    """Share of the memory for held bytes that is in use, 0 to 1."""

    connections: int
    """Connections of callers."""

    lag_seconds: float
    """Delay of the event loop."""


class BookingRecord(NamedTuple):
    """A time at which a refused caller was told to return."""

    service: str
    """Service of its request."""

    fingerprint: int
    """Fingerprint of its request; equal for all resends."""

    due_in_seconds: float
    """Time until the caller returns."""


class BookingReport(NamedTuple):
    """Bookings that a node has passed on to its callers, reported to a new hub."""

    bookings: tuple[BookingRecord, ...]
    """The bookings that are still due."""


class HostWeight(NamedTuple):
    """How often a host is named to callers."""

    host: str
    """Host name."""

    permille: int
    """Its weight per core, thousandths."""


class HelpShare(NamedTuple):
    """How often the hosts of a zone are named to the callers of another one."""

    zone: str
    """Zone of the callers."""

    helper: str
    """Zone of the hosts."""

    permille: int
    """Weight of the hosts relative to those of the callers' zone, thousandths."""


class NamingWeights(NamedTuple):
    """The first hub's decision how often the directory names each host."""

    usual_permille: int
    """Weight per core of the hosts that are not listed, thousandths."""

    hosts: tuple[HostWeight, ...]
    """Hosts whose weights differ most."""

    help: tuple[HelpShare, ...]
    """Zones that help others."""


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
    | CrashReport
    | CrashDigest
    | LimitReport
    | LimitDigest
    | ReachReport
    | LeavingReport
    | LeavingDigest
    | ServerSilent
    | PaceReport
    | HostLoad
    | BookingReport
    | NamingWeights
)
"""Any message between nodes."""

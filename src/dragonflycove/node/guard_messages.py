"""Messages to and from the guard task."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from dragonflycove.configuration import schema
    from dragonflycove.quarantine import records as quarantine_records
    from dragonflycove.routing import load_view
    from dragonflycove.values import requests


class StartGranted(NamedTuple):
    """The request may be sent to its server now."""


class StartElsewhere(NamedTuple):
    """The request may run, but on other servers."""

    servers: frozenset[str]
    """The servers that may take it."""


class StartRefused(NamedTuple):
    """The request may not run."""

    retry_after_seconds: float
    """When that ends."""


class Suspended(NamedTuple):
    """The request's attempt is to be cancelled, since its like has crashed a server."""

    server_id: str
    """Where the attempt runs."""


GuardReply = StartGranted | StartElsewhere | StartRefused | Suspended
"""What a request's task is told."""


class Receiver(Protocol):
    """Where the answers for one request go."""

    def post(self, message: GuardReply) -> None:
        """Take an answer."""


class StartRequested(NamedTuple):
    """A request is about to be sent."""

    request: requests.ModelRequest
    """The request."""

    server_id: str
    """The server; the lead of a memory group."""

    receiver: Receiver
    """Where the answer goes."""

    has_group: bool = False
    """Whether it runs on a memory group, so that no other server can take it."""


class AttemptEnded(NamedTuple):
    """A request no longer runs at its server."""

    request_id: str
    """The request."""

    whole: bool
    """Whether it ran to its end."""


class FirstTokenTimed(NamedTuple):
    """A first token came."""

    server_id: str
    """The server."""

    predicted_seconds: float
    """Time that the prompt takes on a warm server."""

    measured_seconds: float
    """Time that it took."""


class ServerCrashed(NamedTuple):
    """A server broke off everything at once."""

    server_id: str
    """The server."""


class HostListRead(NamedTuple):
    """The host list was read."""

    names: frozenset[str]
    """Hosts that may hold shares."""

    age_seconds: float
    """Age of the list."""


class LoadReportRead(NamedTuple):
    """An engine reported its load."""

    report: load_view.LoadReport
    """The report."""


class ConfigurationChanged(NamedTuple):
    """A configuration came into force."""

    configuration: schema.Configuration
    """The configuration."""


class PeerReportedCold(NamedTuple):
    """A peer saw a server turn cold."""

    server_id: str
    """The server."""

    start_id: str
    """The start that the peer saw."""


class PeerLost(NamedTuple):
    """A node died or was replaced."""

    node: str
    """`host/incarnation` of the node."""


class PeerRecord(NamedTuple):
    """A peer sent a quarantine record."""

    record: quarantine_records.Record
    """The record."""


class PeerPermissionRequested(NamedTuple):
    """A peer asks for leave to run a suspect."""

    asked: quarantine_records.LeaveAsked
    """What it asks."""


class PeerPermissionAnswered(NamedTuple):
    """A peer answered this node's question for leave."""

    answered: quarantine_records.LeaveAnswered
    """Its answer."""


class LoggedRecord(NamedTuple):
    """A quarantine record was read from the log."""

    record: quarantine_records.Record
    """The record."""

    offset: int
    """Its offset."""

    age_seconds: float
    """How long ago it was appended."""


GuardMessage = (
    StartRequested
    | AttemptEnded
    | FirstTokenTimed
    | ServerCrashed
    | HostListRead
    | LoadReportRead
    | ConfigurationChanged
    | PeerReportedCold
    | PeerLost
    | PeerRecord
    | PeerPermissionRequested
    | PeerPermissionAnswered
    | LoggedRecord
)
"""What the guard task takes."""

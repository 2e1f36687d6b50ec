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


class StartRestricted(NamedTuple):
    """The request may run, but not on the server that the dispatcher chose."""

    servers: frozenset[str]
    """Identifiers of the servers on which it may run."""


class StartRefused(NamedTuple):
    """The request is quarantined: requests with its fingerprint have crashed servers."""

    retry_after_seconds: float
    """Time until the quarantine ends, seconds."""


class CancelRequired(NamedTuple):
    """The attempt must be cancelled now: a request with the same fingerprint crashed a server."""

    server_id: str
    """Identifier of the server on which the attempt runs."""


GuardReply = StartGranted | StartRestricted | StartRefused | CancelRequired
"""Messages from the guard task to the task of a request."""


class Receiver(Protocol):
    """Mailbox that receives the guard task's messages about one request."""

    def post(self, message: GuardReply) -> None:
        """Queue a message without waiting."""


class StartRequested(NamedTuple):
    """A request asks to be sent to the server that the dispatcher chose."""

    request: requests.ModelRequest
    """Request that is to be sent."""

    server_id: str
    """Identifier of the chosen server; for a memory group, of its lead engine."""

    receiver: Receiver
    """Mailbox for the reply."""

    has_group: bool = False
    """Whether the request runs on a memory group, so that no other server can run it."""


class AttemptEnded(NamedTuple):
    """An attempt ended at its server."""

    request_id: str
    """Identifier of the request."""

    completed: bool
    """Whether it ran to its end; false, for example, if it was cancelled or refused."""


class FirstTokenTimed(NamedTuple):
    """The time to first token of an attempt was measured."""

    server_id: str
    """Identifier of the attempt's server."""

    predicted_seconds: float
    """Time to first token that was predicted for a warm server."""

    measured_seconds: float
    """Measured time to first token."""


class ServerCrashed(NamedTuple):
    """A server crashed: it aborted all its requests at once."""

    server_id: str
    """Identifier of the server."""


class HostListRead(NamedTuple):
    """The host list was read."""

    names: frozenset[str]
    """Names of the hosts that may have shares."""

    age_seconds: float
    """Time since the list was correct, seconds."""


class LoadReportRead(NamedTuple):
    """The load report of an engine was read."""

    report: load_view.LoadReport
    """Load and start identifier of the engine."""


class ConfigurationChanged(NamedTuple):
    """A configuration came into force, or this node's subset of the servers changed."""

    configuration: schema.Configuration
    """Configuration, reduced to this node's subset of the servers."""


class PeerReportedCold(NamedTuple):
    """A peer reported that a server turned cold."""

    server_id: str
    """Identifier of the server."""

    start_id: str
    """Identifier of the server's start that it last reported to the peer; empty before a report."""


class PeerLost(NamedTuple):
    """A node's process has ended: its host is no longer listed, or runs a new process."""

    node: str
    """`host/incarnation` of the node."""


class PeerRecord(NamedTuple):
    """A peer sent a quarantine record."""

    record: quarantine_records.Record
    """Record as decoded from the message."""


class PeerPermissionRequested(NamedTuple):
    """A peer requested permission to run a suspect request."""

    request: quarantine_records.LeaveAsked
    """Suspect, server and requesting node."""


class PeerPermissionAnswered(NamedTuple):
    """A peer answered this node's permission request."""

    answer: quarantine_records.LeaveAnswered
    """Whether the suspect may run, and on which server."""


class LoggedRecord(NamedTuple):
    """A quarantine record was read from the log."""

    record: quarantine_records.Record
    """Record as decoded from the log."""

    offset: int
    """Offset of the record in the log."""

    age_seconds: float
    """Time since it was appended, seconds."""


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
"""Messages to the guard task."""

"""Verdicts on requests, and the effects that the quarantine asks its node to carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.quarantine import records


class Allowed(NamedTuple):
    """The request may run anywhere."""


class AllowedAlone(NamedTuple):
    """The request is suspect; it may run on a backend server that runs no other suspect request."""

    servers: frozenset[str]
    """Identifiers of the candidate backend servers that may run it."""


class AllowedOnPeers(NamedTuple):
    """The request is suspect; this node may not run it now, unless a peer gives permission."""

    hosts: tuple[str, ...]
    """Hosts of the nodes that may run it or give permission, best first."""


class Wait(NamedTuple):
    """The request is suspect and has to wait; ask again later, within its deadline."""

    until: float
    """Loop time at which to ask again, seconds."""


class Refused(NamedTuple):
    """The request's fingerprint has crashed the maximum number of backend servers."""

    retry_after_seconds: float
    """Time until the refusal ends, seconds."""


Verdict = Allowed | AllowedAlone | AllowedOnPeers | Wait | Refused
"""Whether, where and when a request may run."""


class SendToPeers(NamedTuple):
    """Broadcast a record to all peers."""

    record: records.Record
    """Record to send."""


class SendToWitnesses(NamedTuple):
    """Send a record to the witnesses of a request: nodes that would try it if it became suspect."""

    hosts: tuple[str, ...]
    """Hosts of the witnesses."""

    record: records.Flight
    """Record to send."""


class AppendLog(NamedTuple):
    """Append a record to the log stream `quarantine`."""

    record: records.Record
    """Record to append."""


class CancelRequest(NamedTuple):
    """Cancel a request whose fingerprint crashed another server, then ask for a new verdict."""

    request_id: str
    """Identifier of the request."""

    server_id: str
    """Identifier of the backend server that runs it."""


Effect = SendToPeers | SendToWitnesses | AppendLog | CancelRequest
"""Effects for the node to carry out."""

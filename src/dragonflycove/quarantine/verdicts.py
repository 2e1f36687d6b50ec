"""What may be done with a request, and what the node is asked to do."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.quarantine import records


class Allowed(NamedTuple):
    """The request may run anywhere."""


class AllowedAlone(NamedTuple):
    """The request is a suspect; it may run on one backend server without another suspect."""

    servers: frozenset[str]
    """Backend servers of the candidates that may take it."""


class AllowedOnPeers(NamedTuple):
    """The request is a suspect; only another node may run it now."""

    hosts: tuple[str, ...]
    """Hosts of nodes to hand it on to, the best first."""


class Wait(NamedTuple):
    """The request is a suspect; ask again later, within its deadline."""

    until: float
    """Time of the loop's clock at which to ask again."""


class Refused(NamedTuple):
    """Requests like this one have crashed as many backend servers as they may."""

    retry_after_seconds: float
    """When the refusal ends."""


Verdict = Allowed | AllowedAlone | AllowedOnPeers | Wait | Refused
"""What may be done with a request."""


class SendToPeers(NamedTuple):
    """Send a record to every peer at once."""

    record: records.Record
    """The record."""


class SendToWitnesses(NamedTuple):
    """Send a record to the nodes that would try the request if it became a suspect."""

    hosts: tuple[str, ...]
    """Hosts of those nodes."""

    record: records.Flight
    """The record."""


class AppendLog(NamedTuple):
    """Append a record to the stream `quarantine`."""

    record: records.Record
    """The record."""


class CancelRequest(NamedTuple):
    """Cancel a request whose like has crashed a server elsewhere, then ask for its verdict."""

    request_id: str
    """Identifier of the request."""

    server_id: str
    """Identifier of the backend server that runs it."""


Effect = SendToPeers | SendToWitnesses | AppendLog | CancelRequest
"""What the node is asked to do."""

"""Messages to and from the dispatch task."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Mapping

    from dragonflycove.configuration import schema
    from dragonflycove.routing import load_digests, load_view, prefix_map
    from dragonflycove.values import outcomes, requests


class Assigned(NamedTuple):
    """Tells a request's task to run it at a backend server."""

    server_id: str
    """Identifier of the backend server."""

    priority: int
    """Priority at the engine; 0 is the highest."""

    group: tuple[str, ...] = ()
    """Identifiers of the memory group's engines, `server_id` first; empty for a single engine."""


class Denied(NamedTuple):
    """Tells a request's task that no server will be assigned: the request was refused or failed."""

    outcome: outcomes.Refused | outcomes.Failed
    """Outcome for the caller."""


class Preempted(NamedTuple):
    """Tells a request's task to cancel its attempt and wait for another engine."""

    server_id: str
    """Identifier of the engine at which the attempt runs."""


class GroupNeeded(NamedTuple):
    """Tells a request's task to reserve KV cache at several engines, for a long prompt."""

    candidates: tuple[str, ...]
    """Identifiers of the engines that may be members of the group."""


RequestNotice = Assigned | Denied | Preempted | GroupNeeded
"""Messages from the dispatch task to a request's task."""


class Receiver(Protocol):
    """Receives the notices for one request."""

    def post(self, message: RequestNotice) -> None:
        """Queue a notice without waiting."""


class Submit(NamedTuple):
    """Submits a new request, or one taken over from another node, for admission."""

    request: requests.ModelRequest
    """The request."""

    receiver: Receiver
    """Receives the notices for the request."""

    admitted: asyncio.Future[outcomes.Refused | None]
    """Set when the message is handled: to the refusal, or to `None` if admitted."""


class Resubmit(NamedTuple):
    """Asks for another server for an admitted request."""

    request: requests.ModelRequest
    """The request."""

    excluded: frozenset[str]
    """Identifiers of servers not to use."""

    reason: outcomes.Reason
    """Why the last attempt ended, or why it could not start at its server."""


class FirstTokenDelivered(NamedTuple):
    """An attempt delivered its first token."""

    request_id: str
    """Identifier of the request."""


class TokensDelivered(NamedTuple):
    """An attempt delivered more tokens."""

    request_id: str
    """Identifier of the request."""

    token_count: int
    """Number of tokens since the last such message."""


class AttemptFailed(NamedTuple):
    """An attempt at a server failed."""

    request_id: str
    """Identifier of the request."""

    server_id: str
    """Identifier of the server."""

    reason: outcomes.Reason
    """Why the attempt failed."""


class Finished(NamedTuple):
    """A request has its complete response."""

    request_id: str
    """Identifier of the request."""


class Withdrawn(NamedTuple):
    """A request ended without a complete response and needs no server."""

    request_id: str
    """Identifier of the request."""


class GroupReady(NamedTuple):
    """KV cache is reserved at all engines of a request's memory group."""

    request_id: str
    """Identifier of the request."""

    servers: tuple[str, ...]
    """Identifiers of the engines; the first is the lead, which gets the request."""


class LoadReportRead(NamedTuple):
    """The load report of an engine was read."""

    report: load_view.LoadReport
    """The report."""


class ConfigurationChanged(NamedTuple):
    """A configuration came into force, or this node's subset of the servers changed."""

    configuration: schema.Configuration
    """Configuration, reduced to this node's subset of the servers."""


class ServerLimitsChanged(NamedTuple):
    """This node's concurrency limits at the servers changed."""

    limits_by_server: Mapping[str, int]
    """Maximum number of this node's concurrent requests, by server."""

    computed_at: float
    """Loop time at which they were computed, seconds."""


class CancelStarted(NamedTuple):
    """An attempt is being cancelled; its slot at the server is not free yet."""

    server_id: str
    """Identifier of the server."""


class CancelEnded(NamedTuple):
    """An attempt's cancellation was confirmed, or abandoned and left to reclaim."""

    server_id: str
    """Identifier of the server."""


class CacheEventsReceived(NamedTuple):
    """A page of an engine's prefix cache events was read."""

    server_id: str
    """Identifier of the engine."""

    page: prefix_map.CachePage
    """The page of events."""


class OrganisationShareChanged(NamedTuple):
    """This node's share of the organisations' limits changed."""

    share: float
    """New share, from 0 to 1."""


class LoadDigestRequested(NamedTuple):
    """Requests the load digest of this node, to be sent to its peers."""

    callback: Callable[[load_digests.LoadDigest], None]
    """Called with the digest in the dispatch task."""


class PeerDigestReceived(NamedTuple):
    """A load digest of a peer was received."""

    digest: load_digests.LoadDigest
    """The peer's digest."""


DispatchMessage = (
    Submit
    | Resubmit
    | FirstTokenDelivered
    | TokensDelivered
    | AttemptFailed
    | Finished
    | Withdrawn
    | GroupReady
    | LoadReportRead
    | ConfigurationChanged
    | ServerLimitsChanged
    | CancelStarted
    | CancelEnded
    | CacheEventsReceived
    | OrganisationShareChanged
    | LoadDigestRequested
    | PeerDigestReceived
)
"""Messages that the dispatch task handles."""

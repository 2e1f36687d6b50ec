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
    """Priority at the engine; a lower value goes first."""

    group: tuple[str, ...] = ()
    """Members of the memory group, the lead first; empty for a single engine."""


class Denied(NamedTuple):
    """Tells a request's task that it is refused or failed."""

    outcome: outcomes.Refused | outcomes.Failed
    """The final answer."""


class Preempted(NamedTuple):
    """Tells a request's task to give its engine back and wait for another."""

    server_id: str
    """The engine to leave."""


class GroupNeeded(NamedTuple):
    """Tells a request's task that it needs a memory group."""

    candidates: tuple[str, ...]
    """Engines that may take part."""


RequestNotice = Assigned | Denied | Preempted | GroupNeeded
"""What the dispatch task tells a request's task."""


class Receiver(Protocol):
    """Where the notices of one request go."""

    def post(self, message: RequestNotice) -> None:
        """Take a notice."""


class Submit(NamedTuple):
    """Offers a new request."""

    request: requests.ModelRequest
    """The request."""

    receiver: Receiver
    """Where its notices go."""

    admitted: asyncio.Future[outcomes.Refused | None]
    """Resolved at once: a refusal, or `None` when it is admitted."""


class Resubmit(NamedTuple):
    """Asks for another server for an admitted request."""

    request: requests.ModelRequest
    """The request."""

    excluded: frozenset[str]
    """Servers not to use."""

    reason: outcomes.Reason
    """Why the last attempt ended."""


class FirstToken(NamedTuple):
    """An attempt delivered its first token."""

    request_id: str
    """The request."""


class TokensDelivered(NamedTuple):
    """An attempt delivered more tokens."""

    request_id: str
    """The request."""

    token_count: int
    """Number of tokens."""


class AttemptFailed(NamedTuple):
    """An attempt at a server failed."""

    request_id: str
    """The request."""

    server_id: str
    """The server."""

    reason: outcomes.Reason
    """Why."""


class Finished(NamedTuple):
    """A request has its whole answer."""

    request_id: str
    """The request."""


class Withdrawn(NamedTuple):
    """A request ended otherwise and needs no server any more."""

    request_id: str
    """The request."""


class GroupReady(NamedTuple):
    """A memory group stands ready for a request."""

    request_id: str
    """The request."""

    servers: tuple[str, ...]
    """Members, the lead first."""


class LoadReported(NamedTuple):
    """An engine reported its load."""

    report: load_view.LoadReport
    """The report."""


class Configured(NamedTuple):
    """A configuration came into force."""

    configuration: schema.Configuration
    """The configuration."""


class ServerLimitsChanged(NamedTuple):
    """This node's limits at the servers changed."""

    limits_by_server: Mapping[str, int]
    """Most requests of this node at each server."""

    computed_at: float
    """Time of the loop's clock at which they were computed, seconds."""


class CancelStarted(NamedTuple):
    """An attempt is being cancelled; its place at the server is not free yet."""

    server_id: str
    """The server."""


class CancelEnded(NamedTuple):
    """An attempt's cancellation is confirmed, or left to the reclaim of memory."""

    server_id: str
    """The server."""


class CacheEventsReceived(NamedTuple):
    """Events of an engine's prefix cache were read."""

    server_id: str
    """The engine."""

    page: prefix_map.CachePage
    """The events."""


class OrganisationShareChanged(NamedTuple):
    """This node's share of the organisations' limits changed."""

    share: float
    """The share, from 0 to 1."""


class LoadDigestRequested(NamedTuple):
    """Asks for a digest of this node's load."""

    take: Callable[[load_digests.LoadDigest], None]
    """Called with the digest."""


class PeerDigestReceived(NamedTuple):
    """A peer's digest came."""

    digest: load_digests.LoadDigest
    """The digest."""


DispatchMessage = (
    Submit
    | Resubmit
    | FirstToken
    | TokensDelivered
    | AttemptFailed
    | Finished
    | Withdrawn
    | GroupReady
    | LoadReported
    | Configured
    | ServerLimitsChanged
    | CancelStarted
    | CancelEnded
    | CacheEventsReceived
    | OrganisationShareChanged
    | LoadDigestRequested
    | PeerDigestReceived
)
"""What the dispatch task takes."""

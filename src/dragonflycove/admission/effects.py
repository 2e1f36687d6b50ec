"""Effects of the dispatcher: what its node has to do next."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes, requests


class Dispatch(NamedTuple):
    """Send a request to a backend server."""

    request: requests.ModelRequest
    """The request."""
    server_id: str
    """Identifier of the server, or of the lead of the memory group."""
    engine_priority: int
    """Priority at the engine; the engine runs lower values first."""
    group: tuple[str, ...] = ()
    """Identifiers of the memory group's engines, the lead first; empty for a single server."""


class Refuse(NamedTuple):
    """Refuse a request that was not admitted."""

    request_id: str
    """Identifier of the request."""
    outcome: outcomes.Refused
    """Reason and retry-after."""


class Fail(NamedTuple):
    """Fail an admitted request; cancel its attempt if one runs."""

    request_id: str
    """Identifier of the request."""
    outcome: outcomes.Failed
    """Reason, whether it may have run, and retry-after."""


class Preempt(NamedTuple):
    """Cancel a request's attempt to free a borrowed engine; `resubmit` then queues it again."""

    request_id: str
    """Identifier of the request."""
    server_id: str
    """Identifier of the server of its attempt."""


class NeedsGroup(NamedTuple):
    """Reserve a memory group for a request, then call `on_group_ready`."""

    request: requests.ModelRequest
    """The request."""
    candidates: tuple[str, ...]
    """Identifiers of the engines that may be members, the best first."""


Effect = Dispatch | Refuse | Fail | Preempt | NeedsGroup
"""Any effect of the dispatcher."""

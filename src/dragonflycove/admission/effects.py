"""What the dispatcher asks its node to do."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes, requests


class Dispatch(NamedTuple):
    """Send a request to a backend server."""

    request: requests.ModelRequest
    """The request."""
    server_id: str
    """Where to; the lead where there is a group."""
    engine_priority: int
    """Priority at the engine; a lower value goes first."""
    group: tuple[str, ...] = ()
    """Engines of the memory group, the lead first; empty without one."""


class Refuse(NamedTuple):
    """Answer a request that was not admitted."""

    request_id: str
    """The request."""
    outcome: outcomes.Refused
    """The answer."""


class Fail(NamedTuple):
    """End an admitted request; cancel its attempt where one runs."""

    request_id: str
    """The request."""
    outcome: outcomes.Failed
    """The answer."""


class Preempt(NamedTuple):
    """Cancel a request's attempt; the dispatcher keeps the request and dispatches it again."""

    request_id: str
    """The request."""
    server_id: str
    """Where its attempt runs."""


class NeedsGroup(NamedTuple):
    """Build a memory group for a request, then call `on_group_ready`."""

    request: requests.ModelRequest
    """The request."""
    candidates: tuple[str, ...]
    """Engines that may be members."""


Effect = Dispatch | Refuse | Fail | Preempt | NeedsGroup
"""What the dispatcher can ask for."""

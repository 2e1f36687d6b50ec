"""Who serves a request, what stays the same over its sends, and who finds its servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding, server_health, work


class RequestPlacer(Protocol):
    """Finds servers for requests."""

    async def place(self, job: work.Job) -> work.Grant | work.Refusal:
        """Wait until a request is placed or refused."""
        ...

    def on_first_event(self, key: work.JobKey) -> None:
        """Note that a prompt has been read."""
        ...

    def on_end(
        self, key: work.JobKey, outcome: server_health.Outcome, refusing_helper_id: str = ""
    ) -> bool:
        """Note that a send ended; returns whether its server became a suspect."""
        ...


class NodeIdentity(NamedTuple):
    """Who sends."""

    host: str
    """Name of this host."""

    incarnation: int
    """Start of this process."""

    zone: str
    """Availability zone of this host."""


class RequestContext(NamedTuple):
    """What stays the same over the sends of one request."""

    request: forwarding.CallerRequest
    """The request."""

    route: catalog.Route
    """Its route."""

    service: str
    """Service that runs it."""

    organisation: catalog.Organisation | None
    """Organisation that sent it; None on a public route without a key."""

    received_at: float
    """Loop time at which it had been read."""

    deadline_at: float
    """Loop time at which its time is over."""

    fingerprint: int
    """Hash of what makes the request itself."""

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty for none."""
        return self.organisation.name if self.organisation else ""

    @property
    def priority(self) -> int:
        """Rank; the organisation's goes before the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

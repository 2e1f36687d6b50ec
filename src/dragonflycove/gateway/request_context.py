"""Values shared by all attempts of one request, and the interface for placing requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding, relaying, server_health, work


class RequestPlacer(Protocol):
    """Places requests on backend servers."""

    async def place(self, job: work.Job) -> work.Grant | work.Refusal:
        """Wait until a request is placed or refused."""
        ...

    def on_first_event(self, key: work.JobKey) -> None:
        """Record that the first event arrived, so the prefill is complete."""
        ...

    def on_silence(self, key: work.JobKey) -> None:
        """Record that a request's server is silent, while its response is still awaited."""
        ...

    def on_end(
        self, key: work.JobKey, outcome: server_health.Outcome, refusing_helper_id: str = ""
    ) -> bool:
        """Record that an attempt ended; returns whether its server became a suspect."""
        ...


MAX_LOGGED_PARTS = 8
"""Parts of a prompt that the log names."""


class LocalNode(NamedTuple):
    """Host, incarnation and availability zone of this node."""

    host: str
    """Name of this host."""

    incarnation: int
    """Unix milliseconds of the process's start; distinguishes the incarnations of a host."""

    zone: str
    """Availability zone of this host."""


class RequestContext(NamedTuple):
    """Data of one request that all its attempts share."""

    request: forwarding.CallerRequest
    """The request as the caller sent it."""

    route: catalog.Route
    """Route that matches the request's host and path."""

    service: str
    """Service that runs it, drawn by the route's weights."""

    organisation: catalog.Organisation | None
    """Organisation that sent it; None on a public route without a key."""

    received_at: float
    """Loop time at which the complete request had been received."""

    deadline_at: float
    """Loop time of its deadline."""

    fingerprint: int
    """Hash of content and organisation; equal when the caller resends."""

    part_fingerprints: tuple[int, ...] = ()
    """Fingerprints of the parts of its prompt that other requests may share."""

    relayed: relaying.RelayedRequest | None = None
    """What the node told that received it from its caller; None if this node did."""

    @property
    def fingerprint_text(self) -> str:
        """The fingerprint as logged, 16 hexadecimal digits."""
        return f"{self.fingerprint:016x}"

    @property
    def parts_text(self) -> str:
        """Ids of the shared parts of its prompt as logged; the first `MAX_LOGGED_PARTS`."""
        return ",".join(self.request.shared_parts[:MAX_LOGGED_PARTS])

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty on a public route without a key."""
        return self.organisation.name if self.organisation else ""

    @property
    def priority(self) -> int:
        """Priority, 0 the highest; the organisation's overrides the route's."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

"""Protocol of the node as the callers' interface uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    import result

    from dragonflycove.callers import streams
    from dragonflycove.configuration import schema
    from dragonflycove.values import outcomes, requests


class ServiceResponse(NamedTuple):
    """Outcome of a call to a plain service, with the service's response if there is one."""

    outcome: outcomes.Outcome
    """Outcome of the call; the other fields hold a response only if it is `Answered`."""

    status: int = 0
    """HTTP status of the response; 0 without a response."""

    headers: tuple[tuple[str, str], ...] = ()
    """Headers of the response."""

    body: bytes = b""
    """Body of the response."""


class OpenStream(NamedTuple):
    """An admitted model request and the stream of its output."""

    request_id: str
    """Request identifier, sent to the caller as `X-Request-Id`."""

    stream: streams.CallerStream
    """Queue of events for this connection of the caller."""


class LookupAddress(NamedTuple):
    """A node address that callers may use."""

    address: str
    """`a.b.c.d:port`."""

    zone: str
    """Availability zone of the host."""


class LookupResult(NamedTuple):
    """Node addresses for callers, the response to `/v1/where`."""

    addresses: tuple[LookupAddress, ...]
    """Addresses in order of preference."""

    ttl_seconds: float
    """Time for which callers may cache the addresses, seconds."""


class Gateway(Protocol):
    """What the callers' interface requires of a node."""

    @property
    def configuration(self) -> schema.Configuration:
        """The configuration in force."""

    def refusal(self) -> outcomes.Refused | None:
        """Return the refusal of all new work, such as while draining; `None` if accepting work."""

    def now(self) -> float:
        """Return the loop time, seconds; deadlines are loop times."""

    async def submit(
        self, request: requests.ModelRequest, prompt: str
    ) -> result.Result[OpenStream, outcomes.Refused]:
        """Submit a model request; returns before any output, once admitted or refused."""

    def resume(
        self, token: str, from_index: int, model: str, prompt: str, deadline: float
    ) -> result.Result[OpenStream, outcomes.Refused]:
        """Resume a stream that this or another node started."""

    def on_caller_gone(self, opened: OpenStream) -> None:
        """Handle the end of the caller's connection, whatever ended it."""

    async def call_service(
        self,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> ServiceResponse:
        """Forward a call to a plain service and return its outcome."""

    def lookup(self, zone: str) -> LookupResult:
        """Return node addresses for callers near a zone."""

"""What the callers' interface needs of the node behind it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    import result

    from dragonflycove.callers import streams
    from dragonflycove.configuration import schema
    from dragonflycove.values import outcomes, requests


class ServiceResponse(NamedTuple):
    """A plain service's answer, or what became of the call without one."""

    outcome: outcomes.Outcome
    """What became of the call."""

    status: int = 0
    """HTTP status of the service's answer; 0 where there is none."""

    headers: tuple[tuple[str, str], ...] = ()
    """Headers of the service's answer."""

    body: bytes = b""
    """Body of the service's answer."""


class OpenStream(NamedTuple):
    """An admitted model request."""

    request_id: str
    """The node's identifier of the request."""

    stream: streams.CallerStream
    """Where its frames come."""


class LookupAddress(NamedTuple):
    """One address that callers may use."""

    address: str
    """IP address and port."""

    zone: str
    """Availability zone of the host."""


class LookupResult(NamedTuple):
    """Where callers may go."""

    addresses: tuple[LookupAddress, ...]
    """Addresses, the best first."""

    ttl_seconds: float
    """Time for which callers may keep the answer, seconds."""


class Gateway(Protocol):
    """The node, as the callers' interface sees it."""

    @property
    def configuration(self) -> schema.Configuration:
        """The configuration in force."""

    def refusal(self) -> outcomes.Refused | None:
        """Return why no new work is taken now, `None` if it is."""

    def now(self) -> float:
        """Return the time of the loop's clock, seconds."""

    async def submit(
        self, request: requests.ModelRequest, prompt: str
    ) -> result.Result[OpenStream, outcomes.Refused]:
        """Offer a model request; the answer comes at once."""

    def resume(
        self, token: str, from_index: int, model: str, prompt: str, deadline: float
    ) -> result.Result[OpenStream, outcomes.Refused]:
        """Go on with a stream that this or another node started."""

    def on_caller_gone(self, opened: OpenStream) -> None:
        """Take note that the caller's connection ended."""

    async def call_service(
        self,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> ServiceResponse:
        """Run a call to a plain service."""

    def lookup(self, zone: str) -> LookupResult:
        """Tell where callers near a zone may go."""

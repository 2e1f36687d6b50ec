"""What operators and backend servers say of themselves: routes, services, servers."""

from __future__ import annotations

import enum
from typing import NamedTuple


class CallKind(enum.Enum):
    """What may be repeated of a request."""

    STREAMING = "streaming"
    """Answered by a stream of numbered events."""

    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once for each attempt of the caller."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""


class ServerState(enum.Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    """Takes new work."""

    DRAINING = "draining"
    """Finishes what it has and leaves."""


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    """The IP address in dotted form."""

    port: int
    """The port."""

    def __str__(self) -> str:
        """Return `ip:port`."""
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `ip:port`.

    Args:
        text: The address.

    Returns:
        The parsed address.

    Raises:
        ValueError: The text has no port or a port that is no number.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not ip:
        raise ValueError(f"not an address: {text!r}")
    return Address(ip, int(port))


class Route(NamedTuple):
    """Where requests with a path prefix go, and within which bounds."""

    name: str
    """Name in the configuration."""

    host: str
    """Host header that the route applies to, in lower case."""

    path_prefix: str
    """Prefix of the paths, with a slash at both ends."""

    kind: CallKind
    """What may be repeated."""

    timeout_seconds: float
    """Longest time until the final answer."""

    latency_target_seconds: float
    """Time to the answer, or to a stream's first event, that earns full credit."""

    gap_target_seconds: float
    """Longest pause between two events of a stream that is still in time."""

    priority: int
    """Rank; 0 goes first."""

    weights_by_service: tuple[tuple[str, int], ...]
    """Services that share the route's requests, with their weights."""

    max_attempts: int
    """Most servers that may run one request."""

    is_public: bool
    """Whether requests need no key."""

    is_resumable: bool
    """Whether another server can go on with a broken stream."""

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAMING and self.is_resumable
        )


class EngineSpec(NamedTuple):
    """Speed and size of the engines of a service."""

    slots: int
    """Requests that run at once."""

    kv_cache_tokens: int
    """Tokens of context that fit into memory."""

    step_seconds: float
    """Time of one decoding step without load."""

    step_seconds_per_sequence: float
    """Time that each writing request adds to a step."""

    step_seconds_per_context_token: float
    """Time that each token of a writing request's context adds to a step."""

    prefill_tokens_per_second: float
    """Prompt tokens read per second, attention left out."""

    attention_seconds_per_token_pair: float
    """Time for the attention of one token to one earlier token while reading."""

    steps_per_pass: int
    """Steps in a pass that has a writer; each writer sends one event a pass."""


class Service(NamedTuple):
    """A group of interchangeable backend servers."""

    name: str
    """Name in the configuration."""

    health_path: str
    """Path that answers whether a server is healthy."""

    max_connections: int
    """Connections that one server accepts from all callers."""

    cold_start_seconds: float
    """Time that a server stays cold after its start."""

    cold_requests_per_second: float
    """Requests a second that a cold server bears; 0 where the service has no cold start."""

    engine: EngineSpec | None
    """Engine of a model service; None for a plain service."""


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    """Most bytes of a request's head."""

    max_body_bytes: int = 4_194_304
    """Most bytes of a request's body."""

    header_timeout_seconds: float = 3.0
    """Longest time for a request's head to arrive."""

    idle_seconds: float = 15.0
    """Time after which an idle connection is closed."""


class Organisation(NamedTuple):
    """An organisation that sends requests."""

    name: str
    """Name in the configuration."""

    priority: int | None
    """Rank that goes before the route's; None to use the route's."""


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    """Version; larger ones are newer."""

    route_by_host_prefix: dict[tuple[str, str], Route]
    """Routes by host and path prefix."""

    service_by_name: dict[str, Service]
    """Services."""

    organisation_by_key: dict[str, Organisation]
    """Organisations by each of their keys."""

    needs_keys: bool
    """Whether requests on routes that are not public need a key."""

    limits: CallerLimits
    """Limits towards callers."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Args:
            host: Host header, in lower case.
            path: Path of the request, without the query.

        Returns:
            The route; None if none matches.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.route_by_host_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class Instance(NamedTuple):
    """One start of one backend server."""

    server_id: str
    """The id that the server registered."""

    started_at_ms: int
    """Unix milliseconds of its start; 0 if it does not tell."""


class BackendServer(NamedTuple):
    """A backend server as registered."""

    instance: Instance
    """Which start of which server."""

    service: str
    """Service that it belongs to."""

    address: Address
    """Where it listens."""

    zone: str
    """Availability zone."""

    slots: int
    """Requests that it runs at once."""

    state: ServerState
    """Whether it takes new work."""

    cold_seconds: float
    """Time that it stays cold after the record was written."""

"""Values of the operators' configuration and the servers' records: routes, services, servers."""

from __future__ import annotations

import enum
import ipaddress
from typing import NamedTuple

MAX_PORT = 65_535
"""Highest port."""


class CallKind(enum.Enum):
    """Whether a request may be retried, and the form of its response."""

    STREAMING = "streaming"
    """The response is a stream of numbered events; may be resumed if the route allows it."""

    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once for each submission by the caller."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""


class ServerState(enum.Enum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    """Accepts new requests."""

    DRAINING = "draining"
    """Finishes its running requests, then stops."""


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    """The IP address in dotted form."""

    port: int
    """The TCP or UDP port."""

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
        ValueError: The text has no IP address, or no port that can be connected to.
    """
    ip, _, port = text.rpartition(":")
    address = Address(str(ipaddress.ip_address(ip)), int(port))
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return address


class Route(NamedTuple):
    """Rules for requests with a host and a path prefix."""

    name: str
    """Name in the configuration."""

    host: str
    """Host header that the route applies to, in lower case."""

    path_prefix: str
    """Path prefix that the route applies to, with a slash at both ends."""

    kind: CallKind
    """Whether its requests may be retried, and the form of their responses."""

    timeout_seconds: float
    """Timeout for the complete response."""

    latency_target_seconds: float
    """Time from request to response, or to a stream's first event, above which the response loses value."""

    gap_target_seconds: float
    """Gap between two events of a stream above which the response loses value."""

    priority: int
    """Priority; 0 is the highest and is placed first."""

    weights_by_service: tuple[tuple[str, float], ...]
    """Services that the route's requests are distributed to, with their weights."""

    max_attempts: int
    """Upper limit of attempts per request; `forwarding` defines which attempts count."""

    is_public: bool
    """Whether requests need no API key."""

    is_resumable: bool
    """Whether another server can continue an interrupted stream."""

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be retried although it may have run."""
        return self.kind is CallKind.IDEMPOTENT or (
            self.kind is CallKind.STREAMING and self.is_resumable
        )


class EngineSpec(NamedTuple):
    """Speed and capacity of a service's engines."""

    slots: int
    """Requests that run concurrently."""

    kv_cache_tokens: int
    """Capacity of the KV cache."""

    step_seconds: float
    """Base time of a step, without the time per sequence and per context token."""

    step_seconds_per_sequence: float
    """Time that each decoding sequence adds to a step."""

    step_seconds_per_context_token: float
    """Time that each context token of a decoding sequence adds to a step."""

    prefill_tokens_per_second: float
    """Prefill rate, excluding the time for attention."""

    attention_seconds_per_token_pair: float
    """Prefill time for the attention of one token to one earlier token."""

    steps_per_pass: int
    """Steps in a pass with decoding sequences; each sequence sends one event per pass."""


class Service(NamedTuple):
    """A group of interchangeable backend servers."""

    name: str
    """Name in the configuration."""

    health_path: str
    """Path of the servers' health checks."""

    max_connections: int
    """Connections that one server accepts in total, from all nodes."""

    cold_start_seconds: float
    """Time for which a server is cold after its start."""

    cold_requests_per_second: float
    """Rate limit of a cold server; 0 if the service has no cold start."""

    engine: EngineSpec | None
    """Engines of a model service; None for a plain service."""


class CallerLimits(NamedTuple):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    """Size limit of a request's head."""

    max_body_bytes: int = 4_194_304
    """Size limit of a request's body."""

    header_timeout_seconds: float = 3.0
    """Timeout for receiving a request's head."""

    idle_seconds: float = 15.0
    """Time after which an idle connection is closed."""

    version: int = 0
    """Version of the configuration that states them; 0 if unknown."""

    are_defaults: bool = False
    """Whether no configuration is known, which may state greater ones."""


class Organisation(NamedTuple):
    """An organisation that sends requests."""

    name: str
    """Name in the configuration."""

    priority: int | None
    """Priority that overrides the route's; None to use the route's."""


def _without_port(host: str) -> str:
    """Return a host header without its port; a colon in an IPv6 address is none."""
    name, _, port = host.rpartition(":")
    is_port = (port.isdecimal() or not port) and (":" not in name or name.endswith("]"))
    return name if is_port and name else host


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    """Version; increases with each change."""

    route_by_host_prefix: dict[tuple[str, str], Route]
    """Routes by host and path prefix."""

    service_by_name: dict[str, Service]
    """Services by name."""

    organisation_by_key: dict[str, Organisation]
    """Organisations by each of their API keys."""

    needs_keys: bool
    """Whether requests on routes that are not public need an API key."""

    limits: CallerLimits
    """Limits on callers' requests and connections."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Args:
            host: Host header, in lower case; its port counts only for routes that name one.
            path: Path of the request, without the query.

        Returns:
            The route; None if none matches.
        """
        route = self._find_longest_prefix(host, path)
        if route is None and (name := _without_port(host)) != host:
            route = self._find_longest_prefix(name, path)
        return route

    def _find_longest_prefix(self, host: str, path: str) -> Route | None:
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self.route_by_host_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None


class Instance(NamedTuple):
    """One incarnation of a backend server."""

    server_id: str
    """Id that the server registered; the same after a restart."""

    started_at_ms: int
    """Unix milliseconds of its start; 0 if its record has none."""


class BackendServer(NamedTuple):
    """A backend server as registered."""

    instance: Instance
    """Id and incarnation of the server."""

    service: str
    """Name of its service."""

    address: Address
    """Address that it listens on."""

    zone: str
    """Availability zone."""

    slots: int
    """Requests that it runs concurrently."""

    state: ServerState
    """Whether it accepts new requests."""

    cold_seconds: float
    """Time for which it is cold after its record was written; 0 if it is warm."""

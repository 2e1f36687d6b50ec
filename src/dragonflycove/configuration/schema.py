"""Types of an accepted configuration, decoded and checked."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ServiceKind(enum.Enum):
    """Kind of a service."""

    MODEL = "model"
    """Served by model engines, which generate tokens."""

    PLAIN = "plain"
    """Served by ordinary HTTP servers."""


class CallRule(NamedTuple):
    """Whether matching calls of a plain service may be retried."""

    method: str
    """HTTP method that matches."""

    path: str
    """Path that matches; a trailing `*` matches any suffix."""

    idempotent: bool
    """Whether such a call may be executed more than once."""


class Service(NamedTuple):
    """One service of the configuration."""

    name: str
    """Name of the service."""

    kind: ServiceKind
    """Whether model engines or HTTP servers serve it."""

    depends_on: tuple[str, ...]
    """Names of the services that it depends on."""

    models: tuple[str, ...]
    """Names of the models that it serves; empty for a plain service."""

    calls: tuple[CallRule, ...]
    """Rules for calls of a plain service; the first match applies, without one not idempotent."""


class Server(NamedTuple):
    """One backend server."""

    server_id: str
    """Identifier of the backend server."""

    service: str
    """Name of the service that it belongs to."""

    zone: str
    """Name of its availability zone."""

    address: str
    """IP address and port, `a.b.c.d:port`."""

    models: tuple[str, ...]
    """Names of the models that it may serve."""

    memory_tokens: int
    """KV cache capacity of a model engine, tokens; 0 for a plain service."""

    prefill_tokens_per_second: float
    """Prefill rate of a warm engine, tokens per second; 0 for a plain service."""

    concurrency: int
    """Maximum number of concurrent requests."""

    cold_concurrency: int
    """Maximum number of concurrent requests while it is cold after a start."""

    warm_after_requests: int
    """Number of requests finished since its start after which it counts as warm."""

    checks_fencing: bool
    """Whether it rejects requests with an outdated fencing token."""

    leaving: bool
    """Whether it is being removed and gets no new work."""


class Organisation(NamedTuple):
    """One organisation."""

    name: str
    """Name of the organisation."""

    weight: float
    """Weight in fair queueing."""

    tokens_per_second: float
    """Limit on prompt and generated tokens per second; 0 for no limit."""


class Configuration(NamedTuple):
    """One accepted version of the configuration, with the zones taken out of service."""

    version: int
    """Number of the version; 0 before the first."""

    services_by_name: dict[str, Service]
    """Services by name."""

    zones: tuple[str, ...]
    """Names of the availability zones."""

    servers_by_id: dict[str, Server]
    """Backend servers by id."""

    organisations_by_name: dict[str, Organisation]
    """Organisations by name."""

    zones_out: frozenset[str]
    """Names of the availability zones that operators have taken out of service."""

    def accepts_new_work(self, server_id: str) -> bool:
        """Return whether a backend server may get new work.

        Args:
            server_id: Identifier of the backend server.

        Returns:
            False for an unknown or leaving backend server, or one in a zone taken out of service.
        """
        server = self.servers_by_id.get(server_id)
        return server is not None and not server.leaving and server.zone not in self.zones_out


EMPTY = Configuration(0, {}, (), {}, {}, frozenset())
"""Configuration before the first version, without services, zones or servers."""

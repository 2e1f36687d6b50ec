"""Types of an accepted configuration."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ServiceKind(enum.Enum):
    """Kind of a service."""

    MODEL = "model"
    """Served by model engines."""

    PLAIN = "plain"
    """Served by plain services over HTTP."""


class CallRule(NamedTuple):
    """Whether the calls of a plain service that match may be repeated."""

    method: str
    """HTTP method."""

    path: str
    """Path; a last `*` matches any ending."""

    idempotent: bool
    """Whether such a call may be run more than once."""


class Service(NamedTuple):
    """One listed service."""

    name: str
    """Name of the service."""

    kind: ServiceKind
    """Kind of the service."""

    depends_on: tuple[str, ...]
    """Names of the services that it needs."""

    models: tuple[str, ...]
    """Names of the models that it serves; empty for a plain service."""

    calls: tuple[CallRule, ...]
    """Rules for the calls of a plain service, the first match counts; no match, not idempotent."""


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
    """KV memory of a model engine, tokens; 0 for a plain service."""

    prefill_tokens_per_second: float
    """Prompt tokens that a warm engine reads in a second; 0 for a plain service."""

    concurrency: int
    """Most requests that it runs at once."""

    cold_concurrency: int
    """Most requests that it bears at once in cold start."""

    warm_after_requests: int
    """Requests finished since its start after which it is warm."""

    checks_fencing: bool
    """Whether it refuses an order with an old fencing number."""

    leaving: bool
    """Whether it is to get no new work."""


class Organisation(NamedTuple):
    """One organisation."""

    name: str
    """Name of the organisation."""

    weight: float
    """Its weight in fair queueing."""

    tokens_per_second: float
    """Limit on its tokens, prompt and generated, a second; 0 for none."""


class Configuration(NamedTuple):
    """One accepted version of the operators' text, with the zones taken out."""

    version: int
    """Number of the version; 0 before the first."""

    services_by_name: dict[str, Service]
    """Services."""

    zones: tuple[str, ...]
    """Names of the availability zones."""

    servers_by_id: dict[str, Server]
    """Backend servers."""

    organisations_by_name: dict[str, Organisation]
    """Organisations."""

    zones_out: frozenset[str]
    """Names of the availability zones that operators have taken out."""

    def accepts_new_work(self, server_id: str) -> bool:
        """Tell whether a backend server may get new work.

        Args:
            server_id: Identifier of the backend server.

        Returns:
            False for an unknown or leaving backend server and for one in a zone taken out.
        """
        server = self.servers_by_id.get(server_id)
        return server is not None and not server.leaving and server.zone not in self.zones_out


EMPTY = Configuration(0, {}, (), {}, {}, frozenset())
"""The configuration before the first version."""

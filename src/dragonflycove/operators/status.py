"""Status of a node as shown to operators.

The field names are the keys of the JSON status.
"""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

import msgspec

from dragonflycove.configuration import acceptance  # noqa: TC001 - read by the protocol's users


class MemberStatus(NamedTuple):
    """Status of another host, as this node sees it."""

    host: str
    """Name of the host."""

    zone: str
    """Its availability zone; empty if the host list lacks the host."""

    address: str
    """Address on which callers reach it; empty if the host list lacks the host."""

    state: str
    """`live`, `leaving`, `silent` or `unknown`."""

    incarnation: str
    """Identifier of its process, unique to each start; empty before any message from it."""

    version: int
    """Configuration version in force there; -1 before any message from it."""


class ServerStatus(NamedTuple):
    """A backend server in another state than warm and available."""

    server_id: str
    """Identifier of the backend server."""

    zone: str
    """Its availability zone."""

    state: str
    """`cold`, `suspect`, `leaving` or `zone_out`."""


class NodeStatus(NamedTuple):
    """Status of one node."""

    host: str
    """Name of the node's host."""

    incarnation: str
    """Identifier of its process, unique to each start."""

    zone: str
    """Its availability zone."""

    address: str
    """Address on which callers reach it."""

    log_address: str
    """Address of the log service that it uses."""

    version: int
    """Configuration version in force."""

    freshness: str
    """Freshness of its configuration: `fresh`, `log_silent` or `stale`."""

    ready: bool
    """Whether it accepts new requests."""

    leaving: bool
    """Whether it is shutting down."""

    zones_out: tuple[str, ...]
    """Names of the availability zones taken out of service."""

    members: tuple[MemberStatus, ...]
    """The other hosts."""

    servers: tuple[ServerStatus, ...]
    """Backend servers in another state than warm and available."""

    refusals_by_reason: dict[str, float]
    """Number of refused requests since its start, by reason."""

    retries_by_reason: dict[str, float]
    """Number of retried attempts since its start, by reason."""

    failures_by_reason: dict[str, float]
    """Number of failed requests since its start, by reason."""


class StatusSource(Protocol):
    """Source of the state that the operators' API shows."""

    def describe(self) -> NodeStatus:
        """Return the node's status."""
        ...

    def acceptance_state(self) -> acceptance.AcceptanceState:
        """Return the node's acceptance state."""
        ...


def to_value(status: NodeStatus) -> dict[str, Any]:
    """Encode a status.

    Args:
        status: The status.

    Returns:
        A JSON object.
    """
    fields = status._asdict()
    fields["members"] = [member._asdict() for member in status.members]
    fields["servers"] = [server._asdict() for server in status.servers]
    return fields


def from_value(value: dict[str, Any]) -> NodeStatus | None:
    """Decode a status.

    Args:
        value: A JSON object.

    Returns:
        The status; `None` if it is malformed.
    """
    try:
        members = [_to_field_list(member, MemberStatus) for member in value["members"]]
        servers = [_to_field_list(server, ServerStatus) for server in value["servers"]]
        fields = {**value, "members": members, "servers": servers}
        return msgspec.convert(_to_field_list(fields, NodeStatus), NodeStatus)
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


def _to_field_list(value: dict[str, Any], shape: type[Any]) -> list[Any]:
    return [value[name] for name in shape._fields]

"""What a node tells operators about itself."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

import msgspec

from dragonflycove.configuration import acceptance  # noqa: TC001 - read by the protocol's users


class MemberStatus(NamedTuple):
    """One host as a node sees it."""

    host: str
    """Name of the host."""

    zone: str
    """Its availability zone; empty if the host list does not name it."""

    address: str
    """Address on which callers reach it; empty if the host list does not name it."""

    state: str
    """`live`, `leaving`, `silent` or `unknown`."""

    incarnation: str
    """Start of its process; empty if it was never heard."""

    version: int
    """Configuration version in force there; -1 if it was never heard."""


class ServerStatus(NamedTuple):
    """One backend server that is not simply warm."""

    server_id: str
    """Identifier of the backend server."""

    zone: str
    """Its availability zone."""

    state: str
    """`cold`, `suspect`, `leaving` or `zone_out`."""


class NodeStatus(NamedTuple):
    """One node."""

    host: str
    """Name of its host."""

    incarnation: str
    """Start of its process."""

    zone: str
    """Its availability zone."""

    address: str
    """Address on which callers reach it."""

    log_address: str
    """Address of the log service that it uses."""

    version: int
    """Configuration version in force."""

    freshness: str
    """What it knows about the age of its configuration."""

    ready: bool
    """Whether it takes new work."""

    leaving: bool
    """Whether it is stopping."""

    zones_out: tuple[str, ...]
    """Names of the availability zones taken out."""

    members: tuple[MemberStatus, ...]
    """The other hosts."""

    servers: tuple[ServerStatus, ...]
    """Backend servers that are not simply warm."""

    refusals_by_reason: dict[str, float]
    """Refusals since its start."""

    retries_by_reason: dict[str, float]
    """Attempts repeated since its start."""

    failures_by_reason: dict[str, float]
    """Failed requests since its start."""


class StatusSource(Protocol):
    """Where the operators' interface gets what it shows."""

    def describe(self) -> NodeStatus:
        """Return the node's status."""
        ...

    def acceptance_state(self) -> acceptance.AcceptanceState:
        """Return the node's acceptance state."""
        ...


def to_value(status: NodeStatus) -> dict[str, Any]:
    """Return the plain form of a status.

    Args:
        status: The status.

    Returns:
        An object for JSON.
    """
    fields = status._asdict()
    fields["members"] = [member._asdict() for member in status.members]
    fields["servers"] = [server._asdict() for server in status.servers]
    return fields


def from_value(value: dict[str, Any]) -> NodeStatus | None:
    """Read the plain form of a status.

    Args:
        value: An object from JSON.

    Returns:
        The status; `None` if it is malformed.
    """
    try:
        members = [_in_order(member, MemberStatus) for member in value["members"]]
        servers = [_in_order(server, ServerStatus) for server in value["servers"]]
        fields = {**value, "members": members, "servers": servers}
        return msgspec.convert(_in_order(fields, NodeStatus), NodeStatus)
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


def _in_order(value: dict[str, Any], shape: type[Any]) -> list[Any]:
    return [value[name] for name in shape._fields]

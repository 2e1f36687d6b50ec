"""HTTP client of the host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple, TypedDict

from dragonflycove.transport import exchange

if TYPE_CHECKING:
    import aiohttp
    import result

ReadError = exchange.ExchangeError
"""Error of a read; a read has no effect, so it may be retried after any error."""


class ListedHost(NamedTuple):
    """A host in the list."""

    name: str
    """Name of the host."""

    zone: str
    """Name of the host's availability zone."""

    address: str
    """Address for callers, `a.b.c.d:port`."""

    peer_address: str
    """Address for other nodes, `a.b.c.d:port`."""

    leaving: bool
    """Whether the platform is about to remove the host."""


class HostList(NamedTuple):
    """The hosts at one point in time."""

    read_at: float
    """Time at which the list was correct, Unix seconds by the platform's clock."""

    hosts_by_name: dict[str, ListedHost]
    """Live and leaving hosts by name."""


class _WireHost(TypedDict):
    """JSON object of a host."""

    name: str
    zone: str
    address: str
    peer_address: str
    state: Literal["live", "leaving"]


class _WireHostList(TypedDict):
    """JSON object of the list."""

    read_at: float
    hosts: list[_WireHost]


class HostListClient:
    """Reads the host list; doesn't retry."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create the client.

        Args:
            session: Session that opens the connections.
            address: Address of the host list, `a.b.c.d:port`.
        """
        self._session = session
        self._url = f"http://{address}/v1/hosts"

    async def fetch(self, timeout_seconds: float) -> result.Result[HostList, ReadError]:
        """Fetch the list.

        Args:
            timeout_seconds: Timeout of the whole call.

        Returns:
            The list, or the error.
        """
        request = exchange.Request("GET", self._url)
        decoded = await exchange.exchange_json(
            self._session, request, _WireHostList, timeout_seconds
        )
        return decoded.map(_parse_host_list)


def _parse_host_list(wire: _WireHostList) -> HostList:
    """Convert the decoded list."""
    entries = [
        ListedHost(
            host["name"],
            host["zone"],
            host["address"],
            host["peer_address"],
            host["state"] == "leaving",
        )
        for host in wire["hosts"]
    ]
    return HostList(wire["read_at"], {entry.name: entry for entry in entries})

"""Client of the host list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple, TypedDict

from dragonflycove.transport import exchange

if TYPE_CHECKING:
    import aiohttp
    import result

ReadError = exchange.ExchangeError
"""Why a read gave nothing; a read has no effect, so both kinds may be tried again."""


class HostEntry(NamedTuple):
    """One host."""

    name: str
    """Name of the host."""

    zone: str
    """Name of its availability zone."""

    address: str
    """Where callers connect, `a.b.c.d:port`."""

    peer_address: str
    """Where peers connect, `a.b.c.d:port`."""

    leaving: bool
    """Whether the platform is about to take the host away."""


class HostList(NamedTuple):
    """The hosts as they were at one time."""

    read_at: float
    """Time at which the list was true, Unix seconds by the platform's clock."""

    hosts_by_name: dict[str, HostEntry]
    """The hosts."""


class _WireHost(TypedDict):
    """A host as the host list sends it."""

    name: str
    zone: str
    address: str
    peer_address: str
    state: Literal["live", "leaving"]


class _WireHostList(TypedDict):
    """The list as the host list sends it."""

    read_at: float
    hosts: list[_WireHost]


class HostListClient:
    """Reads the host list; it never tries again on its own."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create the client.

        Args:
            session: Where connections come from.
            address: The host list, `a.b.c.d:port`.
        """
        self._session = session
        self._url = f"http://{address}/v1/hosts"

    async def fetch(self, timeout_seconds: float) -> result.Result[HostList, ReadError]:
        """Read the list.

        Args:
            timeout_seconds: Bound on the whole call.

        Returns:
            The list, or why there is none.
        """
        request = exchange.Request("GET", self._url)
        answer = await exchange.exchange_json(
            self._session, request, _WireHostList, timeout_seconds
        )
        return answer.map(_read_host_list)


def _read_host_list(wire: _WireHostList) -> HostList:
    """Convert the list from its wire form."""
    entries = [
        HostEntry(
            host["name"],
            host["zone"],
            host["address"],
            host["peer_address"],
            host["state"] == "leaving",
        )
        for host in wire["hosts"]
    ]
    return HostList(wire["read_at"], {entry.name: entry for entry in entries})

"""Stand-in for the host list, which returns the live and leaving hosts of a short time ago."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Literal

import msgspec
from starlette import routing

from dragonflycove.standins import faults, serving

if TYPE_CHECKING:
    from starlette import requests, responses

    from dragonflycove.standins import clock


class Host(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A host as the list returns it."""

    name: str = ""
    """Name of the host; a PUT takes it from the path."""

    zone: str
    """Name of its availability zone."""

    address: str
    """Address for callers, `a.b.c.d:port`."""

    peer_address: str
    """Address for peers, `a.b.c.d:port`."""

    state: Literal["live", "leaving"] = "live"
    """`leaving` if the platform is about to remove the host."""


class HostListParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the host list."""

    lag_seconds: float = 2.0
    """Age of the returned list."""

    hosts: list[Host] = []
    """Hosts at start."""


class HostListSwitches(faults.Switches, kw_only=True):
    """Faults of the host list."""

    lag_seconds: float | None = None
    """Age of the returned list while the switch is set; None for the parameter's value."""


class HostListService:
    """The hosts and the history of their changes."""

    def __init__(self, parameters: HostListParameters, now: clock.Clock) -> None:
        """Create the list.

        Args:
            parameters: The list's parameters.
            now: Returns the time, seconds.
        """
        self._lag_seconds = parameters.lag_seconds
        self._parameters = parameters
        self._now = now
        hosts_by_name = {host.name: host for host in parameters.hosts}
        self._history: list[tuple[float, dict[str, Host]]] = [(float("-inf"), hosts_by_name)]
        self._reads = 0

    def put(self, host: Host) -> None:
        """Add a host, or replace the one of the same name."""
        self._change(self._history[-1][1] | {host.name: host})

    def delete(self, name: str) -> None:
        """Remove a host; a no-op for an unknown name."""
        hosts_by_name = self._history[-1][1]
        self._change({key: host for key, host in hosts_by_name.items() if key != name})

    def set_lag(self, seconds: float | None) -> None:
        """Set the lag; None restores the parameter's value."""
        self._lag_seconds = self._parameters.lag_seconds if seconds is None else seconds

    def fetch(self) -> tuple[float, list[Host]]:
        """Return a time `lag_seconds` ago and the hosts at that time."""
        self._reads += 1
        read_at = self._now() - self._lag_seconds
        past = [hosts for changed_at, hosts in self._history if changed_at <= read_at]
        return read_at, list(past[-1].values())

    def activity(self) -> dict[str, Any]:
        """Return the number of reads and the current hosts as values for JSON."""
        return {"reads": self._reads, "hosts": list(self._history[-1][1].values())}

    def _change(self, hosts_by_name: dict[str, Host]) -> None:
        """Add a change at the current time to the history."""
        self._history.append((self._now(), hosts_by_name))


class HostListApp:
    """Serves a `HostListService` over HTTP."""

    def __init__(self, hosts: HostListService) -> None:
        """Create the HTTP interface of a host list."""
        self._hosts = hosts

    def standin(self) -> serving.Standin:
        """Return the stand-in to be served."""
        routes: list[routing.BaseRoute] = [
            routing.Route("/v1/hosts", self._fetch, methods=["GET"]),
            routing.Route("/v1/hosts/{name}", self._put, methods=["PUT"]),
            routing.Route("/v1/hosts/{name}", self._delete, methods=["DELETE"]),
        ]
        return serving.Standin(routes, self._hosts.activity, HostListSwitches, self._apply)

    def _apply(self, switches: faults.Switches) -> None:
        """Apply the switches that only the host list has."""
        if isinstance(switches, HostListSwitches):
            self._hosts.set_lag(switches.lag_seconds)

    async def _fetch(self, _: requests.Request) -> responses.Response:
        """Return the list of hosts as it was `lag_seconds` ago."""
        read_at, hosts = self._hosts.fetch()
        return serving.json_response({"read_at": read_at, "hosts": hosts})

    async def _put(self, request: requests.Request) -> responses.Response:
        """Add or replace the host in the path."""
        try:
            host = msgspec.json.decode(await request.body(), type=Host)
        except msgspec.MsgspecError as error:
            return serving.json_response({"error": str(error)}, 400)
        host.name = request.path_params["name"]
        self._hosts.put(host)
        return serving.json_response({})

    async def _delete(self, request: requests.Request) -> responses.Response:
        """Remove the host in the path."""
        self._hosts.delete(request.path_params["name"])
        return serving.json_response({})

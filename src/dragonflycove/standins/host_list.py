"""Stand-in for the host list: live and leaving hosts, shown with a lag."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Literal

import msgspec
from starlette import routing

from dragonflycove.standins import faults, serving

if TYPE_CHECKING:
    from starlette import requests, responses

    from dragonflycove.standins import clock


class Host(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One host."""

    name: str = ""
    """Name of the host."""

    zone: str
    """Name of its availability zone."""

    address: str
    """Where callers connect, `a.b.c.d:port`."""

    peer_address: str
    """Where peers connect, `a.b.c.d:port`."""

    state: Literal["live", "leaving"] = "live"
    """Whether the platform is about to take it away."""


class HostListParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the host list."""

    lag_seconds: float = 2.0
    """Age of what it shows."""

    hosts: list[Host] = []
    """Hosts at the start."""


class HostListSwitches(faults.Switches, kw_only=True):
    """Faults of the host list."""

    lag_seconds: float | None = None
    """Age of what it shows, while the switch is set."""


class HostListService:
    """The hosts and their history."""

    def __init__(self, parameters: HostListParameters, now: clock.Clock) -> None:
        """Create the list.

        Args:
            parameters: Its parameters.
            now: The clock.
        """
        self._lag_seconds = parameters.lag_seconds
        self._parameters = parameters
        self._now = now
        hosts_by_name = {host.name: host for host in parameters.hosts}
        self._history: list[tuple[float, dict[str, Host]]] = [(float("-inf"), hosts_by_name)]
        self._reads = 0

    def put(self, host: Host) -> None:
        """Add a host or change it."""
        self._change(self._history[-1][1] | {host.name: host})

    def delete(self, name: str) -> None:
        """Take a host out of the list."""
        hosts_by_name = self._history[-1][1]
        self._change({key: host for key, host in hosts_by_name.items() if key != name})

    def set_lag(self, seconds: float | None) -> None:
        """Set the lag, or set it back to the parameter's with `None`."""
        self._lag_seconds = self._parameters.lag_seconds if seconds is None else seconds

    def fetch(self) -> tuple[float, list[Host]]:
        """Return the time at which the shown list was true, and its hosts."""
        self._reads += 1
        read_at = self._now() - self._lag_seconds
        shown = [hosts for changed_at, hosts in self._history if changed_at <= read_at]
        return read_at, list(shown[-1].values())

    def activity(self) -> dict[str, Any]:
        """Return what the list has done, as what JSON can hold."""
        return {"reads": self._reads, "hosts": list(self._history[-1][1].values())}

    def _change(self, hosts_by_name: dict[str, Host]) -> None:
        """Note a change at the present time."""
        self._history.append((self._now(), hosts_by_name))


class HostListApp:
    """Translates between HTTP and the host list."""

    def __init__(self, hosts: HostListService) -> None:
        """Create the interface of a host list."""
        self._hosts = hosts

    def standin(self) -> serving.Standin:
        """Return the stand-in."""
        routes: list[routing.BaseRoute] = [
            routing.Route("/v1/hosts", self._fetch, methods=["GET"]),
            routing.Route("/v1/hosts/{name}", self._put, methods=["PUT"]),
            routing.Route("/v1/hosts/{name}", self._delete, methods=["DELETE"]),
        ]
        return serving.Standin(routes, self._hosts.activity, HostListSwitches, self._apply)

    def _apply(self, switches: faults.Switches) -> None:
        """Apply the list's own switches."""
        if isinstance(switches, HostListSwitches):
            self._hosts.set_lag(switches.lag_seconds)

    async def _fetch(self, _: requests.Request) -> responses.Response:
        """Give the list."""
        read_at, hosts = self._hosts.fetch()
        return serving.json_response({"read_at": read_at, "hosts": hosts})

    async def _put(self, request: requests.Request) -> responses.Response:
        """Add or change the host in the path."""
        try:
            host = msgspec.json.decode(await request.body(), type=Host)
        except msgspec.MsgspecError as error:
            return serving.json_response({"error": str(error)}, 400)
        host.name = request.path_params["name"]
        self._hosts.put(host)
        return serving.json_response({})

    async def _delete(self, request: requests.Request) -> responses.Response:
        """Take out the host in the path."""
        self._hosts.delete(request.path_params["name"])
        return serving.json_response({})

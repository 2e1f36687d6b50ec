"""Stand-in for the weight store: weights at a limited rate."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import msgspec
from starlette import routing

from dragonflycove.standins import rate_limit, serving

if TYPE_CHECKING:
    from starlette import requests, responses

    from dragonflycove.standins import clock


class WeightStoreParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the weight store."""

    reads_per_second: float = 2.0
    """Reads that it serves in a second."""

    burst_reads: float = 2.0
    """Reads that it serves at once."""

    default_units: int = 1
    """Size of weights that `units_by_name` does not name."""

    units_by_name: dict[str, int] = {}
    """Sizes of weights."""


class WeightStore:
    """The weights."""

    def __init__(self, parameters: WeightStoreParameters, now: clock.Clock) -> None:
        """Create the store.

        Args:
            parameters: Its parameters.
            now: The clock.
        """
        self._parameters = parameters
        self._rate = rate_limit.RateLimit(parameters.reads_per_second, parameters.burst_reads, now)
        self._reads_by_name: collections.Counter[str] = collections.Counter()
        self._rate_limited = 0

    def take(self) -> float:
        """Take one read; return 0, or the seconds after which to come back."""
        retry_after = self._rate.take()
        self._rate_limited += retry_after > 0
        return retry_after

    def units(self, name: str) -> int:
        """Return the size of weights and note the read."""
        self._reads_by_name[name] += 1
        return self._parameters.units_by_name.get(name, self._parameters.default_units)

    def activity(self) -> dict[str, Any]:
        """Return what the store has done, as what JSON can hold."""
        return {"reads_by_name": dict(self._reads_by_name), "rate_limited": self._rate_limited}


class WeightStoreApp:
    """Translates between HTTP and the weight store."""

    def __init__(self, store: WeightStore) -> None:
        """Create the interface of a weight store."""
        self._store = store

    def standin(self) -> serving.Standin:
        """Return the stand-in."""
        route = routing.Route("/v1/weights/{name:path}", self._fetch, methods=["GET"])
        return serving.Standin([route], self._store.activity)

    async def _fetch(self, request: requests.Request) -> responses.Response:
        """Give the weights in the path."""
        retry_after = self._store.take()
        if retry_after > 0:
            headers = {"Retry-After": f"{retry_after:.3f}"}
            return serving.json_response({"error": "over the rate"}, 429, headers)
        name = request.path_params["name"]
        return serving.json_response({"name": name, "units": self._store.units(name)})

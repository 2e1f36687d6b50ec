"""Stand-in for the weight store: sizes of weights by name, with a rate limit."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import msgspec
from starlette import routing

from dragonflycove.standins import serving, token_bucket

if TYPE_CHECKING:
    from starlette import requests, responses

    from dragonflycove.standins import clock


class WeightStoreParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the weight store."""

    reads_per_second: float = 2.0
    """Rate limit of reads."""

    burst_reads: float = 2.0
    """Number of reads allowed at once, above the average rate."""

    default_units: int = 1
    """Size, in units, of weights that `units_by_name` does not list."""

    units_by_name: dict[str, int] = {}
    """Sizes of weights in units, by `name` or `name@version`.

    An engine takes its `load_seconds_per_unit` to load one unit; the rate limit counts reads.
    """


class WeightStore:
    """Sizes of weights, and counts of their reads."""

    def __init__(self, parameters: WeightStoreParameters, now: clock.Clock) -> None:
        """Create the store.

        Args:
            parameters: The store's parameters.
            now: Returns the time, seconds.
        """
        self._parameters = parameters
        self._bucket = token_bucket.TokenBucket(
            parameters.reads_per_second, parameters.burst_reads, now
        )
        self._reads_by_name: collections.Counter[str] = collections.Counter()
        self._rate_limited = 0

    def take(self) -> float:
        """Apply the rate limit to one read; return 0 if allowed, else its retry-after, seconds."""
        retry_after = self._bucket.take()
        self._rate_limited += retry_after > 0
        return retry_after

    def units(self, name: str) -> int:
        """Return the size of weights in units, and count the read."""
        self._reads_by_name[name] += 1
        return self._parameters.units_by_name.get(name, self._parameters.default_units)

    def activity(self) -> dict[str, Any]:
        """Return the counts of reads and of rejected reads as values for JSON."""
        return {"reads_by_name": dict(self._reads_by_name), "rate_limited": self._rate_limited}


class WeightStoreApp:
    """Serves a `WeightStore` over HTTP."""

    def __init__(self, store: WeightStore) -> None:
        """Create the HTTP interface of a weight store."""
        self._store = store

    def standin(self) -> serving.Standin:
        """Return the stand-in to be served."""
        route = routing.Route("/v1/weights/{name:path}", self._fetch, methods=["GET"])
        return serving.Standin([route], self._store.activity)

    async def _fetch(self, request: requests.Request) -> responses.Response:
        """Return the size of the weights in the path, or 429 over the rate limit."""
        retry_after = self._store.take()
        if retry_after > 0:
            headers = {"Retry-After": f"{retry_after:.3f}"}
            return serving.json_response({"error": "over the rate"}, 429, headers)
        name = request.path_params["name"]
        return serving.json_response({"name": name, "units": self._store.units(name)})

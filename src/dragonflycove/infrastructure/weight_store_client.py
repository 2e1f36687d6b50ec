"""HTTP client of the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

from dragonflycove.transport import exchange

if TYPE_CHECKING:
    import aiohttp
    import result

ReadError = exchange.ExchangeError
"""Error of a read; a refusal by the rate limit is a `NotExecuted` with a retry-after."""


class Weights(NamedTuple):
    """Weights of a model, adapter or version."""

    name: str
    """Name of the weights."""

    units: int
    """Size in the store's units."""


class _WireWeights(TypedDict):
    """JSON object of `Weights`."""

    name: str
    units: int


class WeightStoreClient:
    """Reads weights; doesn't retry."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create the client.

        Args:
            session: Session that opens the connections.
            address: Address of the weight store, `a.b.c.d:port`.
        """
        self._session = session
        self._weights_url = f"http://{address}/v1/weights"

    async def fetch(self, name: str, timeout_seconds: float) -> result.Result[Weights, ReadError]:
        """Fetch weights.

        Args:
            name: Name of the weights.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The weights, or the error.
        """
        request = exchange.Request("GET", f"{self._weights_url}/{name}")
        decoded = await exchange.exchange_json(
            self._session, request, _WireWeights, timeout_seconds
        )
        return decoded.map(lambda wire: Weights(wire["name"], wire["units"]))

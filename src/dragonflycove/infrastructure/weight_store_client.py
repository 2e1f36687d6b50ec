"""Client of the weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypedDict

from dragonflycove.transport import exchange

if TYPE_CHECKING:
    import aiohttp
    import result

ReadError = exchange.ExchangeError
"""Why a read gave nothing; a refusal for the rate is a `NotExecuted` with its retry-after."""


class Weights(NamedTuple):
    """The weights of one model, adapter or version."""

    name: str
    """Their name."""

    units: int
    """Their size in the store's units."""


class _WireWeights(TypedDict):
    """Weights as the weight store sends them."""

    name: str
    units: int


class WeightStoreClient:
    """Reads weights; it never tries again on its own."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create the client.

        Args:
            session: Where connections come from.
            address: The weight store, `a.b.c.d:port`.
        """
        self._session = session
        self._base = f"http://{address}/v1/weights"

    async def fetch(self, name: str, timeout_seconds: float) -> result.Result[Weights, ReadError]:
        """Read weights.

        Args:
            name: Their name.
            timeout_seconds: Bound on the whole call.

        Returns:
            The weights, or why there are none.
        """
        request = exchange.Request("GET", f"{self._base}/{name}")
        answer = await exchange.exchange_json(self._session, request, _WireWeights, timeout_seconds)
        return answer.map(lambda wire: Weights(wire["name"], wire["units"]))

"""HTTP client of the log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

from dragonflycove.transport import exchange

if TYPE_CHECKING:
    from collections.abc import Sequence

    import aiohttp
    import result

AppendError = exchange.ExchangeError
"""Error of an append; the records may be in the log only after `exchange.OutcomeUnknown`."""

ReadError = exchange.ExchangeError
"""Error of a read; a read has no effect, so it may be retried after any error."""


class Appended(NamedTuple):
    """Position of the records of a confirmed append."""

    first_offset: int
    """Offset of the first record."""

    count: int  # type: ignore[assignment]
    """Number of records; their offsets are consecutive."""


class LogRecord(NamedTuple):
    """One record of a stream."""

    offset: int
    """Offset in the stream."""

    appended_at: float
    """Time of the append, Unix seconds by the log's clock."""

    value: dict[str, Any]
    """Content as appended by the sender."""


class ReadPage(NamedTuple):
    """A page of records in offset order."""

    first_retained: int
    """Lowest offset that the log still retains."""

    next_offset: int
    """Offset of the first record of the next page."""

    records: tuple[LogRecord, ...]
    """Records in offset order; empty if no record was appended within the wait."""


class _WireAppended(TypedDict):
    """JSON body of the response to an append."""

    first_offset: int
    count: int  # type: ignore[assignment]


class _WireRecord(TypedDict):
    """JSON object of a record."""

    offset: int
    appended_at: float
    value: dict[str, Any]


class _WirePage(TypedDict):
    """JSON object of a page."""

    first_retained: int
    next: int
    records: list[_WireRecord]


class LogClient:
    """Appends to and reads from streams; doesn't retry."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create the client.

        Args:
            session: Session that opens the connections.
            address: Address of the log service, `a.b.c.d:port`.
        """
        self._session = session
        self._streams_url = f"http://{address}/v1/streams"

    async def append(
        self, stream: str, records: Sequence[dict[str, Any]], timeout_seconds: float
    ) -> result.Result[Appended, AppendError]:
        """Append records with one request, which keeps them adjacent.

        Args:
            stream: Name of the stream.
            records: Records to append, in order.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The position of the records, or the error.
        """
        url = f"{self._streams_url}/{stream}/records"
        request = exchange.Request.from_json("POST", url, {"records": list(records)})
        decoded = await exchange.exchange_json(
            self._session, request, _WireAppended, timeout_seconds
        )
        return decoded.map(lambda wire: Appended(wire["first_offset"], wire["count"]))

    async def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_seconds: float,
        timeout_seconds: float,
    ) -> result.Result[ReadPage, ReadError]:
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to read; if it is no longer retained, the read
                starts at the first retained record.
            limit: Maximum number of records.
            wait_seconds: How long the log may delay the response if there is no record.
            timeout_seconds: Timeout of the whole call; must exceed `wait_seconds`.

        Returns:
            The page, which may be empty, or the error.
        """
        query = f"from={from_offset}&limit={limit}&wait={wait_seconds:g}"
        request = exchange.Request("GET", f"{self._streams_url}/{stream}/records?{query}")
        decoded = await exchange.exchange_json(self._session, request, _WirePage, timeout_seconds)
        return decoded.map(_parse_page)


def _parse_page(wire: _WirePage) -> ReadPage:
    """Convert a decoded page."""
    records = tuple(
        LogRecord(record["offset"], record["appended_at"], record["value"])
        for record in wire["records"]
    )
    return ReadPage(wire["first_retained"], wire["next"], records)

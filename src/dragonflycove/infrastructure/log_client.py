"""Client of the log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

from dragonflycove.transport import exchange

if TYPE_CHECKING:
    from collections.abc import Sequence

    import aiohttp
    import result

AppendError = exchange.ExchangeError
"""Why an append was not confirmed: `exchange.NotExecuted` or `exchange.OutcomeUnknown`."""

ReadError = exchange.ExchangeError
"""Why a read gave nothing; a read has no effect, so both kinds may be tried again."""


class Appended(NamedTuple):
    """Records that the log has taken."""

    first_offset: int
    """Offset of the first of them."""

    count: int  # type: ignore[assignment]
    """How many they are; their offsets follow each other."""


class LogRecord(NamedTuple):
    """One record of a stream."""

    offset: int
    """Its offset in the stream."""

    appended_at: float
    """When the log took it, Unix seconds by the log's clock."""

    value: dict[str, Any]
    """What the sender gave."""


class ReadPage(NamedTuple):
    """Records in offset order."""

    first_retained: int
    """Lowest offset that the log still keeps."""

    next_offset: int
    """Offset to read from next."""

    records: tuple[LogRecord, ...]
    """The records."""


class _WireAppended(TypedDict):
    """The log service's answer to an append."""

    first_offset: int
    count: int  # type: ignore[assignment]


class _WireRecord(TypedDict):
    """A record as the log service sends it."""

    offset: int
    appended_at: float
    value: dict[str, Any]


class _WirePage(TypedDict):
    """A page as the log service sends it."""

    first_retained: int
    next: int
    records: list[_WireRecord]


class LogClient:
    """Appends to and reads from streams; it never tries again on its own."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Create the client.

        Args:
            session: Where connections come from.
            address: The log service, `a.b.c.d:port`.
        """
        self._session = session
        self._base = f"http://{address}/v1/streams"

    async def append(
        self, stream: str, records: Sequence[dict[str, Any]], timeout_seconds: float
    ) -> result.Result[Appended, AppendError]:
        """Append records in one append.

        Args:
            stream: Name of the stream.
            records: What to append, in order.
            timeout_seconds: Bound on the whole call.

        Returns:
            Where the records are, or why that is not known.
        """
        url = f"{self._base}/{stream}/records"
        request = exchange.Request.from_json("POST", url, {"records": list(records)})
        answer = await exchange.exchange_json(
            self._session, request, _WireAppended, timeout_seconds
        )
        return answer.map(lambda wire: Appended(wire["first_offset"], wire["count"]))

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
            from_offset: Offset of the first record wanted; one below the first that is retained
                starts at that one.
            limit: Most records to read.
            wait_seconds: How long the log may wait for a record when there is none.
            timeout_seconds: Bound on the whole call; longer than `wait_seconds`.

        Returns:
            The page, perhaps empty, or why there is none.
        """
        query = f"from={from_offset}&limit={limit}&wait={wait_seconds:g}"
        request = exchange.Request("GET", f"{self._base}/{stream}/records?{query}")
        answer = await exchange.exchange_json(self._session, request, _WirePage, timeout_seconds)
        return answer.map(_read_page)


def _read_page(wire: _WirePage) -> ReadPage:
    """Convert a page from its wire form."""
    records = tuple(
        LogRecord(record["offset"], record["appended_at"], record["value"])
        for record in wire["records"]
    )
    return ReadPage(wire["first_retained"], wire["next"], records)

"""Stand-in for the log service: streams of records by offset, with retention and a rate limit."""

from __future__ import annotations

import asyncio
import bisect
import collections
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from dragonflycove.standins import token_bucket

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.standins import clock


class LogParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the log service."""

    appends_per_second: float = 300.0
    """Rate limit of appends, over all streams."""

    burst_appends: float = 100.0
    """Number of appends allowed at once, above the average rate."""

    retention_seconds: float = 86_400.0
    """Time after which a record expires."""


class Record(NamedTuple):
    """An appended record."""

    offset: int
    """Offset in the stream, from 0."""

    appended_at: float
    """Time of the append, seconds of the log's clock."""

    value: dict[str, Any]
    """Value as the client sent it."""


class Page(NamedTuple):
    """A page of records in offset order."""

    first_retained: int
    """Lowest offset that is still retained."""

    next_offset: int
    """Lowest offset to request in the next read."""

    records: tuple[Record, ...]
    """The records of the page."""


class RateLimited(NamedTuple):
    """The append exceeded the rate limit and had no effect."""

    retry_after_seconds: float
    """Retry-after for the client."""


class _Stream:
    """Records of one stream, and an event that each append sets and replaces."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.next_offset = 0
        self.changed = asyncio.Event()

    def expire(self, before: float) -> None:
        """Drop records appended before a time, seconds."""
        expired = bisect.bisect_left(self.records, before, key=lambda record: record.appended_at)
        del self.records[:expired]

    @property
    def first_retained(self) -> int:
        """Lowest offset that is still retained."""
        return self.next_offset - len(self.records)


class LogService:
    """Streams of records, created by their first use."""

    def __init__(self, parameters: LogParameters, now: clock.Clock) -> None:
        """Create a log without records.

        Args:
            parameters: The log's parameters.
            now: Returns the time, seconds.
        """
        self._parameters = parameters
        self._now = now
        self._bucket = token_bucket.TokenBucket(
            parameters.appends_per_second, parameters.burst_appends, now
        )
        self._streams_by_name: collections.defaultdict[str, _Stream] = collections.defaultdict(
            _Stream
        )
        self._appends_by_stream: collections.Counter[str] = collections.Counter()
        self._rate_limited = 0

    def append(self, stream: str, values: Sequence[dict[str, Any]]) -> int | RateLimited:
        """Append records.

        Args:
            stream: Name of the stream.
            values: Values of the records.

        Returns:
            The offset of the first new record, or the rejection.
        """
        retry_after = self._bucket.take()
        if retry_after > 0:
            self._rate_limited += 1
            return RateLimited(retry_after)
        entry = self._streams_by_name[stream]
        first_offset = entry.next_offset
        for value in values:
            entry.records.append(Record(entry.next_offset, self._now(), value))
            entry.next_offset += 1
        self._appends_by_stream[stream] += 1
        entry.changed.set()
        entry.changed = asyncio.Event()
        return first_offset

    def read(self, stream: str, from_offset: int, limit: int) -> Page:
        """Read a page of records.

        Args:
            stream: Name of the stream.
            from_offset: Lowest offset to read.
            limit: Maximum number of records.

        Returns:
            The retained records, starting at that offset.
        """
        entry = self._streams_by_name[stream]
        entry.expire(self._now() - self._parameters.retention_seconds)
        start = max(from_offset, entry.first_retained)
        skipped = start - entry.first_retained
        records = tuple(entry.records[skipped : skipped + limit])
        next_offset = min(start + len(records), entry.next_offset)
        return Page(entry.first_retained, next_offset, records)

    async def wait_for_offset(self, stream: str, from_offset: int, wait_seconds: float) -> None:
        """Wait until a stream has a record at an offset, or for the maximum time.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the record.
            wait_seconds: Maximum time to wait.
        """
        entry = self._streams_by_name[stream]
        try:
            async with asyncio.timeout(wait_seconds):
                while entry.next_offset <= from_offset:
                    await entry.changed.wait()
        except TimeoutError:
            return

    def activity(self) -> dict[str, Any]:
        """Return the counts of all streams and of rejected appends as values for JSON."""
        streams = {
            name: {
                "appends": self._appends_by_stream[name],
                "next": entry.next_offset,
                "first_retained": entry.first_retained,
            }
            for name, entry in self._streams_by_name.items()
        }
        return {"streams": streams, "rate_limited": self._rate_limited}

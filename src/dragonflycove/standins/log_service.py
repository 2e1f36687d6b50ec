"""Stand-in for the log service: streams of records with offsets that expire."""

from __future__ import annotations

import asyncio
import bisect
import collections
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from dragonflycove.standins import rate_limit

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.standins import clock


class LogParameters(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Parameters of the log service."""

    appends_per_second: float = 300.0
    """Appends that it takes in a second, over all streams."""

    burst_appends: float = 100.0
    """Appends that it takes at once."""

    retention_seconds: float = 86_400.0
    """How long it keeps a record."""


class Record(NamedTuple):
    """One record."""

    offset: int
    """Its offset in the stream."""

    appended_at: float
    """When it was appended, seconds of the log's clock."""

    value: dict[str, Any]
    """What the sender gave."""


class Page(NamedTuple):
    """Records in offset order."""

    first_retained: int
    """Lowest offset that is still kept."""

    next_offset: int
    """Offset to read from next."""

    records: tuple[Record, ...]
    """The records."""


class RateLimited(NamedTuple):
    """The append was over the rate and did not take effect."""

    retry_after_seconds: float
    """When to come back."""


class _Stream:
    """Records of one stream and those who wait for more."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.next_offset = 0
        self.changed = asyncio.Event()

    def expire(self, before: float) -> None:
        """Drop the records appended before a time."""
        expired = bisect.bisect_left(self.records, before, key=lambda record: record.appended_at)
        del self.records[:expired]

    @property
    def first_retained(self) -> int:
        """Lowest offset that is still kept."""
        return self.next_offset - len(self.records)


class LogService:
    """The log's streams."""

    def __init__(self, parameters: LogParameters, now: clock.Clock) -> None:
        """Create the log without records.

        Args:
            parameters: Its parameters.
            now: The clock.
        """
        self._parameters = parameters
        self._now = now
        self._rate = rate_limit.RateLimit(
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
            values: What to append.

        Returns:
            The offset of the first record, or the refusal.
        """
        retry_after = self._rate.take()
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
        """Read records.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record wanted.
            limit: Most records to read.

        Returns:
            The records that are kept from that offset on.
        """
        entry = self._streams_by_name[stream]
        entry.expire(self._now() - self._parameters.retention_seconds)
        start = max(from_offset, entry.first_retained)
        skipped = start - entry.first_retained
        records = tuple(entry.records[skipped : skipped + limit])
        next_offset = min(start + len(records), entry.next_offset)
        return Page(entry.first_retained, next_offset, records)

    async def wait(self, stream: str, from_offset: int, wait_seconds: float) -> None:
        """Wait until a stream reaches an offset or the time is over.

        Args:
            stream: Name of the stream.
            from_offset: The offset.
            wait_seconds: The time.
        """
        entry = self._streams_by_name[stream]
        try:
            async with asyncio.timeout(wait_seconds):
                while entry.next_offset <= from_offset:
                    await entry.changed.wait()
        except TimeoutError:
            return

    def activity(self) -> dict[str, Any]:
        """Return what the log has done, as what JSON can hold."""
        streams = {
            name: {
                "appends": self._appends_by_stream[name],
                "next": entry.next_offset,
                "first_retained": entry.first_retained,
            }
            for name, entry in self._streams_by_name.items()
        }
        return {"streams": streams, "rate_limited": self._rate_limited}

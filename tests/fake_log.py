"""An in-memory replacement for the log client, with faults that a test can switch on."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any

import result

from dragonflycove.configuration import records
from dragonflycove.infrastructure import log_client
from dragonflycove.transport import exchange

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

LOST_RESPONSE = exchange.OutcomeUnknown(
    exchange.Cause.TIMEOUT, "the response did not arrive before the timeout"
)
"""Error of an append whose response is lost: the records may have been written."""

UNREACHABLE = exchange.NotExecuted(exchange.Cause.UNREACHABLE, "connection refused")
"""Error of every operation that fails to connect to the log."""


class FakeLog:
    """Keeps the records of one stream in a list; an offset is an index into it."""

    def __init__(self) -> None:
        """Create an empty log with all faults off."""
        self.records: list[log_client.LogRecord] = []
        self.first_retained = 0
        self.is_down = False
        self.is_reading_down = False
        self.responses_to_lose = 0
        self.before_append: Callable[[], None] | None = None
        self.unix_time = 1_000_000.0
        self.append_count = 0
        self._changed = asyncio.Event()

    def put(self, *appended: records.Record) -> None:
        """Append records synchronously, whatever faults are on."""
        for record in appended:
            value = json.loads(json.dumps(records.to_value(record)))
            self.records.append(log_client.LogRecord(len(self.records), self.unix_time, value))
        self._changed.set()

    def all_records(self) -> list[records.Record | None]:
        """Return all records that were appended, with None for one that can't be decoded."""
        return [records.from_value(record.value) for record in self.records]

    async def append(
        self, stream: str, values: Sequence[dict[str, Any]], timeout_seconds: float
    ) -> result.Result[log_client.Appended, log_client.AppendError]:
        """Append records as the log service does, with the faults that are on."""
        assert stream == records.STREAM
        await asyncio.sleep(0.001)
        if self.is_down:
            return result.Err(UNREACHABLE)
        self.append_count += 1
        if self.before_append is not None:
            self.before_append()
        first = len(self.records)
        for value in values:
            stored = json.loads(json.dumps(value))
            self.records.append(log_client.LogRecord(len(self.records), self.unix_time, stored))
        self._changed.set()
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return result.Err(LOST_RESPONSE)
        return result.Ok(log_client.Appended(first, len(values)))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_seconds: float, timeout_seconds: float
    ) -> result.Result[log_client.ReadPage, log_client.ReadError]:
        """Read records as the log service does, with the faults that are on."""
        assert stream == records.STREAM
        await asyncio.sleep(0.001)
        if self.is_down or self.is_reading_down:
            return result.Err(UNREACHABLE)
        if from_offset >= len(self.records) and wait_seconds:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_seconds)
            if self.is_down or self.is_reading_down:
                return result.Err(UNREACHABLE)
        start = max(from_offset, self.first_retained)
        page = tuple(self.records[start : start + limit])
        return result.Ok(log_client.ReadPage(self.first_retained, start + len(page), page))

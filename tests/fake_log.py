"""A small log service in memory, with fault switches, in place of the client."""

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

UNKNOWN = exchange.OutcomeUnknown(exchange.Cause.TIMEOUT, "the answer did not come in time")
"""An answer that was lost."""

DOWN = exchange.NotExecuted(exchange.Cause.UNREACHABLE, "connection refused")
"""A log that can't be reached."""


class FakeLog:
    """Keeps records in a list; offsets are their places."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.records: list[log_client.LogRecord] = []
        self.first_retained = 0
        self.is_down = False
        self.is_reading_down = False
        self.responses_to_lose = 0
        self.before_append: Callable[[], None] | None = None
        self.unix_time = 1_000_000.0
        self.append_count = 0
        self._changed = asyncio.Event()

    def put(self, *given: records.Record) -> None:
        """Append records without any fault."""
        for record in given:
            value = json.loads(json.dumps(records.to_value(record)))
            self.records.append(log_client.LogRecord(len(self.records), self.unix_time, value))
        self._changed.set()

    def all_records(self) -> list[records.Record | None]:
        """Return all records ever taken."""
        return [records.from_value(record.value) for record in self.records]

    async def append(
        self, stream: str, given: Sequence[dict[str, Any]], timeout_seconds: float
    ) -> result.Result[log_client.Appended, log_client.AppendError]:
        """Append records as the log service would."""
        assert stream == records.STREAM
        await asyncio.sleep(0.001)
        if self.is_down:
            return result.Err(DOWN)
        self.append_count += 1
        if self.before_append is not None:
            self.before_append()
        first = len(self.records)
        for value in given:
            taken = json.loads(json.dumps(value))
            self.records.append(log_client.LogRecord(len(self.records), self.unix_time, taken))
        self._changed.set()
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return result.Err(UNKNOWN)
        return result.Ok(log_client.Appended(first, len(given)))

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_seconds: float, timeout_seconds: float
    ) -> result.Result[log_client.ReadPage, log_client.ReadError]:
        """Read records as the log service would."""
        assert stream == records.STREAM
        await asyncio.sleep(0.001)
        if self.is_down or self.is_reading_down:
            return result.Err(DOWN)
        if from_offset >= len(self.records) and wait_seconds:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_seconds)
            if self.is_down or self.is_reading_down:
                return result.Err(DOWN)
        start = max(from_offset, self.first_retained)
        page = tuple(self.records[start : start + limit])
        return result.Ok(log_client.ReadPage(self.first_retained, start + len(page), page))

"""Task that appends quarantine records to the log and reads those of all nodes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import result

from dragonflycove.node import guard_messages, tasks
from dragonflycove.quarantine import records
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.infrastructure import log_client

MAX_PAGE_RECORDS = 500
"""Maximum number of records per read of the log."""

LONG_POLL_SECONDS = 2.0
"""Time for which the log may delay the response to a read while it has no new records."""

LOG_TIMEOUT_SECONDS = 5.0
"""Timeout of one call to the log."""

RETRY_DELAY_SECONDS = 0.5
"""Delay before a failed call to the log is retried."""

MAX_QUEUED_RECORDS = 10_000
"""Maximum number of records queued while the log is unavailable; the oldest are dropped first."""


class QuarantineLogTask:
    """Appends this node's records in batches and passes the records of all nodes to the guard."""

    def __init__(
        self, log: log_client.LogClient, guard: tasks.Mailbox[guard_messages.GuardMessage]
    ) -> None:
        """Create the task.

        Args:
            log: The log service.
            guard: Mailbox of the guard task.
        """
        self._log = log
        self._guard = guard
        self._outgoing: tasks.Mailbox[records.Record] = tasks.Mailbox()

    def append(self, record: records.Record) -> None:
        """Queue a record, to be appended as soon as the log accepts it.

        Args:
            record: Record of this node.
        """
        self._outgoing.post(record)

    async def run(self) -> None:
        """Read and append until cancelled."""
        await asyncio.gather(self._follow_log(), self._append_queued())

    async def _follow_log(self) -> None:
        offset = 0
        while True:
            page = await self._log.read(
                records.STREAM, offset, MAX_PAGE_RECORDS, LONG_POLL_SECONDS, LOG_TIMEOUT_SECONDS
            )
            if isinstance(page, result.Err):
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            for logged in page.ok_value.records:
                self._forward(logged)
            offset = page.ok_value.next_offset

    def _forward(self, logged: log_client.LogRecord) -> None:
        record = records.from_wire(logged.value)
        if record is None:
            logs.warning("quarantine_record_unknown", offset=logged.offset)
            return
        age = max(0.0, time.time() - logged.appended_at)
        self._guard.post(guard_messages.LoggedRecord(record, logged.offset, age))

    async def _append_queued(self) -> None:
        while True:
            first = await self._outgoing.receive()
            queued = [record for record in (first, *self._outgoing.take_ready()) if record]
            # A retry may append a record twice; readers count a repeated crash only once.
            while not await self._try_append(queued):
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                queued.extend(self._outgoing.take_ready())
                queued = queued[-MAX_QUEUED_RECORDS:]

    async def _try_append(self, queued: list[records.Record]) -> bool:
        values = [records.to_wire(record) for record in queued]
        appended = await self._log.append(records.STREAM, values, LOG_TIMEOUT_SECONDS)
        return isinstance(appended, result.Ok)

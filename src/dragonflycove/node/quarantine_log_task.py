"""The task that carries quarantine records to and from the log."""

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

PAGE_RECORDS = 500
"""Most records read at once."""

POLL_SECONDS = 2.0
"""Time for which the log may hold a reading that finds nothing new, seconds."""

CALL_SECONDS = 5.0
"""Bound on one call to the log, seconds."""

RETRY_SECONDS = 0.5
"""Pause before the log is tried again, seconds."""

MOST_QUEUED = 10_000
"""Records kept for the log while it is down; the oldest are dropped first."""


class QuarantineLogTask:
    """Appends this node's records in batches and reads everybody's."""

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
        """Append a record as soon as the log takes it.

        Args:
            record: The record.
        """
        self._outgoing.post(record)

    async def run(self) -> None:
        """Read and append until cancelled."""
        await asyncio.gather(self._follow(), self._append())

    async def _follow(self) -> None:
        offset = 0
        while True:
            page = await self._log.read(
                records.STREAM, offset, PAGE_RECORDS, POLL_SECONDS, CALL_SECONDS
            )
            if isinstance(page, result.Err):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            for logged in page.ok_value.records:
                self._take(logged)
            offset = page.ok_value.next_offset

    def _take(self, logged: log_client.LogRecord) -> None:
        record = records.from_wire(logged.value)
        if record is None:
            logs.warning("quarantine_record_unknown", offset=logged.offset)
            return
        age = max(0.0, time.time() - logged.appended_at)
        self._guard.post(guard_messages.LoggedRecord(record, logged.offset, age))

    async def _append(self) -> None:
        while True:
            first = await self._outgoing.receive()
            waiting = [record for record in (first, *self._outgoing.take_ready()) if record]
            # A record may be appended twice; readers take a repeated crash for the same one.
            while not await self._try_append(waiting):
                await asyncio.sleep(RETRY_SECONDS)
                waiting.extend(self._outgoing.take_ready())
                waiting = waiting[-MOST_QUEUED:]

    async def _try_append(self, waiting: list[records.Record]) -> bool:
        values = [records.to_wire(record) for record in waiting]
        appended = await self._log.append(records.STREAM, values, CALL_SECONDS)
        return isinstance(appended, result.Ok)

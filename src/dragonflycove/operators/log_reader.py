"""Reads the configuration stream of the log and applies the acceptance rule to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import acceptance, records
from dragonflycove.transport import exchange

if TYPE_CHECKING:
    from dragonflycove.infrastructure import log_client

CALL_TIMEOUT_SECONDS = 5.0
"""Timeout of one call to the log service, seconds."""

MAX_PAGE_RECORDS = 200
"""Maximum number of records fetched by one read."""


class LogCallFailure(NamedTuple):
    """Failure of a call to the log service."""

    reason: str
    """Reason, for operators."""

    may_have_run: bool
    """Whether the call may have taken effect in spite of the failure."""

    retry_after_seconds: float | None
    """Retry-after time that the log service gave, seconds; `None` without one."""

    def __str__(self) -> str:
        """Return the reason."""
        return self.reason

    @classmethod
    def from_error(cls, error: exchange.ExchangeError) -> LogCallFailure:
        """Convert an error of the log client.

        Args:
            error: The error.

        Returns:
            The failure.
        """
        if isinstance(error, exchange.NotExecuted):
            return cls(error.reason, False, error.retry_after_seconds)
        return cls(error.reason, True, None)


class LogReader:
    """Reads the stream from its first retained record, applying the acceptance rule."""

    def __init__(self, log: log_client.LogClient, *, keep_versions: bool = False) -> None:
        """Create a reader; the first read starts at offset 0.

        Args:
            log: Client of the log service.
            keep_versions: Whether to keep snapshots of older versions and append times.
        """
        self._log = log
        self._keep_versions = keep_versions
        self.state = acceptance.initial_state()
        """The acceptance state after the records read so far."""
        self.snapshots_by_version: dict[int, records.Snapshot] = {}
        """Latest snapshot of each version read; empty unless versions are kept."""
        self.appended_at_by_offset: dict[int, float] = {}
        """Append times of the records read, Unix seconds; empty unless versions are kept."""

    async def read_to_end(self, timeout_seconds: float) -> result.Result[int, LogCallFailure]:
        """Read until the log has no more records.

        Args:
            timeout_seconds: Timeout of all reads together, seconds.

        Returns:
            Number of records read, or why the end was not reached.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        total = 0
        while True:
            call_timeout_seconds = max(0.01, min(CALL_TIMEOUT_SECONDS, deadline - loop.time()))
            page = await self._log.read(
                records.STREAM, self.state.next_offset, MAX_PAGE_RECORDS, 0.0, call_timeout_seconds
            )
            if isinstance(page, result.Err):
                return result.Err(LogCallFailure.from_error(page.err_value))
            self._apply(page.ok_value)
            total += len(page.ok_value.records)
            if not page.ok_value.records:
                return result.Ok(total)
            if loop.time() >= deadline:
                return result.Err(
                    LogCallFailure("the end was not reached within the timeout", False, None)
                )

    def _apply(self, page: log_client.ReadPage) -> None:
        self.state = acceptance.skip_expired(self.state, page.first_retained)
        for entry in page.records:
            record = records.from_value(entry.value)
            self.state = acceptance.apply(self.state, entry.offset, record).state
            if self._keep_versions:
                snapshot = self.state.snapshot
                self.snapshots_by_version[snapshot.version] = snapshot
                self.appended_at_by_offset[entry.offset] = entry.appended_at

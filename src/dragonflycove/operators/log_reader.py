"""Reading the configuration stream of the log."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import acceptance, records
from dragonflycove.transport import exchange

if TYPE_CHECKING:
    from dragonflycove.infrastructure import log_client

CALL_TIMEOUT_SECONDS = 5.0
"""Bound on one call to the log, seconds."""

PAGE_RECORDS = 200
"""Most records in one page."""


class Failure(NamedTuple):
    """Why a call to the log failed."""

    reason: str
    """One sentence."""

    may_have_run: bool
    """Whether it may have taken effect all the same."""

    retry_after_seconds: float | None
    """When the log asked to come back."""

    def __str__(self) -> str:
        """Return the reason."""
        return self.reason

    @classmethod
    def from_error(cls, error: exchange.ExchangeError) -> Failure:
        """Describe an error of the log's client.

        Args:
            error: The error.

        Returns:
            The failure.
        """
        if isinstance(error, exchange.NotExecuted):
            return cls(error.reason, False, error.retry_after_seconds)
        return cls(error.reason, True, None)


class LogReader:
    """Applies the acceptance rule to what it reads."""

    def __init__(self, log: log_client.LogClient, *, keep_versions: bool = False) -> None:
        """Create a reader that has read nothing.

        Args:
            log: The log service.
            keep_versions: Whether to keep the texts of older versions.
        """
        self._log = log
        self._keep_versions = keep_versions
        self.state = acceptance.initial_state()
        """The state after the records that were read."""
        self.snapshots_by_version: dict[int, records.Snapshot] = {}
        """Snapshots of the versions that were passed, if they are kept."""
        self.appended_at_by_offset: dict[int, float] = {}
        """When the log took the records, Unix seconds, if versions are kept."""

    async def read_to_end(self, timeout_seconds: float) -> result.Result[int, Failure]:
        """Read until the log has no more records.

        Args:
            timeout_seconds: Bound on it all.

        Returns:
            How many records were read, or why the end was not reached.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        total = 0
        while True:
            bound = max(0.01, min(CALL_TIMEOUT_SECONDS, deadline - loop.time()))
            page = await self._log.read(
                records.STREAM, self.state.next_offset, PAGE_RECORDS, 0.0, bound
            )
            if isinstance(page, result.Err):
                return result.Err(Failure.from_error(page.err_value))
            self._apply(page.ok_value)
            total += len(page.ok_value.records)
            if not page.ok_value.records:
                return result.Ok(total)
            if loop.time() >= deadline:
                return result.Err(Failure("the end was not reached in time", False, None))

    def _apply(self, page: log_client.ReadPage) -> None:
        self.state = acceptance.skip_expired(self.state, page.first_retained)
        for entry in page.records:
            record = records.from_value(entry.value)
            self.state = acceptance.apply(self.state, entry.offset, record).state
            if self._keep_versions:
                snapshot = self.state.snapshot
                self.snapshots_by_version[snapshot.version] = snapshot
                self.appended_at_by_offset[entry.offset] = entry.appended_at

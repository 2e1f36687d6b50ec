"""Publishing to the log: under one operation id, and believed only once read back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.configuration import acceptance, records
from dragonflycove.operators import log_reader
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    import random

    from dragonflycove.infrastructure import log_client

RETRY_SECONDS = 0.25
"""First pause before the log is tried again, seconds; it doubles."""

MAX_RETRY_SECONDS = 4.0
"""Longest pause before the log is tried again, seconds."""


class Decided(NamedTuple):
    """The operation was read back from the log, accepted or rejected."""

    outcome: records.OperationOutcome
    """Its outcome."""

    state: acceptance.AcceptanceState
    """The state after it."""

    appends: int
    """Appends that were sent."""


class NotSent(NamedTuple):
    """The operation is certainly not in the log."""

    reason: str
    """Why."""


class NotConfirmed(NamedTuple):
    """The operation may be in the log; it could not be read back."""

    operation_id: str
    """Its identifier, under which it may be sent again."""

    reason: str
    """Why."""


Publication = Decided | NotSent | NotConfirmed
"""What became of an operation that was sent."""


class Publisher:
    """Sends operations to the log and finds out what became of them."""

    def __init__(
        self, log: log_client.LogClient, rng: random.Random, timeout_seconds: float
    ) -> None:
        """Create a publisher.

        Args:
            log: The log service.
            rng: Where operation ids come from.
            timeout_seconds: Bound on one publication.
        """
        self._log = log
        self._rng = rng
        self._timeout_seconds = timeout_seconds
        self._reader = log_reader.LogReader(log)

    @property
    def state(self) -> acceptance.AcceptanceState:
        """The state after the records that were read."""
        return self._reader.state

    def new_operation_id(self) -> str:
        """Return an identifier for an operation."""
        return identifiers.new_id(self._rng, "op")

    async def catch_up(self) -> result.Result[acceptance.AcceptanceState, NotSent]:
        """Read the log to its end.

        Returns:
            The state, or why it can't be known.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_seconds
        pause = RETRY_SECONDS
        while True:
            read = await self._reader.read_to_end(deadline - loop.time())
            if isinstance(read, result.Ok):
                break
            if loop.time() + pause >= deadline:
                return result.Err(NotSent(f"the log can't be read: {read.err_value}"))
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRY_SECONDS)
        if not self.state.anchored:
            reason = "the log has lost records that no node has restated"
            return result.Err(NotSent(reason))
        return result.Ok(self.state)

    async def publish(self, proposal: records.Proposal) -> Publication:
        """Send an operation and read it back.

        Args:
            proposal: The operation; one whose identifier is in the log already is not sent again.

        Returns:
            What became of it.
        """
        deadline = asyncio.get_running_loop().time() + self._timeout_seconds
        attempt = _Attempt(self._log, self._reader, proposal, deadline)
        return await attempt.run()


class _Attempt:
    """One operation on its way."""

    def __init__(
        self,
        log: log_client.LogClient,
        reader: log_reader.LogReader,
        proposal: records.Proposal,
        deadline: float,
    ) -> None:
        self._log = log
        self._reader = reader
        self._proposal = proposal
        self._deadline = deadline
        self._pause = RETRY_SECONDS
        self._may_be_in_log = False
        self._appends = 0
        self._appended_offset = -1

    async def run(self) -> Publication:
        """Append until the operation is read back or the time is up."""
        reason = "no time was given"
        while self._remaining() > 0:
            read = await self._reader.read_to_end(self._remaining())
            outcome = self._find_outcome()
            if outcome is not None:
                return Decided(outcome, self._reader.state, self._appends)
            if isinstance(read, result.Err):
                reason = f"the log can't be read: {read.err_value}"
                await self._wait(None)
                continue
            if not self._reader.state.anchored:
                return self._give_up("the log has lost records that no node has restated")
            if self._reader.state.next_offset <= self._appended_offset:
                reason = "the log took the record, but does not show it yet"
                await self._wait(None)
                continue
            told = await self._append()
            if told is None:
                continue
            reason = told.reason
            await self._wait(told.retry_after_seconds)
        return self._give_up(reason)

    def _give_up(self, reason: str) -> Publication:
        if self._may_be_in_log:
            return NotConfirmed(self._proposal.operation_id, reason)
        return NotSent(reason)

    async def _append(self) -> log_reader.Failure | None:
        self._appends += 1
        value = records.to_value(self._proposal)
        appended = await self._log.append(records.STREAM, [value], self._call_seconds())
        if isinstance(appended, result.Ok):
            self._may_be_in_log = True
            self._appended_offset = appended.ok_value.first_offset
            return None
        failure = log_reader.Failure.from_error(appended.err_value)
        self._may_be_in_log = self._may_be_in_log or failure.may_have_run
        return failure

    def _find_outcome(self) -> records.OperationOutcome | None:
        for outcome in reversed(self._reader.state.snapshot.outcomes):
            if outcome.operation_id == self._proposal.operation_id:
                return outcome
        return None

    def _remaining(self) -> float:
        return self._deadline - asyncio.get_running_loop().time()

    def _call_seconds(self) -> float:
        return max(0.01, min(log_reader.CALL_TIMEOUT_SECONDS, self._remaining()))

    async def _wait(self, retry_after_seconds: float | None) -> None:
        pause = max(self._pause, retry_after_seconds or 0.0)
        self._pause = min(2 * self._pause, MAX_RETRY_SECONDS)
        await asyncio.sleep(max(0.0, min(pause, self._remaining())))

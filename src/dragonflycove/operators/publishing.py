"""Publishes operations to the log under one operation id, and confirms them by reading back.

The response to an append may be lost, and the acceptance rule may reject a record, so only the
outcome in the log counts. Appending the same operation id again has no further effect.
"""

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

INITIAL_RETRY_DELAY_SECONDS = 0.25
"""Delay before the first retry of a log call, seconds; doubles with each retry."""

MAX_RETRY_DELAY_SECONDS = 4.0
"""Maximum delay between retries, seconds, unless the log asks for a longer one."""


class Decided(NamedTuple):
    """The operation was read back from the log, either accepted or rejected."""

    outcome: records.OperationOutcome
    """Outcome of the operation."""

    state: acceptance.AcceptanceState
    """Acceptance state when the outcome was found."""

    appends: int
    """Number of appends sent; 0 if the operation was in the log already."""


class NotAppended(NamedTuple):
    """The operation is certainly not in the log."""

    reason: str
    """Why it was not appended."""


class NotConfirmed(NamedTuple):
    """The operation may be in the log, but could not be read back."""

    operation_id: str
    """Identifier of the operation; sending it again under this identifier is safe."""

    reason: str
    """Why it could not be read back."""


Publication = Decided | NotAppended | NotConfirmed
"""Result of publishing an operation."""


class Publisher:
    """Appends operations to the log and reads back their outcomes."""

    def __init__(
        self, log: log_client.LogClient, rng: random.Random, timeout_seconds: float
    ) -> None:
        """Create a publisher.

        Args:
            log: Client of the log service.
            rng: Random generator for operation ids.
            timeout_seconds: Timeout of one publication, seconds.
        """
        self._log = log
        self._rng = rng
        self._timeout_seconds = timeout_seconds
        self._reader = log_reader.LogReader(log)

    @property
    def state(self) -> acceptance.AcceptanceState:
        """The acceptance state after the records read so far."""
        return self._reader.state

    def new_operation_id(self) -> str:
        """Return a new unique identifier for an operation."""
        return identifiers.new_id(self._rng, "op")

    async def catch_up(self) -> result.Result[acceptance.AcceptanceState, NotAppended]:
        """Read the log to its end, retrying until the timeout.

        Returns:
            The state, or why it can't be determined.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_seconds
        retry_delay = INITIAL_RETRY_DELAY_SECONDS
        while True:
            read = await self._reader.read_to_end(deadline - loop.time())
            if isinstance(read, result.Ok):
                break
            if loop.time() + retry_delay >= deadline:
                return result.Err(NotAppended(f"the log can't be read: {read.err_value}"))
            await asyncio.sleep(retry_delay)
            retry_delay = min(2 * retry_delay, MAX_RETRY_DELAY_SECONDS)
        if not self.state.anchored:
            reason = "the log has lost records that no node has restated"
            return result.Err(NotAppended(reason))
        return result.Ok(self.state)

    async def publish(self, proposal: records.Proposal) -> Publication:
        """Append an operation and read back its outcome.

        Args:
            proposal: The operation. If its identifier is in the log already, it is not sent again.

        Returns:
            The outcome, or whether the operation may be in the log without a known outcome.
        """
        deadline = asyncio.get_running_loop().time() + self._timeout_seconds
        publication_run = _PublicationRun(self._log, self._reader, proposal, deadline)
        return await publication_run.run()


class _PublicationRun:
    """The publication of one operation."""

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
        self._retry_delay_seconds = INITIAL_RETRY_DELAY_SECONDS
        self._may_be_in_log = False
        self._appends = 0
        self._appended_offset = -1

    async def run(self) -> Publication:
        """Append, with retries, until the operation is read back or the deadline passes."""
        reason = "no time was given"
        while self._remaining_seconds() > 0:
            read = await self._reader.read_to_end(self._remaining_seconds())
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
            failure = await self._append()
            if failure is None:
                continue
            reason = failure.reason
            await self._wait(failure.retry_after_seconds)
        return self._give_up(reason)

    def _give_up(self, reason: str) -> Publication:
        if self._may_be_in_log:
            return NotConfirmed(self._proposal.operation_id, reason)
        return NotAppended(reason)

    async def _append(self) -> log_reader.LogCallFailure | None:
        self._appends += 1
        value = records.to_value(self._proposal)
        appended = await self._log.append(records.STREAM, [value], self._call_timeout_seconds())
        if isinstance(appended, result.Ok):
            self._may_be_in_log = True
            self._appended_offset = appended.ok_value.first_offset
            return None
        failure = log_reader.LogCallFailure.from_error(appended.err_value)
        self._may_be_in_log = self._may_be_in_log or failure.may_have_run
        return failure

    def _find_outcome(self) -> records.OperationOutcome | None:
        for outcome in reversed(self._reader.state.snapshot.outcomes):
            if outcome.operation_id == self._proposal.operation_id:
                return outcome
        return None

    def _remaining_seconds(self) -> float:
        return self._deadline - asyncio.get_running_loop().time()

    def _call_timeout_seconds(self) -> float:
        return max(0.01, min(log_reader.CALL_TIMEOUT_SECONDS, self._remaining_seconds()))

    async def _wait(self, retry_after_seconds: float | None) -> None:
        retry_delay = max(self._retry_delay_seconds, retry_after_seconds or 0.0)
        self._retry_delay_seconds = min(2 * self._retry_delay_seconds, MAX_RETRY_DELAY_SECONDS)
        await asyncio.sleep(max(0.0, min(retry_delay, self._remaining_seconds())))

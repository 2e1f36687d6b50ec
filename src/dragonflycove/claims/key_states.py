"""State of each key, derived from the log alone: nodes that read the same records agree."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.claims import keys, records

if TYPE_CHECKING:
    from dragonflycove.values import outcomes

RESPONSES_LIMIT_BYTES = 64 * 1024 * 1024
"""Maximum total size of recorded response bodies that a node keeps in memory, bytes."""


class KeyState:
    """State of one key."""

    def __init__(self) -> None:
        self.holder: records.Claim | None = None
        """First claim in offset order that was not withdrawn; `None` if there is none."""
        self.held_since = 0.0
        """Loop time at which the holder's claim was read, seconds."""
        self.withdrawn: set[str] = set()
        """Identifiers of the withdrawn claims."""
        self.outcome: records.Outcome | None = None
        """Outcome of the holder's call; `None` until it is read."""

    def is_overdue(self, now: float) -> bool:
        """Return whether the holder's outcome is missing after the maximum time to wait for it.

        Args:
            now: Loop time, seconds.
        """
        if self.holder is None or self.outcome is not None:
            return False
        return now >= self.held_since + self.holder.wait_seconds


class _Expiry(NamedTuple):
    """Heap entry that orders keys by creation time, so that the oldest are dropped first."""

    created_at: float
    key: keys.ClaimKey


class KeyStates:
    """States of all keys, built by applying the records of the stream in offset order.

    A record is applied only if its key was valid by the log's own clock when it was appended. So a
    node with a wrong clock cannot reuse a key whose earlier claim the log has dropped.

    Args:
        validity: Period in which keys are valid.
        responses_limit_bytes: Maximum total size of recorded response bodies to keep, bytes.
    """

    def __init__(
        self, validity: keys.KeyValidity, responses_limit_bytes: int = RESPONSES_LIMIT_BYTES
    ) -> None:
        self.log_time = 0.0
        """Latest append time read so far, Unix seconds by the log's clock; 0 before the first."""
        self._validity = validity
        self._states_by_key: dict[keys.ClaimKey, KeyState] = {}
        self._expiries: list[_Expiry] = []
        self._responses_limit_bytes = responses_limit_bytes
        self._response_keys: dict[keys.ClaimKey, None] = {}
        self._responses_bytes = 0

    def __len__(self) -> int:
        """Return the number of known keys."""
        return len(self._states_by_key)

    def get(self, key: keys.ClaimKey) -> KeyState | None:
        """Return the state of a key that a claim holds.

        Args:
            key: The key.

        Returns:
            The state; `None` if no claim holds the key.
        """
        state = self._states_by_key.get(key)
        return None if state is None or state.holder is None else state

    def is_known(self, key: keys.ClaimKey) -> bool:
        """Return whether a key has a state; the state is dropped when the key expires.

        Args:
            key: The key.

        Returns:
            Whether a valid record of the key was read and the key has not expired.
        """
        return key in self._states_by_key

    def apply(self, appended_at: float, record: records.Record, now: float) -> bool:
        """Apply the next record.

        Args:
            appended_at: When it was appended, Unix seconds by the log's clock.
            record: The record.
            now: Loop time, seconds.

        Returns:
            Whether it changed the key's holder or outcome.
        """
        self.log_time = max(self.log_time, appended_at)
        self._drop_expired()
        if self.check_key(record.key, appended_at) is not None:
            return False
        if isinstance(record, records.Claim):
            return self._apply_claim(record, now)
        if isinstance(record, records.Withdrawal):
            return self._apply_withdrawal(record)
        return self._apply_outcome(record)

    def check_key(self, key: keys.ClaimKey, appended_at: float) -> outcomes.Refused | None:
        """Check that the key of a record was valid when the record was appended.

        Args:
            key: The key.
            appended_at: When the record was appended, Unix seconds by the log's clock.

        Returns:
            The refusal, or `None` if the key is valid.
        """
        # The second check rejects a key whose state was dropped, if the log's clock steps back.
        return self._validity.check(key, appended_at) or self._validity.check_age(
            key, self.log_time
        )

    def _apply_claim(self, record: records.Claim, now: float) -> bool:
        """Apply a claim: it holds the key if no other does and it was not withdrawn."""
        state = self._state(record.key)
        if state.holder is not None or record.claim_id in state.withdrawn:
            return False
        state.holder = record
        state.held_since = now
        return True

    def _apply_withdrawal(self, record: records.Withdrawal) -> bool:
        """Apply a withdrawal, which may precede a late copy of its claim in the log."""
        state = self._state(record.key)
        state.withdrawn.add(record.claim_id)
        holder = state.holder
        if holder is None or holder.claim_id != record.claim_id or state.outcome is not None:
            return False
        state.holder = None
        return True

    def _apply_outcome(self, record: records.Outcome) -> bool:
        """Apply an outcome, if it is the first one of the holder's call."""
        state = self._state(record.key)
        holder = state.holder
        if holder is None or holder.claim_id != record.claim_id or state.outcome is not None:
            return False
        state.outcome = record
        self._keep_response(record)
        return True

    def _state(self, key: keys.ClaimKey) -> KeyState:
        """Return the state of a key, creating it if it does not exist."""
        state = self._states_by_key.get(key)
        if state is None:
            state = KeyState()
            self._states_by_key[key] = state
            heapq.heappush(self._expiries, _Expiry(key.created_at or 0.0, key))
        return state

    def _keep_response(self, record: records.Outcome) -> None:
        """Keep the body of a response, and drop the oldest bodies above the limit."""
        if record.answer is None:
            return
        self._response_keys[record.key] = None
        self._responses_bytes += len(record.answer.body)
        while self._responses_bytes > self._responses_limit_bytes:
            self._drop_body(next(iter(self._response_keys)))

    def _drop_body(self, key: keys.ClaimKey) -> None:
        """Drop the body of a key's response, and keep its status."""
        self._response_keys.pop(key, None)
        state = self._states_by_key.get(key)
        if state is None or state.outcome is None or state.outcome.answer is None:
            return
        answer = state.outcome.answer
        self._responses_bytes -= len(answer.body)
        state.outcome = state.outcome._replace(answer=answer._replace(body=b"", is_whole=False))

    def _drop_expired(self) -> None:
        """Drop the states of keys that have expired by the log's clock."""
        limit = self.log_time - self._validity.lifetime_seconds
        while self._expiries and self._expiries[0].created_at < limit:
            key = heapq.heappop(self._expiries).key
            self._drop_body(key)
            del self._states_by_key[key]

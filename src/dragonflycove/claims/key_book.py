"""What the log says about each key: the same on every node that has read as far."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.claims import keys, records

if TYPE_CHECKING:
    from dragonflycove.values import outcomes

ANSWERS_LIMIT_BYTES = 64 * 1024 * 1024
"""Bodies of recorded answers that a node keeps in memory, bytes."""


class KeyState:
    """State of one key."""

    def __init__(self) -> None:
        self.holder: records.Claim | None = None
        """The first claim in offset order that was not withdrawn."""
        self.held_since = 0.0
        """Time of the loop's clock at which the holder's claim was read, seconds."""
        self.withdrawn: set[str] = set()
        """Claims that were withdrawn."""
        self.outcome: records.Outcome | None = None
        """What became of the holder's call."""

    def is_overdue(self, now: float) -> bool:
        """Tell whether the holder's outcome need not be waited for any longer.

        Args:
            now: Time of the loop's clock, seconds.
        """
        if self.holder is None or self.outcome is not None:
            return False
        return now >= self.held_since + self.holder.wait_seconds


class _Expiry(NamedTuple):
    """When a key may be forgotten."""

    created_at: float
    key: keys.ClaimKey


class KeyBook:
    """Applies the records of the stream in offset order.

    A claim counts only if its key was good by the log's own clock when the log took it. So no
    node's clock can bring a key to life again after the claim before it has left the log.

    Args:
        rule: For how long keys are good.
        answers_limit_bytes: Bodies of recorded answers to keep, bytes.
    """

    def __init__(
        self, rule: keys.KeyValidity, answers_limit_bytes: int = ANSWERS_LIMIT_BYTES
    ) -> None:
        self.log_time = 0.0
        """Latest time that the log's clock is known to have reached, Unix seconds."""
        self._rule = rule
        self._states_by_key: dict[keys.ClaimKey, KeyState] = {}
        self._expiries: list[_Expiry] = []
        self._answers_limit_bytes = answers_limit_bytes
        self._answer_keys: dict[keys.ClaimKey, None] = {}
        self._answers_bytes = 0

    def __len__(self) -> int:
        """Return the number of keys known."""
        return len(self._states_by_key)

    def get(self, key: keys.ClaimKey) -> KeyState | None:
        """Return the state of a key that some claim holds.

        Args:
            key: The key.

        Returns:
            The state; `None` where no claim holds the key.
        """
        state = self._states_by_key.get(key)
        return None if state is None or state.holder is None else state

    def remembers(self, key: keys.ClaimKey) -> bool:
        """Tell whether anything is known of a key; it is forgotten once it is too old.

        Args:
            key: The key.

        Returns:
            Whether a record of the key counts here.
        """
        return key in self._states_by_key

    def apply(self, appended_at: float, record: records.Record, now: float) -> bool:
        """Apply the next record.

        Args:
            appended_at: When the log took it, Unix seconds by the log's clock.
            record: The record.
            now: Time of the loop's clock, seconds.

        Returns:
            Whether it changed anything.
        """
        self.log_time = max(self.log_time, appended_at)
        self._forget_expired()
        if self.judge(record.key, appended_at) is not None:
            return False
        if isinstance(record, records.Claim):
            return self._apply_claim(record, now)
        if isinstance(record, records.Withdrawal):
            return self._apply_withdrawal(record)
        return self._apply_outcome(record)

    def judge(self, key: keys.ClaimKey, appended_at: float) -> outcomes.Refused | None:
        """Tell whether a key is good in a record.

        Args:
            key: The key.
            appended_at: When the log took the record, Unix seconds by the log's clock.

        Returns:
            The refusal, or `None` if the key is good.
        """
        # The second check keeps a forgotten key dead should the log's clock step back.
        return self._rule.check(key, appended_at) or self._rule.check_age(key, self.log_time)

    def _apply_claim(self, record: records.Claim, now: float) -> bool:
        """Apply a claim: the first one that is not withdrawn holds the key."""
        state = self._state(record.key)
        if state.holder is not None or record.claim_id in state.withdrawn:
            return False
        state.holder = record
        state.held_since = now
        return True

    def _apply_withdrawal(self, record: records.Withdrawal) -> bool:
        """Apply a withdrawal, which may come before a late copy of its claim."""
        state = self._state(record.key)
        state.withdrawn.add(record.claim_id)
        holder = state.holder
        if holder is None or holder.claim_id != record.claim_id or state.outcome is not None:
            return False
        state.holder = None
        return True

    def _apply_outcome(self, record: records.Outcome) -> bool:
        """Apply the outcome of the holder's call."""
        state = self._state(record.key)
        holder = state.holder
        if holder is None or holder.claim_id != record.claim_id or state.outcome is not None:
            return False
        state.outcome = record
        self._keep_answer(record)
        return True

    def _state(self, key: keys.ClaimKey) -> KeyState:
        """Return the state of a key, made if need be."""
        state = self._states_by_key.get(key)
        if state is None:
            state = KeyState()
            self._states_by_key[key] = state
            heapq.heappush(self._expiries, _Expiry(key.created_at or 0.0, key))
        return state

    def _keep_answer(self, record: records.Outcome) -> None:
        """Keep the body of an answer, and drop the oldest ones over the limit."""
        if record.answer is None:
            return
        self._answer_keys[record.key] = None
        self._answers_bytes += len(record.answer.body)
        while self._answers_bytes > self._answers_limit_bytes:
            self._drop_body(next(iter(self._answer_keys)))

    def _drop_body(self, key: keys.ClaimKey) -> None:
        """Drop the body of a key's answer and keep its status."""
        self._answer_keys.pop(key, None)
        state = self._states_by_key.get(key)
        if state is None or state.outcome is None or state.outcome.answer is None:
            return
        answer = state.outcome.answer
        self._answers_bytes -= len(answer.body)
        state.outcome = state.outcome._replace(answer=answer._replace(body=b"", is_whole=False))

    def _forget_expired(self) -> None:
        """Forget the keys that are no longer good by the log's clock."""
        limit = self.log_time - self._rule.lifetime_seconds
        while self._expiries and self._expiries[0].created_at < limit:
            key = heapq.heappop(self._expiries).key
            self._drop_body(key)
            del self._states_by_key[key]

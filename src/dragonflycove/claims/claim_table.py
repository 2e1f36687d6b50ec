"""Decides at a node which calls that are not idempotent are sent, each key at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dragonflycove.claims import (
    answers,
    calls,
    claim_limits,
    effects,
    group_commit,
    key_book,
    records,
)
from dragonflycove.values import identifiers, outcomes

if TYPE_CHECKING:
    import random

    from dragonflycove.claims import keys
    from dragonflycove.values import requests


class ClaimTable:
    """The claims of one node, driven by what it reads back from the log.

    Args:
        limits: Bounds of the protocol.
        identity: This node.
        commit: Queue of records to append.
        rng: Generator for identifiers.
    """

    def __init__(
        self,
        limits: claim_limits.ClaimLimits,
        identity: identifiers.NodeIdentity,
        commit: group_commit.GroupCommit,
        rng: random.Random,
    ) -> None:
        self._owner = str(identity)
        self._limits = limits
        self._commit = commit
        self._rng = rng
        self._book = key_book.KeyBook(limits.key_validity)
        self._calls_by_claim: dict[str, calls.LocalCall] = {}
        self._is_ready = False

    @classmethod
    def from_config(
        cls,
        limits: claim_limits.ClaimLimits,
        identity: identifiers.NodeIdentity,
        appends_per_second: float,
        rng: random.Random,
    ) -> ClaimTable:
        """Create a table after checking that keys die before their claims leave the log.

        Args:
            limits: Bounds of the protocol.
            identity: This node.
            appends_per_second: The node's share of the log's append rate.
            rng: Generator for identifiers.

        Returns:
            The table.

        Raises:
            ValueError: If a key could outlive its claim in the log.
        """
        limits.check()
        commit = group_commit.GroupCommit(appends_per_second, rng)
        return cls(limits, identity, commit, rng)

    @property
    def is_ready(self) -> bool:
        """Whether the stream was read from its retained start to its end."""
        return self._is_ready

    def set_rate(self, appends_per_second: float) -> None:
        """Change the node's share of the log's append rate.

        Args:
            appends_per_second: The new share.
        """
        self._commit.set_rate(appends_per_second)

    def on_end_reached(self) -> None:
        """Note that the stream was read from its retained start to its end."""
        self._is_ready = True

    def begin(
        self,
        call: requests.ServiceCall,
        now: float,
        wall: float,
    ) -> list[effects.Effect]:
        """Take a call from a caller.

        Args:
            call: The call.
            now: Time of the loop's clock, seconds.
            wall: Unix time, seconds.

        Returns:
            The effects.
        """
        local = calls.LocalCall(call, self._new_claim_id(), now)
        refused = self._limits.key_validity.check(local.key, wall)
        refused = refused or self._limits.key_validity.check_age(local.key, self._book.log_time)
        if refused is not None:
            return [effects.Finish(call.request_id, refused)]
        state = self._book.get(local.key)
        if state is not None:
            self._calls_by_claim[local.claim_id] = local
            return self._follow(local, state, now)
        if not self._is_ready:
            return [
                answers.refuse(
                    call, outcomes.Reason.LOG_UNAVAILABLE, "the claims were not read yet"
                )
            ]
        if len(self._book) >= self._limits.keys_limit or self._commit.is_full:
            return [
                answers.refuse(call, outcomes.Reason.OVERLOADED, "too many claims are waiting", 1.0)
            ]
        self._claim(local, now)
        return self._take(now)

    def on_record(
        self, offset: int, appended_at: float, value: dict[str, Any], now: float
    ) -> list[effects.Effect]:
        """Apply the next record of the stream.

        Args:
            offset: Its offset; records come in this order and none is left out.
            appended_at: When the log took it, Unix seconds by the log's clock.
            value: Its wire form.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        record = records.decode(value)
        if record is None:
            return []
        self._commit.discard(_record_id(record))
        self._book.apply(appended_at, record, now)
        result: list[effects.Effect] = []
        if isinstance(record, records.Claim):
            local = self._calls_by_claim.get(record.claim_id)
            if local is not None and local.stage is calls.Stage.CLAIMING:
                result += self._on_read_back(local, appended_at, now)
        else:
            result += self._wake(record.key, now)
        return [*result, *self._take(now)]

    def on_append_done(self, operation_id: str, now: float) -> list[effects.Effect]:
        """Handle an append that the log confirmed; only reading it back counts.

        Args:
            operation_id: The append.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        self._commit.on_done(operation_id)
        return self._take(now)

    def on_append_not_done(
        self, operation_id: str, now: float, retry_after_seconds: float
    ) -> list[effects.Effect]:
        """Handle an append that the log refused.

        Args:
            operation_id: The append.
            now: Time of the loop's clock, seconds.
            retry_after_seconds: Time to wait before the next one, seconds.

        Returns:
            The effects.
        """
        self._commit.on_not_done(operation_id, now, retry_after_seconds)
        return self._take(now)

    def on_append_unknown(self, operation_id: str, now: float) -> list[effects.Effect]:
        """Handle an append whose answer was lost.

        Args:
            operation_id: The append.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        self._commit.on_unknown(operation_id, now)
        return self._take(now)

    def try_mark_sent(self, claim_id: str, now: float) -> bool:
        """Tell whether to send a call now, and count it as sent if so.

        Args:
            claim_id: The call's claim.
            now: Time of the loop's clock, read immediately before sending, seconds.

        Returns:
            Whether to send it.
        """
        local = self._calls_by_claim.get(claim_id)
        if local is None or local.stage is not calls.Stage.HELD:
            return False
        if now >= self._send_limit(local):
            return False
        local.stage = calls.Stage.SENT
        return True

    def on_not_sent(self, claim_id: str) -> None:
        """Note that no connection was made, so that nothing was sent after all.

        Args:
            claim_id: The call's claim.
        """
        local = self._calls_by_claim.get(claim_id)
        if local is not None and local.stage is calls.Stage.SENT:
            local.stage = calls.Stage.HELD

    def withdraw(self, claim_id: str, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Withdraw a claim under which nothing was sent, and refuse its call.

        Args:
            claim_id: The claim.
            reason: Why the call was not sent.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        local = self._calls_by_claim.get(claim_id)
        if local is None or local.stage not in (calls.Stage.HELD, calls.Stage.CLAIMING):
            return []
        del self._calls_by_claim[claim_id]
        if self._commit.discard(f"claim:{claim_id}") or local.stage is calls.Stage.HELD:
            self._queue(records.Withdrawal(claim_id, local.key, self._owner))
        detail = "nothing was sent for this request"
        finish = answers.refuse(local.call, reason, detail, retry_after_seconds=1.0)
        return [finish, *self._take(now)]

    def on_response(
        self,
        claim_id: str,
        answer: records.Response | None,
        now: float,
    ) -> list[effects.Effect]:
        """Record what became of a call that was sent, and answer its caller.

        Args:
            claim_id: The call's claim.
            answer: The plain service's answer; `None` where none came.
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        local = self._calls_by_claim.pop(claim_id, None)
        if local is None:
            return []
        self._queue(records.Outcome(claim_id, local.key, self._owner, answer))
        finish = answers.from_plain(local.call, answer)
        return [*([] if local.is_finished else [finish]), *self._take(now)]

    def tick(self, now: float) -> list[effects.Effect]:
        """End what is overdue, and append what waits.

        Args:
            now: Time of the loop's clock, seconds.

        Returns:
            The effects.
        """
        result: list[effects.Effect] = []
        for local in list(self._calls_by_claim.values()):
            is_unsent = local.stage in (calls.Stage.CLAIMING, calls.Stage.HELD)
            if is_unsent and now >= self._send_limit(local):
                reason = outcomes.Reason.LOG_UNAVAILABLE
                result += self.withdraw(local.claim_id, reason, now)
            elif local.stage is calls.Stage.WAITING:
                result += self._check_waiting(local, now)
            elif now >= local.call.deadline and not local.is_finished:
                local.is_finished = True
                result.append(answers.may_have_run(local.call, outcomes.Reason.DEADLINE))
        return [*result, *self._take(now)]

    def _claim(self, local: calls.LocalCall, now: float) -> None:
        """Queue a claim for a call."""
        self._calls_by_claim[local.claim_id] = local
        wait_seconds = min(self._limits.outcome_seconds, max(0.0, local.call.deadline - now))
        claim = records.Claim(
            local.claim_id,
            local.key,
            self._owner,
            calls.hash_call(local.call),
            wait_seconds + self._limits.claim_seconds,
        )
        self._queue(claim)

    def _new_claim_id(self) -> str:
        """Return a fresh identifier of a claim."""
        return identifiers.new_id(self._rng, "claim")

    def _send_limit(self, local: calls.LocalCall) -> float:
        """Return the time from which a call must not be sent."""
        return min(local.call.deadline, local.began_at + self._limits.claim_seconds)

    def _on_read_back(
        self, local: calls.LocalCall, appended_at: float, now: float
    ) -> list[effects.Effect]:
        """Handle the first copy of a call's own claim."""
        state = self._book.get(local.key)
        if state is None or state.holder is None:
            refused = self._book.judge(local.key, appended_at)
            del self._calls_by_claim[local.claim_id]
            detail = "the claim was void when the log took it"
            fallback = outcomes.Refused(outcomes.Reason.LOG_UNAVAILABLE, detail)
            return [effects.Finish(local.call.request_id, refused or fallback)]
        if state.holder.claim_id != local.claim_id:
            return self._follow(local, state, now)
        local.stage = calls.Stage.HELD
        return [effects.Send(local.claim_id, local.call)]

    def _follow(
        self, local: calls.LocalCall, state: key_book.KeyState, now: float
    ) -> list[effects.Effect]:
        """Answer a call whose key another claim holds, or let it wait."""
        holder = state.holder
        if holder is not None and holder.call_hash != calls.hash_call(local.call):
            del self._calls_by_claim[local.claim_id]
            detail = "the key was used for another call"
            return [answers.refuse(local.call, outcomes.Reason.KEY_REUSED, detail)]
        local.stage = calls.Stage.WAITING
        return self._check_waiting(local, now)

    def _check_waiting(self, local: calls.LocalCall, now: float) -> list[effects.Effect]:
        """Answer a waiting call if its key's outcome is known or need not be waited for."""
        state = self._book.get(local.key)
        if state is None and self._book.remembers(local.key):
            return self._claim_again(local, now)
        finish = answers.answer_waiting(local.call, state, now)
        if finish is None:
            return []
        del self._calls_by_claim[local.claim_id]
        return [finish]

    def _claim_again(self, local: calls.LocalCall, now: float) -> list[effects.Effect]:
        """Claim a key whose holder withdrew; another node may have done so already."""
        del self._calls_by_claim[local.claim_id]
        self._claim(calls.LocalCall(local.call, self._new_claim_id(), now), now)
        return []

    def _wake(self, key: keys.ClaimKey, now: float) -> list[effects.Effect]:
        """Look again at the calls that wait for a key."""
        result: list[effects.Effect] = []
        for local in list(self._calls_by_claim.values()):
            if local.stage is calls.Stage.WAITING and local.key == key:
                result += self._check_waiting(local, now)
        return result

    def _queue(self, record: records.Record) -> None:
        """Queue a record for the next append."""
        self._commit.add(_record_id(record), records.encode(record))

    def _take(self, now: float) -> list[effects.Effect]:
        """Return the next append, if one is due."""
        batch = self._commit.take(now)
        if batch is None:
            return []
        return [effects.Append(batch.operation_id, tuple(batch.values_by_record_id.values()))]


def _record_id(record: records.Record) -> str:
    """Return the identifier under which a record waits to be appended."""
    return f"{type(record).__name__.lower()}:{record.claim_id}"

"""Decides which calls that are not idempotent this node sends, so that each key runs at most once.

A node claims a call's key by appending a record to a shared log, and sends the call only after it
has read its claim back as the first one of the key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dragonflycove.claims import (
    call_results,
    calls,
    claim_limits,
    effects,
    group_commit,
    key_states,
    records,
)
from dragonflycove.values import identifiers, outcomes

if TYPE_CHECKING:
    import random

    from dragonflycove.claims import keys
    from dragonflycove.values import requests


class ClaimTable:
    """Claims and calls of one node, driven by the records that it reads back from the log.

    Args:
        limits: Limits of the protocol.
        identity: Identity of this node.
        commit: Queue of records to append.
        rng: Random generator for identifiers.
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
        self._key_states = key_states.KeyStates(limits.key_validity)
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
        """Create a table after checking that keys expire before the log drops their claims.

        Args:
            limits: Limits of the protocol.
            identity: Identity of this node.
            appends_per_second: The node's share of the log's append rate.
            rng: Random generator for identifiers.

        Returns:
            The table.

        Raises:
            ValueError: If a key could still be valid after the log has dropped its claim.
        """
        limits.check()
        commit = group_commit.GroupCommit(appends_per_second, rng)
        return cls(limits, identity, commit, rng)

    @property
    def is_ready(self) -> bool:
        """Whether the stream was read to its end once; new claims are refused until then."""
        return self._is_ready

    def set_rate(self, appends_per_second: float) -> None:
        """Change the node's share of the log's append rate.

        Args:
            appends_per_second: The new share.
        """
        self._commit.set_rate(appends_per_second)

    def on_end_reached(self) -> None:
        """Record that the stream was read from its first retained record to its end."""
        self._is_ready = True

    def begin(
        self,
        call: requests.ServiceCall,
        now: float,
        unix_seconds: float,
    ) -> list[effects.Effect]:
        """Claim the key of a new call, wait for another claim's outcome, or refuse the call.

        Args:
            call: The call.
            now: Loop time, seconds.
            unix_seconds: Time by this node's clock, Unix seconds.

        Returns:
            The effects: a `Finish` or an append; empty while the call waits.
        """
        local = calls.LocalCall(call, self._new_claim_id(), now)
        refusal = self._limits.key_validity.check(local.key, unix_seconds)
        refusal = refusal or self._limits.key_validity.check_age(
            local.key, self._key_states.log_time
        )
        if refusal is not None:
            return [effects.Finish(call.request_id, refusal)]
        state = self._key_states.get(local.key)
        if state is not None:
            self._calls_by_claim[local.claim_id] = local
            return self._follow_holder(local, state, now)
        if not self._is_ready:
            return [
                call_results.refuse(
                    call,
                    outcomes.Reason.LOG_UNAVAILABLE,
                    "the node has not read the claims log yet",
                )
            ]
        if len(self._key_states) >= self._limits.keys_limit or self._commit.is_full:
            return [
                call_results.refuse(
                    call, outcomes.Reason.OVERLOADED, "too many claims are waiting", 1.0
                )
            ]
        self._claim(local, now)
        return self._take_append(now)

    def on_record(
        self, offset: int, appended_at: float, value: dict[str, Any], now: float
    ) -> list[effects.Effect]:
        """Apply the next record of the stream.

        Args:
            offset: Its offset; records must be passed in offset order without omissions.
            appended_at: When it was appended, Unix seconds by the log's clock.
            value: The encoded record.
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        record = records.decode(value)
        if record is None:
            return []
        self._commit.discard(_record_id(record))
        self._key_states.apply(appended_at, record, now)
        result: list[effects.Effect] = []
        if isinstance(record, records.Claim):
            local = self._calls_by_claim.get(record.claim_id)
            if local is not None and local.stage is calls.Stage.CLAIMING:
                result += self._on_read_back(local, appended_at, now)
        else:
            result += self._recheck_waiting(record.key, now)
        return [*result, *self._take_append(now)]

    def on_append_done(self, operation_id: str, now: float) -> list[effects.Effect]:
        """Handle an append that the log confirmed; claims take effect only when read back.

        Args:
            operation_id: Identifier of the append.
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        self._commit.on_done(operation_id)
        return self._take_append(now)

    def on_append_not_done(
        self, operation_id: str, now: float, retry_after_seconds: float
    ) -> list[effects.Effect]:
        """Handle an append that certainly had no effect.

        Args:
            operation_id: Identifier of the append.
            now: Loop time, seconds.
            retry_after_seconds: Time to wait before the next append, seconds.

        Returns:
            The effects.
        """
        self._commit.on_not_done(operation_id, now, retry_after_seconds)
        return self._take_append(now)

    def on_append_unknown(self, operation_id: str, now: float) -> list[effects.Effect]:
        """Handle an append whose result is unknown.

        Args:
            operation_id: Identifier of the append.
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        self._commit.on_unknown(operation_id, now)
        return self._take_append(now)

    def try_mark_sent(self, claim_id: str, now: float) -> bool:
        """Mark a call as sent, if its claim holds the key and may still be sent.

        Args:
            claim_id: Identifier of the call's claim.
            now: Loop time, read immediately before sending, seconds.

        Returns:
            Whether the call was marked and is to be sent now.
        """
        local = self._calls_by_claim.get(claim_id)
        if local is None or local.stage is not calls.Stage.HELD:
            return False
        if now >= self._send_deadline(local):
            return False
        local.stage = calls.Stage.SENT
        return True

    def on_not_sent(self, claim_id: str) -> None:
        """Undo `try_mark_sent`, because no connection was opened and nothing was sent.

        Args:
            claim_id: Identifier of the call's claim.
        """
        local = self._calls_by_claim.get(claim_id)
        if local is not None and local.stage is calls.Stage.SENT:
            local.stage = calls.Stage.HELD

    def withdraw(self, claim_id: str, reason: outcomes.Reason, now: float) -> list[effects.Effect]:
        """Withdraw a claim under which nothing was sent, and refuse its call.

        Args:
            claim_id: Identifier of the claim.
            reason: Why the call was not sent.
            now: Loop time, seconds.

        Returns:
            The effects; empty if the call was sent or waits for another claim.
        """
        local = self._calls_by_claim.get(claim_id)
        if local is None or local.stage not in (calls.Stage.HELD, calls.Stage.CLAIMING):
            return []
        del self._calls_by_claim[claim_id]
        if self._commit.discard(f"claim:{claim_id}") or local.stage is calls.Stage.HELD:
            self._enqueue(records.Withdrawal(claim_id, local.key, self._owner))
        detail = "nothing was sent for this request"
        finish = call_results.refuse(local.call, reason, detail, retry_after_seconds=1.0)
        return [finish, *self._take_append(now)]

    def on_response(
        self,
        claim_id: str,
        response: records.Response | None,
        now: float,
    ) -> list[effects.Effect]:
        """Record the outcome of a call that was sent, and send the result to its caller.

        Args:
            claim_id: Identifier of the call's claim.
            response: Response of the plain service; `None` if none arrived.
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        local = self._calls_by_claim.pop(claim_id, None)
        if local is None:
            return []
        self._enqueue(records.Outcome(claim_id, local.key, self._owner, response))
        finish = call_results.from_response(local.call, response)
        return [*([] if local.is_finished else [finish]), *self._take_append(now)]

    def tick(self, now: float) -> list[effects.Effect]:
        """End calls that are past their time limits, and append queued records.

        Args:
            now: Loop time, seconds.

        Returns:
            The effects.
        """
        result: list[effects.Effect] = []
        for local in list(self._calls_by_claim.values()):
            is_unsent = local.stage in (calls.Stage.CLAIMING, calls.Stage.HELD)
            if is_unsent and now >= self._send_deadline(local):
                reason = outcomes.Reason.LOG_UNAVAILABLE
                result += self.withdraw(local.claim_id, reason, now)
            elif local.stage is calls.Stage.WAITING:
                result += self._check_waiting(local, now)
            elif now >= local.call.deadline and not local.is_finished:
                local.is_finished = True
                result.append(call_results.may_have_run(local.call, outcomes.Reason.DEADLINE))
        return [*result, *self._take_append(now)]

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
        self._enqueue(claim)

    def _new_claim_id(self) -> str:
        """Return a new claim identifier."""
        return identifiers.new_id(self._rng, "claim")

    def _send_deadline(self, local: calls.LocalCall) -> float:
        """Return the loop time at or after which a call must not be sent, seconds."""
        return min(local.call.deadline, local.began_at + self._limits.claim_seconds)

    def _on_read_back(
        self, local: calls.LocalCall, appended_at: float, now: float
    ) -> list[effects.Effect]:
        """Handle the claim of one of this node's calls when it is first read back."""
        state = self._key_states.get(local.key)
        if state is None or state.holder is None:
            refusal = self._key_states.check_key(local.key, appended_at)
            del self._calls_by_claim[local.claim_id]
            detail = "the claim was invalid when the log appended it"
            fallback = outcomes.Refused(outcomes.Reason.LOG_UNAVAILABLE, detail)
            return [effects.Finish(local.call.request_id, refusal or fallback)]
        if state.holder.claim_id != local.claim_id:
            return self._follow_holder(local, state, now)
        local.stage = calls.Stage.HELD
        return [effects.Send(local.claim_id, local.call)]

    def _follow_holder(
        self, local: calls.LocalCall, state: key_states.KeyState, now: float
    ) -> list[effects.Effect]:
        """End a call whose key another claim holds, or make it wait for that claim's outcome."""
        holder = state.holder
        if holder is not None and holder.call_hash != calls.hash_call(local.call):
            del self._calls_by_claim[local.claim_id]
            detail = "the key was used for another call"
            return [call_results.refuse(local.call, outcomes.Reason.KEY_REUSED, detail)]
        local.stage = calls.Stage.WAITING
        return self._check_waiting(local, now)

    def _check_waiting(self, local: calls.LocalCall, now: float) -> list[effects.Effect]:
        """End a waiting call whose outcome is known or overdue, or claim a withdrawn key again."""
        state = self._key_states.get(local.key)
        if state is None and self._key_states.is_known(local.key):
            return self._claim_again(local, now)
        finish = call_results.resolve_waiting(local.call, state, now)
        if finish is None:
            return []
        del self._calls_by_claim[local.claim_id]
        return [finish]

    def _claim_again(self, local: calls.LocalCall, now: float) -> list[effects.Effect]:
        """Claim a key again whose holding claim was withdrawn; another node may claim it first."""
        del self._calls_by_claim[local.claim_id]
        self._claim(calls.LocalCall(local.call, self._new_claim_id(), now), now)
        return []

    def _recheck_waiting(self, key: keys.ClaimKey, now: float) -> list[effects.Effect]:
        """Recheck the calls that wait for a key after one of its records was read."""
        result: list[effects.Effect] = []
        for local in list(self._calls_by_claim.values()):
            if local.stage is calls.Stage.WAITING and local.key == key:
                result += self._check_waiting(local, now)
        return result

    def _enqueue(self, record: records.Record) -> None:
        """Queue a record for the next append."""
        self._commit.add(_record_id(record), records.encode(record))

    def _take_append(self, now: float) -> list[effects.Effect]:
        """Return the effect of the next append, if one is due."""
        batch = self._commit.take(now)
        if batch is None:
            return []
        return [effects.Append(batch.operation_id, tuple(batch.values_by_record_id.values()))]


def _record_id(record: records.Record) -> str:
    """Return the identifier of a record in the append queue, `<kind>:<claim id>`."""
    return f"{type(record).__name__.lower()}:{record.claim_id}"

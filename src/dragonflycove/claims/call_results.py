"""Results that callers get for calls that are not idempotent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.claims import effects
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.claims import key_states, records
    from dragonflycove.values import requests

RETRY_AFTER_SECONDS = 1.0
"""Retry-after of failed calls whose outcome may become known, seconds."""


def refuse(
    call: requests.ServiceCall,
    reason: outcomes.Reason,
    detail: str,
    retry_after_seconds: float | None = None,
) -> effects.Finish:
    """Refuse a call that this node has not sent and will not send.

    Args:
        call: The call.
        reason: Reason of the refusal.
        detail: One sentence for the caller.
        retry_after_seconds: Retry-after, seconds; `None` if a retry will not help.

    Returns:
        The effect that ends the call.
    """
    refused = outcomes.Refused(reason, detail, retry_after_seconds)
    return effects.Finish(call.request_id, refused)


def may_have_run(call: requests.ServiceCall, reason: outcomes.Reason) -> effects.Finish:
    """Fail a call that this or another node may have sent, and whose outcome is unknown.

    Args:
        call: The call.
        reason: Reason of the failure.

    Returns:
        The effect that ends the call.
    """
    detail = "the call may have run; resend it with the same key"
    ran = outcomes.Execution.MAY_HAVE_RUN
    failed = outcomes.Failed(reason, detail, ran, RETRY_AFTER_SECONDS)
    return effects.Finish(call.request_id, failed)


def from_response(call: requests.ServiceCall, response: records.Response | None) -> effects.Finish:
    """End a call that was sent.

    Args:
        call: The call.
        response: Response of the plain service; `None` if none arrived.

    Returns:
        The effect that ends the call.
    """
    if response is None:
        return may_have_run(call, outcomes.Reason.OUTCOME_UNKNOWN)
    return effects.Finish(call.request_id, outcomes.Answered(response.status), response)


def resolve_waiting(
    call: requests.ServiceCall, state: key_states.KeyState | None, now: float
) -> effects.Finish | None:
    """End a call whose key another claim holds, once that claim's outcome is known or overdue.

    Args:
        call: The call.
        state: State of the key; `None` if the key has expired and its state was dropped.
        now: Loop time, seconds.

    Returns:
        The effect that ends the call, or `None` to keep waiting.
    """
    if state is None:
        return may_have_run(call, outcomes.Reason.OUTCOME_UNKNOWN)
    if state.outcome is not None:
        return from_response(call, state.outcome.answer)
    if state.is_overdue(now):
        return may_have_run(call, outcomes.Reason.OUTCOME_UNKNOWN)
    if now >= call.deadline:
        return may_have_run(call, outcomes.Reason.ALREADY_RUNNING)
    return None

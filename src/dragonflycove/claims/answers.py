"""What callers are told about calls that are not idempotent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dragonflycove.claims import effects
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.claims import key_book, records
    from dragonflycove.values import requests

RETRY_AFTER_SECONDS = 1.0
"""When to come back after an answer that may get better soon, seconds."""


def refuse(
    call: requests.ServiceCall,
    reason: outcomes.Reason,
    detail: str,
    retry_after_seconds: float | None = None,
) -> effects.Finish:
    """Return the end of a call for which this node sent nothing and will not.

    Args:
        call: The call.
        reason: Why.
        detail: One sentence for the caller.
        retry_after_seconds: When to come back, if that is of use.

    Returns:
        The effect.
    """
    refused = outcomes.Refused(reason, detail, retry_after_seconds)
    return effects.Finish(call.request_id, refused)


def may_have_run(call: requests.ServiceCall, reason: outcomes.Reason) -> effects.Finish:
    """Return the end of a call that was sent, here or elsewhere, with its outcome not known.

    Args:
        call: The call.
        reason: Why.

    Returns:
        The effect.
    """
    detail = "the call may have run; ask again with the same key"
    ran = outcomes.Ran.MAY_HAVE_RUN
    failed = outcomes.Failed(reason, detail, ran, RETRY_AFTER_SECONDS)
    return effects.Finish(call.request_id, failed)


def from_plain(call: requests.ServiceCall, answer: records.Response | None) -> effects.Finish:
    """Return the end of a call that was sent.

    Args:
        call: The call.
        answer: The plain service's answer; `None` where none came.

    Returns:
        The effect.
    """
    if answer is None:
        return may_have_run(call, outcomes.Reason.OUTCOME_UNKNOWN)
    return effects.Finish(call.request_id, outcomes.Answered(answer.status), answer)


def answer_waiting(
    call: requests.ServiceCall, state: key_book.KeyState | None, now: float
) -> effects.Finish | None:
    """Return the end of a call whose key another claim holds, once it can be told.

    Args:
        call: The call.
        state: State of the key; `None` where the key is too old to be remembered.
        now: Time of the loop's clock, seconds.

    Returns:
        The effect, or `None` to wait on.
    """
    if state is None:
        return may_have_run(call, outcomes.Reason.OUTCOME_UNKNOWN)
    if state.outcome is not None:
        return from_plain(call, state.outcome.answer)
    if state.is_overdue(now):
        return may_have_run(call, outcomes.Reason.OUTCOME_UNKNOWN)
    if now >= call.deadline:
        return may_have_run(call, outcomes.Reason.ALREADY_RUNNING)
    return None

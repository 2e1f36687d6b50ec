"""HTTP responses for refused and failed requests."""

from __future__ import annotations

import functools
import math

from starlette import responses

from dragonflycove.values import outcomes


@functools.singledispatch
def error_body(outcome: object) -> dict[str, object]:
    """Return the JSON body that reports a refusal or failure to the caller.

    Args:
        outcome: `Refused` or `Failed`.

    Returns:
        An object with the single key `error`.
    """
    raise TypeError(f"no error body for {outcome!r}")


@error_body.register
def _refused_body(outcome: outcomes.Refused) -> dict[str, object]:
    return _build_body(outcome.reason, outcome.detail, outcomes.Execution.NOT_RUN, outcome)


@error_body.register
def _failed_body(outcome: outcomes.Failed) -> dict[str, object]:
    return _build_body(outcome.reason, outcome.detail, outcome.ran, outcome)


def _build_body(
    reason: outcomes.Reason,
    detail: str,
    ran: outcomes.Execution,
    outcome: outcomes.Refused | outcomes.Failed,
) -> dict[str, object]:
    error: dict[str, object] = {
        "message": detail,
        "type": "refused" if isinstance(outcome, outcomes.Refused) else "failed",
        "code": reason.value,
        "ran": ran.value,
    }
    if outcome.retry_after_seconds is not None:
        error["retry_after_seconds"] = outcome.retry_after_seconds
    if isinstance(outcome, outcomes.Refused) and outcome.address is not None:
        error["address"] = outcome.address
    return {"error": error}


def to_response(outcome: outcomes.Refused | outcomes.Failed) -> responses.Response:
    """Return the HTTP response for a refusal or failure.

    Args:
        outcome: The refusal or failure.

    Returns:
        The response, with `Retry-After`, rounded up to seconds, if the outcome has a retry-after.
    """
    headers = {}
    if outcome.retry_after_seconds is not None:
        headers["Retry-After"] = str(math.ceil(outcome.retry_after_seconds))
    if isinstance(outcome, outcomes.Refused) and outcome.address is not None:
        headers["X-Other-Address"] = outcome.address
    status = outcomes.STATUS_BY_REASON[outcome.reason]
    return responses.JSONResponse(error_body(outcome), status, headers)

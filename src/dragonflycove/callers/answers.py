"""HTTP answers for outcomes."""

from __future__ import annotations

import functools
import math

from starlette import responses

from dragonflycove.values import outcomes


@functools.singledispatch
def describe(outcome: object) -> dict[str, object]:
    """Return the JSON body that tells a caller of an outcome other than an answer.

    Args:
        outcome: `Refused` or `Failed`.

    Returns:
        An object with the one key `error`.
    """
    raise TypeError(f"no description for {outcome!r}")


@describe.register
def _describe_refused(outcome: outcomes.Refused) -> dict[str, object]:
    return _error(outcome.reason, outcome.detail, outcomes.Execution.NOT_RUN, outcome)


@describe.register
def _describe_failed(outcome: outcomes.Failed) -> dict[str, object]:
    return _error(outcome.reason, outcome.detail, outcome.ran, outcome)


def _error(
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
        outcome: The outcome.

    Returns:
        The response, with `Retry-After` where it is of use to come back.
    """
    headers = {}
    if outcome.retry_after_seconds is not None:
        headers["Retry-After"] = str(math.ceil(outcome.retry_after_seconds))
    if isinstance(outcome, outcomes.Refused) and outcome.address is not None:
        headers["X-Other-Address"] = outcome.address
    status = outcomes.STATUS_BY_REASON[outcome.reason]
    return responses.JSONResponse(describe(outcome), status, headers)

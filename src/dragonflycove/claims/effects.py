"""Effects that the claim table returns for its task to carry out."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.claims import records
    from dragonflycove.values import outcomes, requests


class Append(NamedTuple):
    """Append records to the stream in one append, and report its result to the table."""

    operation_id: str
    """Identifier of the append."""

    records: tuple[dict[str, Any], ...]
    """Encoded records, in order."""


class Send(NamedTuple):
    """Send a call, if `ClaimTable.try_mark_sent` returns true immediately before."""

    claim_id: str
    """Identifier of the claim that holds the call's key."""

    call: requests.ServiceCall
    """The call to send."""


class Finish(NamedTuple):
    """End a call and send its result to the caller."""

    request_id: str
    """Request identifier of the call passed to `ClaimTable.begin`."""

    outcome: outcomes.Outcome
    """Outcome of the call."""

    response: records.Response | None = None
    """Response of the plain service; `None` if the outcome is not `Answered`."""


Effect = Append | Send | Finish
"""Any effect of the table."""

"""What the claim table asks of its task."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.claims import records
    from dragonflycove.values import outcomes, requests


class Append(NamedTuple):
    """Append records to the stream in one append, and report what came of it."""

    operation_id: str
    """Identifier of the append."""

    records: tuple[dict[str, Any], ...]
    """Wire forms of the records, in order."""


class Send(NamedTuple):
    """Send the call, if `ClaimTable.may_send` still says so immediately before."""

    claim_id: str
    """The claim that holds the call's key."""

    call: requests.ServiceCall
    """The call."""


class Finish(NamedTuple):
    """A call is over."""

    request_id: str
    """The call's request, as handed to `ClaimTable.begin`."""

    outcome: outcomes.Outcome
    """What became of it."""

    response: records.Response | None = None
    """The plain service's answer, where there is one."""


Effect = Append | Send | Finish
"""Everything that the table asks for."""

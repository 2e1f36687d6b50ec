"""The calls that a node handles itself, and what it knows of each."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from dragonflycove.claims import keys
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from dragonflycove.values import requests


class Stage(enum.Enum):
    """How far a call has come."""

    CLAIMING = "claiming"
    """Its claim was not read back yet."""

    HELD = "held"
    """Its claim was read back as the first, and nothing was sent."""

    SENT = "sent"
    """It was sent, or may have been."""

    WAITING = "waiting"
    """Another claim holds its key."""


class LocalCall:
    """One call.

    Args:
        call: The call.
        claim_id: Identifier of the claim made for it.
        now: Time of the loop's clock, seconds.
    """

    def __init__(self, call: requests.ServiceCall, claim_id: str, now: float) -> None:
        self.call = call
        self.claim_id = claim_id
        self.key = keys.ClaimKey.from_call(call)
        self.stage = Stage.CLAIMING
        self.began_at = now
        self.is_finished = False
        """Whether its caller was answered, which may be before the send has ended."""


def hash_call(call: requests.ServiceCall) -> str:
    """Return the identity of what a call asks for.

    Args:
        call: The call.

    Returns:
        A hash of method, path and body.
    """
    return f"{identifiers.stable_hash(call.method, call.path, call.body_hash):016x}"

"""Calls that are not idempotent received by this node, and the stage of each."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from dragonflycove.claims import keys
from dragonflycove.values import identifiers

if TYPE_CHECKING:
    from dragonflycove.values import requests


class Stage(enum.Enum):
    """Stage of a call."""

    CLAIMING = "claiming"
    """Its claim was not yet read back from the log."""

    HELD = "held"
    """Its claim was read back and holds the key; the call was not sent."""

    SENT = "sent"
    """It is being sent or was sent."""

    WAITING = "waiting"
    """Another claim holds its key; it waits for the outcome of that claim's call."""


class LocalCall:
    """A call received by this node.

    Args:
        call: The call.
        claim_id: Identifier of the claim for it.
        now: Loop time at which the claim is made, seconds.
    """

    def __init__(self, call: requests.ServiceCall, claim_id: str, now: float) -> None:
        self.call = call
        """The call."""
        self.claim_id = claim_id
        """Identifier of this node's claim for it."""
        self.key = keys.ClaimKey.from_call(call)
        """Its key, qualified by organisation and service."""
        self.stage = Stage.CLAIMING
        """Current stage of the call."""
        self.began_at = now
        """Loop time at which the claim was made, seconds."""
        self.is_finished = False
        """Whether its caller got a result, at the deadline even before the service responds."""


def hash_call(call: requests.ServiceCall) -> str:
    """Hash a call, to detect a key that is reused for a different call.

    Args:
        call: The call.

    Returns:
        Hash of method, path and body, 16 hexadecimal digits.
    """
    return f"{identifiers.stable_hash(call.method, call.path, call.body_hash):016x}"

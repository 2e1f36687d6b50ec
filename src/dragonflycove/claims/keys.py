"""The caller's key of a call that is not idempotent: `<unix seconds>-<random>`.

The key carries the time at which the caller made it, so that any node can refuse an old key
without remembering it.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.values import requests

_FORMAT = re.compile(r"(?P<seconds>[0-9]{1,12})(\.[0-9]{1,6})?-[A-Za-z0-9_.-]{8,128}")


class ClaimKey(NamedTuple):
    """What a claim is about."""

    organisation: str
    """Name of the organisation whose key it is."""

    service: str
    """Name of the plain service."""

    key: str
    """The caller's key."""

    @classmethod
    def from_call(cls, call: requests.ServiceCall) -> ClaimKey:
        """Return the key of a call.

        Args:
            call: The call.

        Returns:
            The key, which no other organisation or service shares.
        """
        return cls(call.organisation, call.service, call.idempotency_key)

    @property
    def created_at(self) -> float | None:
        """Unix time that the key carries, seconds; `None` where the format is wrong."""
        match = _FORMAT.fullmatch(self.key)
        return None if match is None else float(match["seconds"])


class KeyValidity(NamedTuple):
    """For how long a key is good."""

    lifetime_seconds: float
    """Time after its creation for which a key is good, seconds."""

    future_seconds: float
    """How far a key's time may lie in the future, seconds."""

    def check(self, key: ClaimKey, unix_seconds: float) -> outcomes.Refused | None:
        """Check a key at a time.

        Args:
            key: The key.
            unix_seconds: The time.

        Returns:
            The refusal, or `None` if the key is good.
        """
        if not key.key:
            detail = "a call that is not idempotent needs a key"
            return outcomes.Refused(outcomes.Reason.KEY_MISSING, detail)
        created_at = key.created_at
        if created_at is None:
            detail = "the key's form is <unix seconds>-<random of 8 to 128 characters>"
            return outcomes.Refused(outcomes.Reason.BAD_REQUEST, detail)
        if created_at > unix_seconds + self.future_seconds:
            detail = "the key's time lies in the future"
            return outcomes.Refused(outcomes.Reason.KEY_FROM_FUTURE, detail)
        return self.check_age(key, unix_seconds)

    def check_age(self, key: ClaimKey, unix_seconds: float) -> outcomes.Refused | None:
        """Check at a time that a key is not too old.

        Args:
            key: The key.
            unix_seconds: The time.

        Returns:
            The refusal, or `None` if the key is young enough.
        """
        created_at = key.created_at or 0.0
        if unix_seconds <= created_at + self.lifetime_seconds:
            return None
        detail = f"keys are good for {self.lifetime_seconds:g} s; nothing was sent now"
        return outcomes.Refused(outcomes.Reason.KEY_EXPIRED, detail)

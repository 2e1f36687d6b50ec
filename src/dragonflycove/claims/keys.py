"""Idempotency keys of calls that are not idempotent: `<unix seconds>-<random>`.

The key carries the time at which the caller created it, so that any node can refuse an expired
key without storing it.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.values import requests

_FORMAT = re.compile(r"(?P<seconds>[0-9]{1,12})(\.[0-9]{1,6})?-[A-Za-z0-9_.-]{8,128}")


class ClaimKey(NamedTuple):
    """A caller's key, qualified by organisation and service; the subject of a claim."""

    organisation: str
    """Name of the organisation that sent the call."""

    service: str
    """Name of the plain service."""

    key: str
    """The caller's idempotency key."""

    @classmethod
    def from_call(cls, call: requests.ServiceCall) -> ClaimKey:
        """Return the key of a call.

        Args:
            call: The call.

        Returns:
            The key, distinct from equal keys of other organisations and services.
        """
        return cls(call.organisation, call.service, call.idempotency_key)

    @property
    def created_at(self) -> float | None:
        """Creation time in the key, Unix seconds; `None` if the key is malformed."""
        match = _FORMAT.fullmatch(self.key)
        return None if match is None else float(match["seconds"])


class KeyValidity(NamedTuple):
    """Period in which a key is valid."""

    lifetime_seconds: float
    """Time after a key's creation for which it is valid, seconds."""

    future_seconds: float
    """Maximum time by which a key's creation time may lie in the future, seconds."""

    def check(self, key: ClaimKey, unix_seconds: float) -> outcomes.Refused | None:
        """Check that a key is present, well-formed and valid at a time.

        Args:
            key: The key.
            unix_seconds: The time, Unix seconds.

        Returns:
            The refusal, or `None` if the key is valid.
        """
        if not key.key:
            detail = "a call that is not idempotent needs a key"
            return outcomes.Refused(outcomes.Reason.KEY_MISSING, detail)
        created_at = key.created_at
        if created_at is None:
            detail = "the key must have the form <unix seconds>-<random of 8 to 128 characters>"
            return outcomes.Refused(outcomes.Reason.BAD_REQUEST, detail)
        if created_at > unix_seconds + self.future_seconds:
            detail = "the key's creation time lies in the future"
            return outcomes.Refused(outcomes.Reason.KEY_FROM_FUTURE, detail)
        return self.check_age(key, unix_seconds)

    def check_age(self, key: ClaimKey, unix_seconds: float) -> outcomes.Refused | None:
        """Check that a key has not expired at a time.

        Args:
            key: The key.
            unix_seconds: The time, Unix seconds.

        Returns:
            The refusal, or `None` if the key has not expired.
        """
        created_at = key.created_at or 0.0
        if unix_seconds <= created_at + self.lifetime_seconds:
            return None
        detail = (
            f"keys are valid for {self.lifetime_seconds:g} s; nothing was sent for this request"
        )
        return outcomes.Refused(outcomes.Reason.KEY_EXPIRED, detail)

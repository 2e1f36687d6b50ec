"""Time limits and sizes of the claim protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.claims import keys


class ClaimLimits(NamedTuple):
    """Time limits and sizes of the claim protocol."""

    key_validity: keys.KeyValidity
    """Period in which keys are valid."""

    retention_seconds: float
    """Time for which the log retains records, seconds."""

    claim_seconds: float
    """Time after a claim is made within which its call may be sent, seconds."""

    outcome_seconds: float
    """Maximum time for which other nodes wait for the outcome of a claim, seconds."""

    keys_limit: int
    """Number of known keys at which a node makes no new claims."""

    def check(self) -> None:
        """Check that keys expire before the log drops their claims.

        Otherwise a key could be claimed, and its call run, a second time.

        Raises:
            ValueError: If a key could still be valid after the log has dropped its claim.
        """
        validity = self.key_validity
        needed = validity.lifetime_seconds + validity.future_seconds + self.claim_seconds
        if needed > self.retention_seconds:
            raise ValueError(f"the log must keep claims for {needed:g} s")

"""Bounds of the claim protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.claims import keys


class ClaimLimits(NamedTuple):
    """Bounds of the claim protocol."""

    key_validity: keys.KeyValidity
    """For how long keys are good."""

    retention_seconds: float
    """Time for which the log keeps records, seconds."""

    claim_seconds: float
    """Time after a call's arrival within which its claim may lead to a send, seconds."""

    outcome_seconds: float
    """Longest time for which others wait for the outcome of a claim, seconds."""

    keys_limit: int
    """Keys known at a node above which it claims no further ones."""

    def check(self) -> None:
        """Check that keys die before their claims leave the log.

        Raises:
            ValueError: If a key could outlive its claim.
        """
        rule = self.key_validity
        needed = rule.lifetime_seconds + rule.future_seconds + self.claim_seconds
        if needed > self.retention_seconds:
            raise ValueError(f"the log must keep claims for {needed:g} s")

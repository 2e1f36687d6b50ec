"""The routing policies that can be selected."""

from __future__ import annotations

import enum


class Policy(enum.Enum):
    """How backend servers are chosen and shared between length classes."""

    ROUND_ROBIN = "round_robin"
    """Each request to the next server; no priorities, no early refusal."""

    LEAST_IN_FLIGHT = "least_in_flight"
    """To the server with the fewest requests of this node; no priorities, no early refusal."""

    STATIC_PARTITION = "static_partition"
    """Some servers take only long prompts, the others only the rest."""

    PRIORITIES_ONLY = "priorities_only"
    """Every server takes every prompt; short ones have the higher engine priority."""

    BORROWING = "borrowing"
    """Long prompts have servers of their own, borrow idle ones, and give them back."""

    @property
    def is_baseline(self) -> bool:
        """Whether the policy uses neither estimates nor priorities."""
        return self in (Policy.ROUND_ROBIN, Policy.LEAST_IN_FLIGHT)

"""Routing policies."""

from __future__ import annotations

import enum


class Policy(enum.Enum):
    """How engines are chosen, and shared between length classes."""

    ROUND_ROBIN = "round_robin"
    """Each request goes to the next engine; no priorities, no refusal for overload."""

    LEAST_IN_FLIGHT = "least_in_flight"
    """Fewest requests of this node first; no priorities, no refusal for overload."""

    STATIC_PARTITION = "static_partition"
    """Some engines take only long prompts, the others take all other prompts."""

    PRIORITIES_ONLY = "priorities_only"
    """Every engine takes every prompt; short interactive ones have the higher priority."""

    BORROWING = "borrowing"
    """Engines are divided into pools; long prompts borrow idle engines and are preempted there."""

    @property
    def is_baseline(self) -> bool:
        """Whether the policy uses neither estimates nor priorities."""
        return self in (Policy.ROUND_ROBIN, Policy.LEAST_IN_FLIGHT)

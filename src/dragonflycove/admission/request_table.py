"""Admitted requests and the state of each."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from dragonflycove.routing import demands
from dragonflycove.values import requests

if TYPE_CHECKING:
    from dragonflycove.routing import policies


class RequestState(enum.Enum):
    """State of an admitted request."""

    QUEUED = "queued"
    """In the node's queue for its model."""
    RUNNING = "running"
    """Dispatched to an engine or a memory group."""
    ATTEMPT_FAILED = "broken"
    """Its attempt failed; the node's next call retries or ends it."""
    AWAITING_GROUP = "awaiting_group"
    """The node is reserving a memory group for it."""


class RequestEntry:
    """An admitted request with its state and its current attempt."""

    __slots__ = (
        "attempts",
        "demand",
        "first_token_at",
        "is_borrower",
        "is_preempted",
        "preemptions",
        "request",
        "dispatched_at",
        "servers",
        "state",
        "generated_tokens",
    )

    def __init__(self, request: requests.ModelRequest, demand: demands.Demand) -> None:
        """Create the entry of a queued request.

        Args:
            request: The request.
            demand: What it needs from a server.
        """
        self.request = request
        self.demand = demand
        self.state = RequestState.QUEUED
        self.servers: tuple[str, ...] = ()
        self.is_borrower = False
        self.is_preempted = False
        self.dispatched_at = 0.0
        self.first_token_at: float | None = None
        self.generated_tokens = 0
        self.preemptions = 0
        self.attempts = 0


class RequestTable:
    """The admitted requests of a node, indexed by identifier and by deadline."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.entries_by_id: dict[str, RequestEntry] = {}
        self.borrowers_by_id: dict[str, RequestEntry] = {}
        self.awaiting_group_ids: set[str] = set()
        self._deadlines: SortedList[tuple[float, str]] = SortedList()

    def add(self, entry: RequestEntry) -> None:
        """Add an admitted request.

        Args:
            entry: The request, not in the table yet.
        """
        self.entries_by_id[entry.request.request_id] = entry
        self._deadlines.add((entry.request.deadline, entry.request.request_id))

    def remove(self, entry: RequestEntry) -> None:
        """Remove a request that has ended.

        Args:
            entry: The request.
        """
        del self.entries_by_id[entry.request.request_id]
        self._deadlines.remove((entry.request.deadline, entry.request.request_id))

    def next_deadline(self) -> float:
        """Return the earliest deadline, seconds; infinite for an empty table."""
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def overdue(self, now: float) -> RequestEntry | None:
        """Return a request whose deadline has passed, if any.

        Args:
            now: Loop time, seconds.

        Returns:
            The one with the earliest deadline.
        """
        if not self._deadlines or self._deadlines[0][0] > now:
            return None
        return self.entries_by_id[self._deadlines[0][1]]

    def queued(self) -> list[RequestEntry]:
        """Return the queued requests, in the order of admission."""
        return [
            entry for entry in self.entries_by_id.values() if entry.state is RequestState.QUEUED
        ]


def demand_of(
    request: requests.ModelRequest, policy: policies.Policy, excluded: frozenset[str]
) -> demands.Demand:
    """Return what a request needs from a server.

    Short interactive prompts have engine priority 0, all others 1.

    Args:
        request: The request.
        policy: The policy; a baseline policy gives every request priority 0.
        excluded: Servers that must not be chosen.

    Returns:
        The demand.
    """
    length = request.length_class
    is_high_priority = length is requests.LengthClass.SHORT and (
        request.urgency is requests.Urgency.INTERACTIVE
    )
    return demands.Demand(
        request.model,
        request.prompt_tokens,
        request.prompt_tokens + request.max_tokens,
        0 if is_high_priority or policy.is_baseline else 1,
        request.prefix_hashes,
        length is requests.LengthClass.LONG,
        excluded,
    )

"""Requests as the placing decisions see them, and where they were placed."""

from __future__ import annotations

from typing import NamedTuple

# Messages between nodes are decoded by these types at run time.
from dragonflycove.fleet import catalog  # noqa: TC001

VALUE_BASE = 0.75
"""Worth of a prompt without its length, in the users' units of credit.

The users weigh kinds of requests by worth; over their sheets that is close to this line over length.
"""

VALUE_PER_TOKEN = 0.000105
"""Worth that each prompt token adds; see `VALUE_BASE`."""

MIN_LATENCY_TARGET_SECONDS = 0.001
"""Goal of a request whose goal has passed."""

DEFAULT_OUTPUT_TOKENS = 1_300
"""Output length assumed where the caller tells none; the mean of the users' sheets."""


class JobKey(NamedTuple):
    """Identifies a placed request in the fleet."""

    host: str
    """Host that took the request from its caller."""

    incarnation: int
    """Start of that host's process."""

    number: int
    """Number that the process gave the request."""


class Job(NamedTuple):
    """A request to place."""

    key: JobKey
    """Which request."""

    service: str
    """Service that runs it."""

    organisation: str
    """Organisation that sent it."""

    priority: int
    """Rank; 0 goes first."""

    prompt_tokens: int
    """Prompt length; 0 for a plain service."""

    output_tokens: int
    """Expected output length."""

    latency_target_seconds: float
    """Time to the first event or the answer that earns full credit, from now on."""

    gap_target_seconds: float
    """Longest pause between events that is in time; 0 for a plain service."""

    deadline_seconds: float
    """Time that is left for the whole answer."""

    zone: str
    """Availability zone of the node that sends it."""

    excluded: tuple[str, ...]
    """Ids of servers that must not get it."""

    fingerprint: int
    """Hash of what makes the request itself, for finding requests that crash servers."""

    next_event_deadline_seconds: float
    """Time that is left for the next event; after it the caller is about to give up."""

    has_started: bool
    """Whether the caller already has events of the answer."""

    @property
    def is_late(self) -> bool:
        """Whether the goal has been missed already."""
        return self.latency_target_seconds <= MIN_LATENCY_TARGET_SECONDS

    @property
    def value(self) -> float:
        """Worth of the request, in the users' units of credit."""
        return VALUE_BASE + VALUE_PER_TOKEN * self.prompt_tokens

    @property
    def kv_cache_tokens(self) -> int:
        """Tokens that the request needs in engine memory."""
        return self.prompt_tokens + self.output_tokens


class Part(NamedTuple):
    """One engine's part in reading a prompt."""

    server: catalog.BackendServer
    """The engine."""

    reserved_tokens: int
    """Memory reserved there for the prompt; 0 for none."""


class Grant(NamedTuple):
    """Where a request goes."""

    lead: catalog.BackendServer
    """Server that gets the request."""

    helpers: tuple[Part, ...]
    """Engines that read parts of the prompt, the lead left out."""

    first_event_seconds: float
    """Predicted time to the first event or the answer."""


class Placement(NamedTuple):
    """A request that is counted on servers."""

    job: Job
    """The request."""

    grant: Grant
    """Where it was placed."""

    placed_at: float
    """Loop time at which that was."""

    is_prompt: bool
    """Whether its servers are engines."""

    @property
    def instances(self) -> tuple[catalog.Instance, ...]:
        """All servers that take part, the first one first."""
        helpers = (part.server.instance for part in self.grant.helpers)
        return (self.grant.lead.instance, *helpers)


class Refusal(NamedTuple):
    """Why a request is not placed, and when to come back."""

    reason: str
    """Reason, in snake case."""

    retry_after_seconds: float
    """When there will be room."""


class Wait(NamedTuple):
    """The request waits for room."""

    service_seconds: float
    """Predicted time from its placement to its first event or answer."""

    is_full: bool
    """Whether no server of the service has a free place for any request."""

"""Input and results of placement: jobs, grants, waits and refusals."""

from __future__ import annotations

from typing import NamedTuple

# Messages between nodes are decoded by these types at run time.
from dragonflycove.fleet import catalog  # noqa: TC001

BASE_VALUE = 0.75
"""Value of a response to a prompt without tokens; the value is relative, without a unit.

The service-level specification gives each kind of request a value, which is about linear in the
prompt's length.
"""

VALUE_PER_TOKEN = 0.000105
"""Value added by each prompt token; see `BASE_VALUE`."""

MIN_LATENCY_TARGET_SECONDS = 0.001
"""Lower limit of a request's latency target; a request at this limit has missed its target."""

DEFAULT_OUTPUT_TOKENS = 1_300
"""Output length if not given; the mean over the request kinds of the platform's specification."""


CRASHES_SERVERS = "crashes_servers"
"""Reason of the refusal of a request that has crashed too many servers."""


SERVER_LIMIT = "server_limit"
"""Reason of the refusal of a request because all servers of its service have rate limits."""


ORGANISATION_SHARE = "organisation_share"
"""Reason of the refusal of a request whose organisation has its share of the queue's places."""


SERVERS_REST = "servers_rest"
"""Reason of the refusal of a request because all servers of its service want rest."""


OVERLOAD = "overload"
"""Reason of the refusal of a request that would be served too late in an overload."""


BOOKED_RETURN = "booked_return"
"""Reason of the refusal of a request for which capacity is booked at its retry-after."""


EXACT_RETURN_REASONS = frozenset(
    {SERVER_LIMIT, SERVERS_REST, OVERLOAD, ORGANISATION_SHARE, BOOKED_RETURN}
)
"""Reasons of refusals whose retry-after is passed on unchanged: it is booked, stated, or spread."""


class JobKey(NamedTuple):
    """Identifies one placement attempt of a request in the fleet."""

    host: str
    """Host of the node that received the request from its caller."""

    incarnation: int
    """Incarnation of that node's process."""

    number: int
    """Number that the process gave this placement attempt."""


class Job(NamedTuple):
    """A request to place."""

    key: JobKey
    """Identifies the request."""

    service: str
    """Service that runs it."""

    organisation: str
    """Organisation that sent it."""

    priority: int
    """Priority; 0 is the highest and is placed first."""

    prompt_tokens: int
    """Prompt length; 0 for a plain service."""

    output_tokens: int
    """Expected output length."""

    latency_target_seconds: float
    """Time left until the first event, or a plain response, misses its latency target."""

    gap_target_seconds: float
    """Target for the gap between two events; 0 for a plain service."""

    deadline_seconds: float
    """Time left for the complete response."""

    zone: str
    """Availability zone of the node that sends it to its server."""

    excluded: tuple[str, ...]
    """Ids of servers that must not get it, such as those of failed attempts."""

    fingerprint: int
    """Hash of organisation and content, equal for all resends; detects crashing requests."""

    next_event_deadline_seconds: float
    """Time left for the next event; after it the caller is expected to abandon the request."""

    has_started: bool
    """Whether the caller has received events of the response."""

    @property
    def has_missed_target(self) -> bool:
        """Whether the latency target has already been missed."""
        return self.latency_target_seconds <= MIN_LATENCY_TARGET_SECONDS

    @property
    def value(self) -> float:
        """Value of a response within the latency target; see `BASE_VALUE`."""
        return BASE_VALUE + VALUE_PER_TOKEN * self.prompt_tokens

    @property
    def kv_cache_tokens(self) -> int:
        """KV cache that the request needs, for prompt and output."""
        return self.prompt_tokens + self.output_tokens


class HelperEngine(NamedTuple):
    """An engine that prefills a part of another engine's prompt."""

    server: catalog.BackendServer
    """The engine."""

    reserved_tokens: int
    """KV cache reserved there for the prompt; 0 for none."""


class Grant(NamedTuple):
    """The servers that a request is placed on."""

    lead: catalog.BackendServer
    """Server that gets the request and responds."""

    helpers: tuple[HelperEngine, ...]
    """Other engines that prefill parts of the prompt."""

    first_event_seconds: float
    """Predicted time to the first event, or to a plain response."""


class Placement(NamedTuple):
    """A request that is counted towards its servers' load."""

    job: Job
    """The request."""

    grant: Grant
    """The servers that it was placed on."""

    placed_at: float
    """Loop time of the placement."""

    is_prompt: bool
    """Whether its servers are engines rather than plain servers."""

    @property
    def instances(self) -> tuple[catalog.Instance, ...]:
        """The lead's instance, followed by the helpers' instances."""
        helpers = (part.server.instance for part in self.grant.helpers)
        return (self.grant.lead.instance, *helpers)


class Refusal(NamedTuple):
    """A request that is not placed."""

    reason: str
    """Reason in snake case, for the response and the log."""

    retry_after_seconds: float
    """Time after which capacity is expected."""


class Wait(NamedTuple):
    """A request that has to wait for capacity."""

    service_seconds: float
    """Predicted time from its placement to its first event, or to a plain response."""

    is_full: bool
    """Whether no server of the service has a free slot for any request."""

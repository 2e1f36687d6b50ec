"""The task that owns the dispatcher: admits requests and assigns them to backend servers."""

from __future__ import annotations

import asyncio
import collections
import functools
from typing import TYPE_CHECKING, NamedTuple, Protocol

from dragonflycove.admission import dispatcher as dispatching
from dragonflycove.admission import effects as dispatch_effects
from dragonflycove.node import tasks

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dragonflycove.configuration import schema
    from dragonflycove.routing import digests, load_view, prefix_map
    from dragonflycove.values import outcomes, requests

LIMITS_LIFETIME_SECONDS = 1.0
"""Time for which this node's limits at the servers count unless they are renewed, seconds."""


class Assigned(NamedTuple):
    """Tells a request's task to run it at a backend server."""

    server_id: str
    """Identifier of the backend server."""

    priority: int
    """Priority at the engine; a lower value goes first."""

    group: tuple[str, ...] = ()
    """Members of the memory group, the lead first; empty for a single engine."""


class Denied(NamedTuple):
    """Tells a request's task that it is refused or failed."""

    outcome: outcomes.Refused | outcomes.Failed
    """The final answer."""


class Preempted(NamedTuple):
    """Tells a request's task to give its engine back and wait for another."""

    server_id: str
    """The engine to leave."""


class GroupNeeded(NamedTuple):
    """Tells a request's task that it needs a memory group."""

    candidates: tuple[str, ...]
    """Engines that may take part."""


RequestNotice = Assigned | Denied | Preempted | GroupNeeded
"""What the dispatch task tells a request's task."""


class Receiver(Protocol):
    """Where the notices of one request go."""

    def post(self, message: RequestNotice) -> None:
        """Take a notice."""


class Submit(NamedTuple):
    """Offers a new request."""

    request: requests.ModelRequest
    """The request."""

    receiver: Receiver
    """Where its notices go."""

    admitted: asyncio.Future[outcomes.Refused | None]
    """Resolved at once: a refusal, or `None` when it is admitted."""


class Resubmit(NamedTuple):
    """Asks for another server for an admitted request."""

    request: requests.ModelRequest
    """The request."""

    excluded: frozenset[str]
    """Servers not to use."""

    reason: outcomes.Reason
    """Why the last attempt ended."""


class FirstToken(NamedTuple):
    """An attempt delivered its first token."""

    request_id: str
    """The request."""


class TokensDelivered(NamedTuple):
    """An attempt delivered more tokens."""

    request_id: str
    """The request."""

    token_count: int
    """Number of tokens."""


class AttemptFailed(NamedTuple):
    """An attempt at a server failed."""

    request_id: str
    """The request."""

    server_id: str
    """The server."""

    reason: outcomes.Reason
    """Why."""


class Finished(NamedTuple):
    """A request has its whole answer."""

    request_id: str
    """The request."""


class Withdrawn(NamedTuple):
    """A request ended otherwise and needs no server any more."""

    request_id: str
    """The request."""


class GroupReady(NamedTuple):
    """A memory group stands ready for a request."""

    request_id: str
    """The request."""

    servers: tuple[str, ...]
    """Members, the lead first."""


class Reported(NamedTuple):
    """An engine reported its load."""

    report: load_view.EngineReport
    """The report."""


class Configured(NamedTuple):
    """A configuration came into force."""

    configuration: schema.Configuration
    """The configuration."""


class Limited(NamedTuple):
    """This node's limits at the servers changed."""

    limits_by_server: Mapping[str, int]
    """Most requests of this node at each server."""

    computed_at: float
    """Time of the loop's clock at which they were computed, seconds."""


class CancelStarted(NamedTuple):
    """An attempt is being cancelled; its place at the server is not free yet."""

    server_id: str
    """The server."""


class CancelEnded(NamedTuple):
    """An attempt's cancellation is confirmed, or left to the reclaim of memory."""

    server_id: str
    """The server."""


class CacheChanged(NamedTuple):
    """Events of an engine's prefix cache were read."""

    server_id: str
    """The engine."""

    page: prefix_map.CachePage
    """The events."""


class OrganisationsShared(NamedTuple):
    """This node's share of the organisations' limits changed."""

    share: float
    """The share, from 0 to 1."""


class DigestWanted(NamedTuple):
    """Asks for a digest of this node's load."""

    take: Callable[[digests.PeerDigest], None]
    """Called with the digest."""


class DigestTaken(NamedTuple):
    """A peer's digest came."""

    digest: digests.PeerDigest
    """The digest."""


DispatchMessage = (
    Submit
    | Resubmit
    | FirstToken
    | TokensDelivered
    | AttemptFailed
    | Finished
    | Withdrawn
    | GroupReady
    | Reported
    | Configured
    | Limited
    | CancelStarted
    | CancelEnded
    | CacheChanged
    | OrganisationsShared
    | DigestWanted
    | DigestTaken
)
"""What the dispatch task takes."""


class DispatchTask:
    """Owns the dispatcher and carries out its effects by messages to requests' tasks."""

    def __init__(self, dispatcher: dispatching.Dispatcher) -> None:
        """Create the task.

        Args:
            dispatcher: The deciding object; this task is its only user.
        """
        self.mailbox: tasks.Mailbox[DispatchMessage] = tasks.Mailbox()
        """Messages to this task."""
        self._dispatcher = dispatcher
        self._receivers_by_request: dict[str, Receiver] = {}
        self._refusals_by_request: dict[str, outcomes.Refused] = {}
        self._limits_by_server: Mapping[str, int] = {}
        self._limited_at = float("-inf")
        self._cancels_by_server: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Take messages and clock ticks until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            wait = self._dispatcher.next_tick(loop.time()) - loop.time()
            message = await self.mailbox.receive(wait)
            now = loop.time()
            if message is not None:
                self._decide(message, now)
            else:
                self._carry_out(self._dispatcher.tick(now))

    def snapshot(self) -> dispatching.Snapshot:
        """Return the dispatcher's state for the status page."""
        return self._dispatcher.snapshot()

    @functools.singledispatchmethod
    def _decide(self, message: object, now: float) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_decide.register
    def _on_submit(self, message: Submit, now: float) -> None:
        request_id = message.request.request_id
        self._receivers_by_request[request_id] = message.receiver
        self._carry_out(self._dispatcher.submit(message.request, now))
        refusal = self._refusals_by_request.pop(request_id, None)
        if not message.admitted.done():
            message.admitted.set_result(refusal)

    @_decide.register
    def _on_resubmit(self, message: Resubmit, now: float) -> None:
        self._carry_out(
            self._dispatcher.resubmit(message.request, now, message.excluded, message.reason)
        )

    @_decide.register
    def _on_first_token(self, message: FirstToken, now: float) -> None:
        self._carry_out(self._dispatcher.on_first_token(message.request_id, now))

    @_decide.register
    def _on_tokens_delivered(self, message: TokensDelivered, now: float) -> None:
        self._carry_out(self._dispatcher.on_tokens(message.request_id, message.token_count, now))

    @_decide.register
    def _on_attempt_failed(self, message: AttemptFailed, now: float) -> None:
        self._carry_out(
            self._dispatcher.on_attempt_failed(
                message.request_id, message.server_id, message.reason, now
            )
        )

    @_decide.register
    def _on_finished(self, message: Finished, now: float) -> None:
        self._receivers_by_request.pop(message.request_id, None)
        self._carry_out(self._dispatcher.on_finished(message.request_id, now))

    @_decide.register
    def _on_withdrawn(self, message: Withdrawn, now: float) -> None:
        self._receivers_by_request.pop(message.request_id, None)
        self._carry_out(self._dispatcher.withdraw(message.request_id, now))

    @_decide.register
    def _on_group_ready(self, message: GroupReady, now: float) -> None:
        self._carry_out(self._dispatcher.on_group_ready(message.request_id, message.servers, now))

    @_decide.register
    def _on_reported(self, message: Reported, now: float) -> None:
        self._carry_out(self._dispatcher.on_report(message.report, now))

    @_decide.register
    def _on_configured(self, message: Configured, now: float) -> None:
        self._carry_out(self._dispatcher.set_configuration(message.configuration, now))

    @_decide.register
    def _on_limited(self, message: Limited, now: float) -> None:
        self._limits_by_server = message.limits_by_server
        self._limited_at = message.computed_at
        self._apply_limits(now)

    @_decide.register
    def _on_cancel_started(self, message: CancelStarted, now: float) -> None:
        self._cancels_by_server[message.server_id] += 1
        self._apply_limits(now)

    @_decide.register
    def _on_cancel_ended(self, message: CancelEnded, now: float) -> None:
        self._cancels_by_server[message.server_id] -= 1
        self._apply_limits(now)

    @_decide.register
    def _on_cache_changed(self, message: CacheChanged, now: float) -> None:
        self._carry_out(self._dispatcher.on_cache_events(message.server_id, message.page, now))

    @_decide.register
    def _on_organisations_shared(self, message: OrganisationsShared, now: float) -> None:
        self._dispatcher.set_organisation_share(message.share)

    @_decide.register
    def _on_digest_wanted(self, message: DigestWanted, now: float) -> None:
        message.take(self._dispatcher.digest(now))

    @_decide.register
    def _on_digest_taken(self, message: DigestTaken, now: float) -> None:
        self._carry_out(self._dispatcher.on_peer_digest(message.digest, now))

    def _apply_limits(self, now: float) -> None:
        """Hand on the limits, less the places of attempts that the servers may still run."""
        left = self._limited_at + LIMITS_LIFETIME_SECONDS - now
        free = {
            server_id: max(0, limit - self._cancels_by_server[server_id])
            for server_id, limit in self._limits_by_server.items()
        }
        self._carry_out(self._dispatcher.set_limits(free, now, left))

    def _carry_out(self, effects: list[dispatch_effects.Effect]) -> None:
        for effect in effects:
            self._perform(effect)

    def _notify(self, request_id: str, notice: RequestNotice) -> None:
        receiver = self._receivers_by_request.get(request_id)
        if receiver is not None:
            receiver.post(notice)

    @functools.singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"unknown effect {effect!r}")

    @_perform.register
    def _perform_dispatch(self, effect: dispatch_effects.Dispatch) -> None:
        notice = Assigned(effect.server_id, effect.engine_priority, effect.group)
        self._notify(effect.request.request_id, notice)

    @_perform.register
    def _perform_refuse(self, effect: dispatch_effects.Refuse) -> None:
        self._receivers_by_request.pop(effect.request_id, None)
        self._refusals_by_request[effect.request_id] = effect.outcome

    @_perform.register
    def _perform_fail(self, effect: dispatch_effects.Fail) -> None:
        self._notify(effect.request_id, Denied(effect.outcome))
        self._receivers_by_request.pop(effect.request_id, None)

    @_perform.register
    def _perform_preempt(self, effect: dispatch_effects.Preempt) -> None:
        self._notify(effect.request_id, Preempted(effect.server_id))

    @_perform.register
    def _perform_needs_group(self, effect: dispatch_effects.NeedsGroup) -> None:
        self._notify(effect.request.request_id, GroupNeeded(effect.candidates))

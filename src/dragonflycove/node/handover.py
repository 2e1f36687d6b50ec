"""Hands running streams over to another node before this one stops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.attempts import attempts as attempt_values
from dragonflycove.attempts import request_state_machine
from dragonflycove.callers import streams
from dragonflycove.node import model_request_task, request_messages
from dragonflycove.telemetry import logs
from dragonflycove.values import requests

if TYPE_CHECKING:
    from dragonflycove.node import node_context, peer_task
    from dragonflycove.values import identifiers

OFFER_SECONDS = 2.0
"""Longest wait for the other node to take a stream, seconds."""

CHECK_SECONDS = 0.02
"""Time between two looks at how far a taken stream has come, seconds."""

MOST_PROMPT_CHARACTERS = 60_000
"""Longest prompt that is handed over with its stream; a longer one stays with the caller."""


class StreamOffered(NamedTuple):
    """A stopping node offers a running stream."""

    attempt: str
    """Attempt under which it runs."""

    server_id: str
    """Engine that runs it."""

    base_index: int
    """Index in the caller's stream of the attempt's frame 0."""

    delivered: tuple[str, ...]
    """Frames before the attempt's own."""

    frames: int
    """Frames that the stopping node has taken in."""

    prompt: str
    """The prompt; empty where it is too long to be handed over."""

    organisation: str
    """Organisation that sent it."""

    service: str
    """Name of the model service."""

    model: str
    """Name of the model."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    max_tokens: int
    """Most tokens to generate."""

    urgency: int
    """Priority."""

    seconds_left: float
    """Time until the deadline, seconds."""


class StreamTaken(NamedTuple):
    """The other node owns the stream and has its frames."""

    attempt: str
    """Attempt under which it runs."""


class Handover:
    """Offers streams of this node, and takes those of others."""

    def __init__(self, context: node_context.NodeContext, peers: peer_task.PeerTask) -> None:
        """Create the hand-over and register its messages.

        Args:
            context: What all tasks of the node share.
            peers: The connections to the other nodes.
        """
        self._context = context
        self._peers = peers
        self._taken_by_attempt: dict[str, asyncio.Event] = {}
        peers.register("stream_offered", 1, StreamOffered)
        peers.register("stream_taken", 1, StreamTaken)
        peers.handle(StreamOffered, self._on_stream_offered)
        peers.handle(StreamTaken, self._on_stream_taken)

    async def run_all(self) -> None:
        """Hand every running stream over, and tell each caller where to go on."""
        running = list(self._context.requests_by_id.values())
        await asyncio.gather(*(self._hand_over(task) for task in running))

    async def _hand_over(self, task: model_request_task.ModelRequestTask) -> None:
        host = self._context.other_host()
        if host is None:
            logs.warning("hand_over_without_host", request=task.request.request_id)
            return
        offered = self._offer(task)
        taken = offered is not None and await self._await_taken(host, offered)
        self._context.metrics.count("stream_handed_over" if taken else "caller_sent_on")
        address = self._context.hosts_by_name[host].address
        # Without word of the other node the caller resumes there by its token all the same.
        task.mailbox.post(request_messages.HandOver(address))

    def _offer(self, task: model_request_task.ModelRequestTask) -> StreamOffered | None:
        point = task.resume_point
        if point is None:
            return None
        request = task.request
        prompt = task.prompt if len(task.prompt) <= MOST_PROMPT_CHARACTERS else ""
        return StreamOffered(
            point.attempt,
            point.server_id,
            point.base_index,
            task.delivered[: point.base_index],
            len(task.delivered),
            prompt,
            request.organisation,
            request.service,
            request.model,
            request.prompt_tokens,
            request.max_tokens,
            int(request.urgency),
            request.deadline - asyncio.get_running_loop().time(),
        )

    async def _await_taken(self, host: str, offered: StreamOffered) -> bool:
        taken = asyncio.Event()
        self._taken_by_attempt[offered.attempt] = taken
        try:
            if not self._peers.send(host, offered):
                return False
            async with asyncio.timeout(OFFER_SECONDS):
                await taken.wait()
            return True
        except TimeoutError:
            return False
        finally:
            self._taken_by_attempt.pop(offered.attempt, None)

    def _on_stream_taken(self, sender: identifiers.NodeIdentity, message: StreamTaken) -> None:
        taken = self._taken_by_attempt.get(message.attempt)
        if taken is not None:
            taken.set()

    def _on_stream_offered(self, sender: identifiers.NodeIdentity, message: StreamOffered) -> None:
        if self._context.withdrawn:
            return
        name = f"take-{message.attempt}"
        self._context.background.start(name, self._take(sender.host, message))

    async def _take(self, host: str, offered: StreamOffered) -> None:
        loop = asyncio.get_running_loop()
        request = requests.ModelRequest(
            self._context.new_request_id(),
            offered.organisation,
            offered.service,
            offered.model,
            offered.prompt_tokens,
            offered.max_tokens,
            requests.hash_prefix(offered.prompt),
            requests.Urgency(offered.urgency),
            loop.time() + offered.seconds_left,
        )
        stream = streams.CallerStream()
        life = request_state_machine.RequestStateMachine(
            request, self._context.rng, offered.delivered
        )
        task = model_request_task.ModelRequestTask(
            self._context, request, offered.prompt, stream, life
        )
        point = attempt_values.ResumePoint(offered.server_id, offered.attempt, offered.base_index)
        self._context.take_over(task, point)
        task.mailbox.post(request_messages.CallerGone(stream))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OFFER_SECONDS):
                await self._until_caught_up(task, offered.frames)
                self._peers.send(host, StreamTaken(offered.attempt))

    async def _until_caught_up(
        self, task: model_request_task.ModelRequestTask, frames: int
    ) -> None:
        while len(task.delivered) < frames:  # noqa: ASYNC110 - frames come without an event
            await asyncio.sleep(CHECK_SECONDS)

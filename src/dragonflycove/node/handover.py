"""Hands running streams over to another node before this node stops."""

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

OFFER_TIMEOUT_SECONDS = 2.0
"""Timeout for the other node to acknowledge a stream, and to catch up with it."""

CATCH_UP_POLL_SECONDS = 0.02
"""Interval at which a node that takes a stream over checks whether it has caught up."""

MAX_PROMPT_CHARACTERS = 60_000
"""Longest prompt sent with its stream; for a longer one the caller must resend the prompt."""


class StreamOffered(NamedTuple):
    """Offer of a running stream by a stopping node."""

    attempt: str
    """Identifier of the attempt that runs the stream."""

    server_id: str
    """Identifier of the engine that runs the attempt."""

    base_index: int
    """Position of the attempt's first frame in the caller's stream, from 0."""

    delivered: tuple[str, ...]
    """Tokens of the frames before the attempt's first, from earlier attempts."""

    frames: int
    """Number of frames that the stopping node has received."""

    prompt: str
    """Text of the prompt; empty if longer than `MAX_PROMPT_CHARACTERS`."""

    organisation: str
    """Name of the organisation that sent the request."""

    service: str
    """Name of the model service."""

    model: str
    """Name of the model."""

    prompt_tokens: int
    """Length of the prompt, tokens."""

    max_tokens: int
    """Maximum number of tokens to generate."""

    urgency: int
    """Value of `requests.Urgency`."""

    seconds_left: float
    """Time until the request's deadline, seconds."""


class StreamTaken(NamedTuple):
    """Acknowledges that the sender runs an offered stream and has caught up with its frames."""

    attempt: str
    """Identifier of the attempt that runs the stream."""


class Handover:
    """Offers this node's streams to other nodes, and takes over streams that they offer."""

    def __init__(self, context: node_context.NodeContext, peers: peer_task.PeerTask) -> None:
        """Create the handover and register its messages.

        Args:
            context: State shared by the node's tasks.
            peers: Connections to the other nodes.
        """
        self._context = context
        self._peers = peers
        self._acknowledgements_by_attempt: dict[str, asyncio.Event] = {}
        peers.register("stream_offered", 1, StreamOffered)
        peers.register("stream_taken", 1, StreamTaken)
        peers.handle(StreamOffered, self._on_stream_offered)
        peers.handle(StreamTaken, self._on_stream_taken)

    async def hand_over_all(self) -> None:
        """Hand over every running stream, and send each caller the address at which to resume."""
        running = list(self._context.requests_by_id.values())
        await asyncio.gather(*(self._hand_over(task) for task in running))

    async def _hand_over(self, task: model_request_task.ModelRequestTask) -> None:
        host = self._context.choose_other_host()
        if host is None:
            logs.warning("hand_over_without_host", request=task.request.request_id)
            return
        offered = self._build_offer(task)
        acknowledged = offered is not None and await self._offer_and_wait(host, offered)
        self._context.metrics.count("stream_handed_over" if acknowledged else "caller_sent_on")
        address = self._context.hosts_by_name[host].address
        # Without an acknowledgement the caller can still resume there by its resume token.
        task.mailbox.post(request_messages.HandOverRequested(address))

    def _build_offer(self, task: model_request_task.ModelRequestTask) -> StreamOffered | None:
        point = task.resume_point
        if point is None:
            return None
        request = task.request
        prompt = task.prompt if len(task.prompt) <= MAX_PROMPT_CHARACTERS else ""
        return StreamOffered(
            point.attempt,
            point.server_id,
            point.base_index,
            task.received_tokens[: point.base_index],
            len(task.received_tokens),
            prompt,
            request.organisation,
            request.service,
            request.model,
            request.prompt_tokens,
            request.max_tokens,
            int(request.urgency),
            request.deadline - asyncio.get_running_loop().time(),
        )

    async def _offer_and_wait(self, host: str, offered: StreamOffered) -> bool:
        acknowledged = asyncio.Event()
        self._acknowledgements_by_attempt[offered.attempt] = acknowledged
        try:
            if not self._peers.send(host, offered):
                return False
            async with asyncio.timeout(OFFER_TIMEOUT_SECONDS):
                await acknowledged.wait()
            return True
        except TimeoutError:
            return False
        finally:
            self._acknowledgements_by_attempt.pop(offered.attempt, None)

    def _on_stream_taken(self, sender: identifiers.NodeIdentity, message: StreamTaken) -> None:
        acknowledged = self._acknowledgements_by_attempt.get(message.attempt)
        if acknowledged is not None:
            acknowledged.set()

    def _on_stream_offered(self, sender: identifiers.NodeIdentity, message: StreamOffered) -> None:
        if self._context.hidden_from_lookup:
            return
        name = f"take-{message.attempt}"
        self._context.background.start(name, self._take_over(sender.host, message))

    async def _take_over(self, host: str, offered: StreamOffered) -> None:
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
        machine = request_state_machine.RequestStateMachine(
            request, self._context.rng, offered.delivered
        )
        task = model_request_task.ModelRequestTask(
            self._context, request, offered.prompt, stream, machine
        )
        point = attempt_values.ResumePoint(offered.server_id, offered.attempt, offered.base_index)
        self._context.take_over(task, point)
        task.mailbox.post(request_messages.CallerGone(stream))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OFFER_TIMEOUT_SECONDS):
                await self._wait_until_caught_up(task, offered.frames)
                self._peers.send(host, StreamTaken(offered.attempt))

    async def _wait_until_caught_up(
        self, task: model_request_task.ModelRequestTask, frames: int
    ) -> None:
        while len(task.received_tokens) < frames:  # noqa: ASYNC110 - no event signals new frames
            await asyncio.sleep(CATCH_UP_POLL_SECONDS)

"""Messages to the task of one model request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.node import dispatch_messages, guard_messages

if TYPE_CHECKING:
    from dragonflycove.backends import engine_stream
    from dragonflycove.callers import streams
    from dragonflycove.values import outcomes


class EngineEvent(NamedTuple):
    """An event was read from an attempt's connection."""

    attempt: str
    """Identifier of the attempt."""

    connection: int
    """Number of the connection within the attempt; 0 is the first, others resume."""

    event: engine_stream.StreamEvent
    """A frame, a refusal or the failure of the connection."""


class CallerGone(NamedTuple):
    """The caller's connection ended."""

    stream: streams.CallerStream
    """Stream of the connection that ended; ignored if the caller has resumed on another."""


class CallerResumed(NamedTuple):
    """The caller resumed the stream at this node."""

    from_index: int
    """Index of the first frame that the caller has not received."""

    stream: streams.CallerStream
    """Stream of its new connection."""


class MoveRequested(NamedTuple):
    """Tells the task to move its request to another server."""

    reason: outcomes.Reason
    """Reason counted for the move."""


class HandOverRequested(NamedTuple):
    """Tells the task to end here and send its caller to another node."""

    address: str
    """Caller address of the other node."""


RequestMessage = (
    dispatch_messages.RequestNotice
    | guard_messages.GuardReply
    | EngineEvent
    | CallerGone
    | CallerResumed
    | MoveRequested
    | HandOverRequested
)
"""Messages that a request's task handles."""

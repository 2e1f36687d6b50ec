"""Messages to the task of one model request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.node import dispatch_messages, guard_messages

if TYPE_CHECKING:
    from dragonflycove.backends import engine_stream
    from dragonflycove.callers import streams
    from dragonflycove.values import outcomes


class EngineEvent(NamedTuple):
    """Something came on an attempt's connection."""

    attempt: str
    """The attempt whose connection it is."""

    connection: int
    """Number of the connection within the attempt."""

    event: engine_stream.StreamEvent
    """What came."""


class CallerGone(NamedTuple):
    """The caller's connection ended."""

    stream: streams.CallerStream
    """The connection's stream."""


class CallerResumed(NamedTuple):
    """The caller came back at this node."""

    from_index: int
    """First frame that it lacks."""

    stream: streams.CallerStream
    """Its new stream."""


class Moved(NamedTuple):
    """The request is to leave its server."""

    reason: outcomes.Reason
    """Why."""


class HandOver(NamedTuple):
    """The request's caller is to go on at another node."""

    address: str
    """That node's address."""


RequestMessage = (
    dispatch_messages.RequestNotice
    | guard_messages.GuardReply
    | EngineEvent
    | CallerGone
    | CallerResumed
    | Moved
    | HandOver
)
"""What a request's task takes."""

"""What the life of a model request asks of the node."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class BreakKind(enum.Enum):
    """How an attempt's connection ended before the last frame."""

    UNREACHABLE = "unreachable"
    """No connection to the engine could be made, so nothing was sent on it."""

    CRASHED = "crashed"
    """The engine or the connection broke off."""

    SILENT = "silent"
    """The connection made no progress within its bound."""

    ERROR = "error"
    """The engine answered with an error of its own."""

    REFUSED_NOT_RUN = "refused_not_run"
    """The engine refused the attempt and said that it did not run."""


class StartAttempt(NamedTuple):
    """Send the request to an engine as a new attempt."""

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Engine to send it to."""

    priority: int
    """Priority at the engine; a lower value goes first."""

    group: tuple[str, ...]
    """Engines of the memory group; empty for a single engine."""

    base_index: int
    """Frames that the caller has; the attempt's frame 0 is the caller's frame of this index."""

    delivered_text: str
    """Text of those frames, to be appended to the prompt."""

    max_tokens: int
    """Most tokens that are left to generate."""


class ResumeAttempt(NamedTuple):
    """Open a fresh connection to the attempt's engine and read its stream on."""

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Engine that runs it."""

    from_index: int
    """First frame wanted, counted from the attempt's own frame 0."""

    connection: int
    """Number of the connection within the attempt; the older ones are to be closed."""


class CancelAttempt(NamedTuple):
    """Close the attempt's connections and free the stream at its engine."""

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Engine that runs it."""


class AbandonAttempt(NamedTuple):
    """Close the attempt's connections, but leave its stream to reclaim.

    The caller went away and the engine's connection ended, so that another node may own the
    stream by now; cancelling it would cut that node's request.
    """

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Engine that ran it."""


class Redispatch(NamedTuple):
    """Ask the dispatcher for a server again."""

    excluded: frozenset[str]
    """Servers that are not to be chosen."""

    reason: outcomes.Reason
    """Why the request needs a server again."""


class SuspectServer(NamedTuple):
    """A fresh connection to the server failed too, or the server lost a stream that it ran."""

    server_id: str
    """The server."""

    attempt: str
    """Attempt that showed it."""

    reason: outcomes.Reason
    """What was seen."""


class Emit(NamedTuple):
    """Hand one frame to the caller."""

    frame_index: int
    """Index of the frame in the caller's stream."""

    token: str
    """Text of the frame."""

    finish: str | None
    """Reason for the end of the stream, in its last frame."""


class Finish(NamedTuple):
    """The request is over."""

    outcome: outcomes.Outcome
    """What became of it."""


Effect = (
    StartAttempt
    | ResumeAttempt
    | CancelAttempt
    | AbandonAttempt
    | Redispatch
    | SuspectServer
    | Emit
    | Finish
)
"""Everything that the life of a request asks for."""

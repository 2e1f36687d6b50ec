"""Effects that the state machine of a model request returns for the node to carry out."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import outcomes


class AttemptFailureKind(enum.Enum):
    """How an attempt's connection failed before the last frame."""

    UNREACHABLE = "unreachable"
    """The connection to the engine could not be opened, so nothing was sent on it."""

    CRASHED = "crashed"
    """The engine crashed or the connection was closed early."""

    SILENT = "silent"
    """No frame arrived within the timeout."""

    ERROR = "error"
    """The engine responded with an error."""

    REFUSED_NOT_RUN = "refused_not_run"
    """The engine refused the attempt and stated that it did not run."""


class StartAttempt(NamedTuple):
    """Send the request to an engine as a new attempt."""

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Identifier of the engine to send it to."""

    priority: int
    """Priority at the engine; lower values are scheduled first."""

    group: tuple[str, ...]
    """Engines of the memory group; empty for a single engine."""

    base_index: int
    """Index in the caller's stream of the attempt's frame 0: the frames received before."""

    received_text: str
    """Text of the frames before `base_index`, to be appended to the prompt."""

    max_tokens: int
    """Upper bound on the tokens that this attempt generates."""


class ResumeAttempt(NamedTuple):
    """Continue reading the attempt's stream on a new connection to its engine."""

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Identifier of the engine that runs it."""

    from_index: int
    """Index of the first frame to read, counted from the attempt's own frame 0."""

    connection: int
    """Number of the connection within the attempt; older connections are to be closed."""


class CancelAttempt(NamedTuple):
    """Close the attempt's connections and cancel its stream at the engine."""

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Identifier of the engine that runs it."""


class AbandonAttempt(NamedTuple):
    """Close the attempt's connections without cancelling its stream; reclaim frees it later.

    The caller disconnected and then the engine connection failed, so another node may have taken
    the stream over; cancelling it would end that node's request.
    """

    attempt: str
    """Identifier of the attempt."""

    server_id: str
    """Identifier of the engine that ran it."""


class Redispatch(NamedTuple):
    """Ask the dispatcher for a server again."""

    excluded: frozenset[str]
    """Identifiers of the servers that must not be chosen."""

    reason: outcomes.Reason
    """Why the request needs another server."""


class SuspectServer(NamedTuple):
    """Mark a server as suspect: a resume failed too, or it lost a stream that it was running."""

    server_id: str
    """Identifier of the server."""

    attempt: str
    """Identifier of the attempt that failed there."""

    reason: outcomes.Reason
    """Reason of the failure."""


class Emit(NamedTuple):
    """Send one frame to the caller."""

    frame_index: int
    """Index of the frame in the caller's stream."""

    token: str
    """Text of the frame."""

    finish: str | None
    """Finish reason in the last frame of the stream, otherwise `None`."""


class Finish(NamedTuple):
    """End the request."""

    outcome: outcomes.Outcome
    """Outcome to report to the caller."""


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
"""Any effect of the state machine."""

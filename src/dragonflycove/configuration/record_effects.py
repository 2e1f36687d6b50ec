"""Effects that a record can have on the acceptance state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.configuration import records


class Accepted(NamedTuple):
    """The operation was accepted and is in force."""

    outcome: records.OperationOutcome
    """Outcome of the operation, with the version in force after it."""


class Rejected(NamedTuple):
    """The operation was rejected; appending it again does not change that."""

    outcome: records.OperationOutcome
    """Outcome of the operation, with the reason as `detail`."""


class Repeated(NamedTuple):
    """The record repeats an operation that was accepted or rejected before."""

    outcome: records.OperationOutcome
    """Outcome of the first record with the operation."""


class SnapshotInstalled(NamedTuple):
    """The reader replaced its state by a snapshot."""

    version: int
    """Configuration version in force after the snapshot."""


class Ignored(NamedTuple):
    """The record or snapshot changes no configuration and decides no operation."""

    reason: str
    """Why it was ignored."""


RecordEffect = Accepted | Rejected | Repeated | SnapshotInstalled | Ignored
"""Effect of a record or of installing a snapshot."""

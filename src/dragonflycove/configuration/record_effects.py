"""What became of a record."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.configuration import records


class Accepted(NamedTuple):
    """The operation is in force."""

    outcome: records.OperationOutcome
    """The outcome, with the version in force."""


class Rejected(NamedTuple):
    """The operation changes nothing, now and later."""

    outcome: records.OperationOutcome
    """The outcome, with the reason."""


class Repeated(NamedTuple):
    """The record repeats an operation that was decided before."""

    outcome: records.OperationOutcome
    """The outcome of the operation."""


class SnapshotInstalled(NamedTuple):
    """The reader took over a snapshot."""

    version: int
    """Version in force after it."""


class Ignored(NamedTuple):
    """The record changes nothing and decides no operation."""

    reason: str
    """Why."""


RecordEffect = Accepted | Rejected | Repeated | SnapshotInstalled | Ignored
"""What became of a record."""

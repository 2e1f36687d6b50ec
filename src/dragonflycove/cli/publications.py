"""Prints the outcome of operations that commands publish to the log."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from dragonflycove.cli import command_line, exit_codes
from dragonflycove.operators import publishing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.configuration import acceptance, faults, records

PublisherAction = Callable[[publishing.Publisher], Awaitable[exit_codes.ExitCode]]
"""Coroutine function that publishes with a publisher and returns the exit status."""


def report(publication: publishing.Publication, *, is_retry: bool) -> exit_codes.ExitCode:
    """Print the outcome of an operation.

    Args:
        publication: Result of publishing the operation.
        is_retry: Whether an earlier command may have sent the operation.

    Returns:
        The exit status.
    """
    return _report(publication, is_retry)


def report_faults(path: str, found: Sequence[faults.Fault]) -> exit_codes.ExitCode:
    """Print the faults of a configuration text.

    Args:
        path: Path of the file that holds the text.
        found: The faults.

    Returns:
        The exit status.
    """
    listed = "\n".join(f"{path}: {fault}" for fault in found)
    return command_line.fail(
        f"{listed}\n{len(found)} faults; nothing was sent", exit_codes.ExitCode.FAULTY_TEXT
    )


def report_outdated(
    proposal: records.TextProposed | records.TextEdited, state: acceptance.AcceptanceState
) -> exit_codes.ExitCode:
    """Print that a text is based on a version that is no longer in force.

    Args:
        proposal: The record that was not sent.
        state: Acceptance state with the version in force.

    Returns:
        The exit status.
    """
    version = state.snapshot.version
    replacement = next(
        (
            outcome
            for outcome in state.snapshot.outcomes
            if outcome.accepted and outcome.version == proposal.base_version + 1
        ),
        None,
    )
    first = (
        f" Version {replacement.version} by {replacement.author} came first." if replacement else ""
    )
    return command_line.fail(
        f"rejected: edited from version {proposal.base_version}, but version {version} is in "
        f"force.{first} Nothing was sent.",
        exit_codes.ExitCode.REJECTED,
    )


@functools.singledispatch
def _report(publication: publishing.Publication, is_retry: bool) -> exit_codes.ExitCode:
    raise AssertionError(f"no report for {type(publication).__name__}")


@_report.register
def _(publication: publishing.Decided, is_retry: bool) -> exit_codes.ExitCode:
    outcome = publication.outcome
    if not outcome.accepted:
        reason = f"rejected: {outcome.detail} (operation {outcome.operation_id})"
        return command_line.fail(reason, exit_codes.ExitCode.REJECTED)
    print(
        f"accepted as version {outcome.version}: {outcome.detail}, by {outcome.author} "
        f"(operation {outcome.operation_id})"
    )
    if publication.appends == 0:
        print("the operation was in the log already; it was not sent again")
    elif publication.appends > 1:
        print(f"responses of the log were lost: sent {publication.appends} times, applied once")
    return exit_codes.ExitCode.OK


@_report.register
def _(publication: publishing.NotAppended, is_retry: bool) -> exit_codes.ExitCode:
    if is_retry:
        reason = f"not sent again: {publication.reason}. Whether the earlier try took effect is"
        return command_line.fail(
            f"{reason} unknown; run the command again with the same --operation.",
            exit_codes.ExitCode.NOT_CONFIRMED,
        )
    return command_line.fail(
        f"nothing was published: {publication.reason}", exit_codes.ExitCode.NOT_SENT
    )


@_report.register
def _(publication: publishing.NotConfirmed, is_retry: bool) -> exit_codes.ExitCode:
    return command_line.fail(
        f"not confirmed: {publication.reason}. It may have been published. Run the same command "
        f"again with --operation={publication.operation_id}; it takes effect at most once.",
        exit_codes.ExitCode.NOT_CONFIRMED,
    )

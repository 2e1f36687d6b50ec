"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import collections
import sys
import time
from typing import Any

import loguru

from dragonflycove.telemetry import log_limits, output

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {message}"

_DETAIL_FIELDS = ("reason", "after", "end", "state", "failure", "cause")
"""Fields whose values are counted apart, since each has a few values only."""

_limits: log_limits.LogLimits | None = None
_output: output.NonBlockingOutput | None = None
_count_by_event: collections.Counter[tuple[str, str]] = collections.Counter()


def configure(path: str = "", level: str = "INFO") -> None:
    """Send logs to a file or to the standard error, without a bound.

    Args:
        path: Path of the file; empty for the standard error.
        level: Least level that is written.
    """
    global _limits, _output
    _limits = _output = None
    loguru.logger.remove()
    sink: Any = path if path else sys.stderr
    loguru.logger.add(sink, level=level, format=_FORMAT)


def configure_bounded(descriptor: int = 1) -> output.NonBlockingOutput:
    """Send logs to a file descriptor at a bounded rate, without ever waiting for its reader.

    Args:
        descriptor: The file descriptor; standard output if not given.

    Returns:
        The output, for `tell_dropped`.
    """
    global _limits, _output
    _limits = log_limits.LogLimits(time.monotonic())
    _output = output.NonBlockingOutput(descriptor)
    loguru.logger.remove()
    loguru.logger.add(_output.write, level="INFO", format=_FORMAT, backtrace=False, diagnose=False)
    return _output


def event(name: str, **fields: object) -> None:
    """Log an event at level INFO, and count it.

    Args:
        name: Name of the event, in snake case.
        fields: Its fields.
    """
    if _admit(name, fields):
        loguru.logger.opt(depth=1, raw=False).info("{}", format_event(name, fields))


def warning(name: str, **fields: object) -> None:
    """Log an event at level WARNING, and count it.

    Args:
        name: Name of the event, in snake case.
        fields: Its fields.
    """
    if _admit(name, fields):
        loguru.logger.opt(depth=1).warning("{}", format_event(name, fields))


def _admit(name: str, fields: dict[str, object]) -> bool:
    detail = next((str(fields[field]) for field in _DETAIL_FIELDS if field in fields), "")
    _count_by_event[name, detail] += 1
    return _limits is None or _limits.admit(name, time.monotonic())


def counts_by_event() -> dict[tuple[str, str], int]:
    """Return how often each event happened, by its name and detail, logged or not."""
    return dict(_count_by_event)


def log_dropped_counts() -> None:
    """Log how many lines were left out since the last call, and write what was kept."""
    if _limits is None or _output is None:
        return
    _output.flush()
    for kind, count in _limits.take_dropped().items():
        event("log_dropped", kind=kind, lines=count)
    if _output.lost_lines:
        lost, _output.lost_lines = _output.lost_lines, 0
        event("log_dropped", kind="reader_stands_still", lines=lost)


def format_event(name: str, fields: dict[str, object]) -> str:
    """Format an event as key=value pairs.

    Args:
        name: Name of the event.
        fields: Its fields.

    Returns:
        One line; values with spaces or quotes are quoted.
    """
    pairs = [f"event={name}"]
    pairs.extend(f"{key}={_format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


def _format_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    text = text.replace("\n", "\\n")
    if text and not any(character in text for character in ' "='):
        return text
    return '"' + text.replace('"', '\\"') + '"'


def exception(error: BaseException) -> None:
    """Log the stack of an exception.

    Args:
        error: The exception.
    """
    if _admit("exception", {}):
        loguru.logger.opt(depth=1, exception=error).error("event=exception")

"""Structured logs: one line of key=value pairs per event."""

from __future__ import annotations

import collections
import sys
import time
from typing import Any

import loguru

from dragonflycove.telemetry import log_limits, output

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {message}"

_DETAIL_FIELDS = ("reason", "after", "end", "state", "failure", "cause", "check", "header")
"""Fields by whose value events are counted separately; each has only a few values."""

MAX_VALUE_BYTES = 64
"""Bytes that are logged of a value that somebody else chose."""

_limits: log_limits.LogLimits | None = None
_output: output.NonBlockingOutput | None = None
_count_by_event: collections.Counter[tuple[str, str]] = collections.Counter()


def configure(path: str = "", level: str = "INFO") -> None:
    """Write logs to a file or standard error, without a rate limit.

    Args:
        path: Path of the file; empty for standard error.
        level: Minimum level that is written.
    """
    global _limits, _output
    _limits = _output = None
    loguru.logger.remove()
    sink: Any = path if path else sys.stderr
    loguru.logger.add(sink, level=level, format=_FORMAT)


def configure_bounded(descriptor: int = 1) -> output.NonBlockingOutput:
    """Write logs to a file descriptor at a limited rate, without blocking on its reader.

    Args:
        descriptor: File descriptor; by default standard output.

    Returns:
        The output; `log_dropped_counts` reports the lines that it loses.
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
        fields: Fields of the event, in the order of the line.
    """
    if _admit(name, fields):
        loguru.logger.opt(depth=1, raw=False).info("{}", format_event(name, fields))


def warning(name: str, **fields: object) -> None:
    """Log an event at level WARNING, and count it.

    Args:
        name: Name of the event, in snake case.
        fields: Fields of the event, in the order of the line.
    """
    if _admit(name, fields):
        loguru.logger.opt(depth=1).warning("{}", format_event(name, fields))


def _admit(name: str, fields: dict[str, object]) -> bool:
    detail = next((str(fields[field]) for field in _DETAIL_FIELDS if field in fields), "")
    _count_by_event[name, detail] += 1
    return _limits is None or _limits.admit(name, time.monotonic())


def counts_by_event() -> dict[tuple[str, str], int]:
    """Return the number of events by name and detail, including those not logged."""
    return dict(_count_by_event)


def log_dropped_counts() -> None:
    """Write buffered lines, then log how many were dropped since the last call."""
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
        fields: Fields of the event, in the order of the line.

    Returns:
        One line; empty values and those with a space, quote or `=` are quoted.
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


def exception(error: BaseException, **fields: object) -> None:
    """Log an exception with its stack trace, and count it.

    Args:
        error: Exception to log.
        fields: Fields of the event, in the order of the line.
    """
    if _admit("exception", {}):
        line = format_event("exception", fields)
        loguru.logger.opt(depth=1, exception=error).error("{}", line)

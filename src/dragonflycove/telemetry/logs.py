"""Logs: one line of key=value pairs for each event."""

from __future__ import annotations

import sys
from typing import Any

import loguru


def configure(path: str = "", level: str = "INFO") -> None:
    """Send logs to a file or to the standard error.

    Args:
        path: Path of the file; empty for the standard error.
        level: Least level that is written.
    """
    loguru.logger.remove()
    sink: Any = path if path else sys.stderr
    loguru.logger.add(
        sink, level=level, format="time={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {message}"
    )


def event(name: str, **fields: object) -> None:
    """Log an event at level INFO.

    Args:
        name: Name of the event, in snake case.
        fields: Its fields.
    """
    loguru.logger.opt(depth=1, raw=False).info("{}", format_event(name, fields))


def warning(name: str, **fields: object) -> None:
    """Log an event at level WARNING.

    Args:
        name: Name of the event, in snake case.
        fields: Its fields.
    """
    loguru.logger.opt(depth=1).warning("{}", format_event(name, fields))


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
    loguru.logger.opt(depth=1, exception=error).error("event=exception")

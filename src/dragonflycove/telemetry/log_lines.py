"""Parses the structured log lines that `logs` writes."""

from __future__ import annotations

import re

_PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_fields(text: str) -> dict[str, str]:
    """Parse the key=value pairs of a log line.

    Args:
        text: Log line.

    Returns:
        Values by key, without enclosing quotation marks; other escapes are kept.
    """
    return {key: value.strip('"') for key, value in _PAIR_PATTERN.findall(text)}

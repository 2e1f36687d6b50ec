"""Reads the structured lines that the nodes write."""

from __future__ import annotations

import re

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_fields(text: str) -> dict[str, str]:
    """Return the key=value pairs of a line.

    Args:
        text: The line.

    Returns:
        Values by key, without their quotation marks.
    """
    return {key: value.strip('"') for key, value in _PAIR.findall(text)}

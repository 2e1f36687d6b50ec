"""The comment line at the head of a configuration text that gives the version of the text.

When an operator publishes the edited text, the line gives the version that the edit is based on.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_LINE = re.compile(r"\A// dragonflycove version (\d+)\r?\n")


class BasedText(NamedTuple):
    """A configuration text and the version that it was edited from."""

    text: str
    """The text without the version line."""

    base_version: int | None
    """The version; `None` if the text has no version line."""


def add(text: str, version: int) -> str:
    """Prepend the version line to a text.

    Args:
        text: The text in force.
        version: Its version.

    Returns:
        The text with the line.
    """
    return f"// dragonflycove version {version}\n{text}"


def split(text: str) -> BasedText:
    """Split the version line from a text.

    Args:
        text: The edited text, with or without the line.

    Returns:
        The rest of the text, and the version.
    """
    match = _LINE.match(text)
    if match is None:
        return BasedText(text, None)
    return BasedText(text[match.end() :], int(match.group(1)))

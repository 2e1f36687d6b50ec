"""The first line of a shown text, which names the version that an edit starts from."""

from __future__ import annotations

import re
from typing import NamedTuple

_LINE = re.compile(r"\A// dragonflycove version (\d+)\r?\n")


class BasedText(NamedTuple):
    """A text and the version that it was edited from."""

    text: str
    """The text without the line."""

    base_version: int | None
    """The version; `None` if the text does not name one."""


def add(text: str, version: int) -> str:
    """Put the line before a text.

    Args:
        text: The text in force.
        version: Its version.

    Returns:
        The text to edit.
    """
    return f"// dragonflycove version {version}\n{text}"


def split(text: str) -> BasedText:
    """Take the line off a text.

    Args:
        text: The edited text.

    Returns:
        The text and the version.
    """
    match = _LINE.match(text)
    if match is None:
        return BasedText(text, None)
    return BasedText(text[match.end() :], int(match.group(1)))

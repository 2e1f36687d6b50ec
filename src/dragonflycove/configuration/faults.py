"""Validation faults of a configuration text."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One validation fault."""

    path: str
    """Path of the faulty value, keys joined by dots; empty for the text itself."""

    reason: str
    """What is wrong, for operators."""

    def __str__(self) -> str:
        """Return `path: reason`, or the reason alone if the path is empty."""
        return f"{self.path}: {self.reason}" if self.path else self.reason


def join(path: str, key: object) -> str:
    """Append a key to the path of an object.

    Args:
        path: Path of the object; empty for the text itself.
        key: Key inside the object.

    Returns:
        The keys joined by dots.
    """
    return f"{path}.{key}" if path else str(key)

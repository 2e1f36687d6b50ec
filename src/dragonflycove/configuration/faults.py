"""Faults of a text."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """One fault of a text."""

    path: str
    """Where it is, keys joined by dots; empty for the whole text."""

    reason: str
    """What is wrong."""

    def __str__(self) -> str:
        """Return `path: reason`."""
        return f"{self.path}: {self.reason}" if self.path else self.reason


def join(path: str, key: object) -> str:
    """Return the path of a key inside the object at a path.

    Args:
        path: Path of the object.
        key: The key.

    Returns:
        The keys joined by dots.
    """
    return f"{path}.{key}" if path else str(key)

"""Inventory of what occupies memory on an engine."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import identifiers


class Kind(enum.Enum):
    """Kind of an item."""

    STREAM = "stream"
    """A stream, identified by its attempt."""

    EXPORT = "export"
    """An exported KV cache."""

    RESERVATION = "reservation"
    """KV cache reserved for a memory group, identified by the group."""


class Item(NamedTuple):
    """A stream, export or reservation that occupies memory on an engine."""

    kind: Kind
    """Kind of the item."""

    item_id: str
    """Identifier of the item on the engine."""

    owner: identifiers.NodeIdentity
    """Node process that owns the item."""


class Inventory(NamedTuple):
    """All items on one engine."""

    start_id: str
    """Identifier of the start of the engine's process."""

    items: tuple[Item, ...]
    """Items that occupy memory."""

"""Inventory of an engine: its items, that is its streams, exports and reservations."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import identifiers


class Kind(enum.Enum):
    """What an item is: a stream, an export or a reservation."""

    STREAM = "stream"
    """A stream, identified by its attempt."""

    EXPORT = "export"
    """An exported KV cache, identified by the export."""

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
    """All items on one engine at one reading."""

    start_id: str
    """Identifier of the start of the engine's process."""

    items: tuple[Item, ...]
    """The items; empty if none occupies memory."""

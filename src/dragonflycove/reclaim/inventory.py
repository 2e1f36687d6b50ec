"""What holds memory on an engine, as the deciding module sees it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.values import identifiers


class Kind(enum.Enum):
    """Kind of a thing that holds memory."""

    STREAM = "stream"
    """A stream, named by its attempt."""

    EXPORT = "export"
    """An exported KV cache."""

    RESERVATION = "reservation"
    """Memory reserved for a memory group."""


class Item(NamedTuple):
    """One thing that holds memory."""

    kind: Kind
    """Its kind."""

    item_id: str
    """Its identifier on the engine."""

    owner: identifiers.NodeIdentity
    """The node that owns it."""


class Inventory(NamedTuple):
    """All that holds memory on an engine."""

    start_id: str
    """Identifier of this start of the engine."""

    items: tuple[Item, ...]
    """The things that hold memory."""

"""States of an engine: what it is to serve, and what it serves."""

from __future__ import annotations

from typing import NamedTuple


class EngineState(NamedTuple):
    """What an engine is to serve, independent of what it serves now."""

    models: frozenset[str]
    """Names of the models."""

    adapters: frozenset[str] = frozenset()
    """Names of the adapters."""

    versions: tuple[tuple[str, str], ...] = ()
    """Names of models or adapters with their versions, sorted by name."""

    role: str = ""
    """Role of the engine; empty for any."""


class ObservedEngine(NamedTuple):
    """An engine's state as read back from it."""

    server_id: str
    """The engine."""

    state: EngineState
    """What it serves."""

    fencing_token: int
    """Fencing number of the last order that it took."""

    running: int
    """Streams that it runs."""


class Order(NamedTuple):
    """Order an engine into an end state."""

    server_id: str
    """The engine."""

    state: EngineState
    """The whole state wanted."""

    units: float
    """Units that the engine will read from the weight store for it."""

"""Desired and observed states of engines, and orders that change them."""

from __future__ import annotations

from typing import NamedTuple


class EngineState(NamedTuple):
    """What an engine serves or should serve."""

    models: frozenset[str]
    """Names of the models."""

    adapters: frozenset[str] = frozenset()
    """Names of the adapters."""

    versions: tuple[tuple[str, str], ...] = ()
    """Pairs of model or adapter name and version, sorted by name."""

    role: str = ""
    """Role of the engine; empty for any role."""


class ObservedEngine(NamedTuple):
    """An engine's state as read from the engine."""

    server_id: str
    """Identifier of the engine."""

    state: EngineState
    """What the engine serves."""

    fencing_token: int
    """Fencing token of the last order that it accepted."""

    running: int
    """Number of streams that it runs or has queued."""


class Order(NamedTuple):
    """An order to an engine to change to a state."""

    server_id: str
    """Identifier of the engine."""

    state: EngineState
    """The complete state that the engine should have."""

    units: float
    """Units of the weight store's rate limit that loading the state takes."""

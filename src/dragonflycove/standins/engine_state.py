"""Orders to the model engine's stand-in: what it serves, fencing numbers, loading weights."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.standins import engine_model

DEFAULT_FETCH_RETRY_SECONDS = 1.0
"""Wait after a read of the weight store that failed without saying when to come back."""


class EngineState(NamedTuple):
    """What an engine is to serve, or serves."""

    fencing: int
    """Fencing number of the order."""

    models: tuple[str, ...]
    """Names of the models."""

    adapters: tuple[str, ...]
    """Names of the adapters."""

    versions: dict[str, str]
    """Version of each model or adapter, by name."""

    role: str
    """Role of the engine."""


class FetchedWeights(NamedTuple):
    """Weights have come from the store."""

    units: int
    """Their size in the store's units."""


class FetchFailed(NamedTuple):
    """The store did not give the weights."""

    seconds: float | None
    """When it asked to come back, where it said so."""


class StateReconciler:
    """The state wanted and the state in force; `run` loads what is missing."""

    def __init__(
        self,
        engine: engine_model.Engine,
        fetch: Callable[[str], Awaitable[FetchedWeights | FetchFailed]],
    ) -> None:
        """Create the orders of an engine that serves the models of its parameters.

        Args:
            engine: The engine.
            fetch: Reads weights by name from the store.
        """
        self._engine = engine
        self._fetch = fetch
        self._desired = EngineState(0, tuple(engine.parameters.models), (), {}, "")
        self._current = self._desired
        self._changed = asyncio.Event()

    @property
    def current(self) -> EngineState:
        """What the engine serves now."""
        return self._current

    def put(self, desired: EngineState) -> bool:
        """Take an order.

        Args:
            wanted: The state that it wants.

        Returns:
            False if its fencing number is older than one seen, and the engine checks that.
        """
        checks = self._engine.parameters.checks_fencing
        applied = not checks or desired.fencing >= self._desired.fencing
        self._engine.activity.note_order(desired.fencing, applied)
        if applied:
            self._desired = desired
            self._apply_immediate_changes()
            self._changed.set()
        return applied

    async def run(self) -> None:
        """Load what is wanted for as long as the task lives."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._load_all_missing()

    def _apply_immediate_changes(self) -> None:
        """Put in force at once all of the order but what has to be loaded."""
        desired = self._desired
        old = self._current

        def kept(names: tuple[str, ...], held: tuple[str, ...]) -> tuple[str, ...]:
            same = [old.versions.get(name) == desired.versions.get(name) for name in names]
            return tuple(
                name for name, fits in zip(names, same, strict=True) if fits and name in held
            )

        models = kept(desired.models, old.models)
        adapters = kept(desired.adapters, old.adapters)
        versions = {name: old.versions[name] for name in models + adapters if name in old.versions}
        self._current = EngineState(desired.fencing, models, adapters, versions, desired.role)
        self._engine.set_models(set(models))

    async def _load_all_missing(self) -> None:
        """Load one after the other until nothing is missing or another order comes."""
        desired = self._desired
        missing = [
            name
            for name in desired.models + desired.adapters
            if name not in self._current.models + self._current.adapters
        ]
        for name in missing:
            version = desired.versions.get(name)
            await self._load(name if version is None else f"{name}@{version}")
            if self._desired is not desired:
                return
            self._apply_loaded(name)

    async def _load(self, key: str) -> None:
        """Read weights from the store until it gives them, and load them."""
        while True:
            fetched = await self._fetch(key)
            if isinstance(fetched, FetchedWeights):
                await asyncio.sleep(fetched.units * self._engine.parameters.load_seconds_per_unit)
                return
            await asyncio.sleep(fetched.seconds or DEFAULT_FETCH_RETRY_SECONDS)

    def _apply_loaded(self, name: str) -> None:
        """Serve a model or adapter that has been loaded."""
        desired = self._desired
        held = {*self._current.models, *self._current.adapters, name}
        self._current = EngineState(
            desired.fencing,
            tuple(item for item in desired.models if item in held),
            tuple(item for item in desired.adapters if item in held),
            {key: value for key, value in desired.versions.items() if key in held},
            desired.role,
        )
        self._engine.set_models(set(self._current.models))

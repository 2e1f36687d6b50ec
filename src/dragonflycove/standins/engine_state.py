"""Desired and current state of the stand-in model engine; fencing and loading of weights."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.standins import engine_model

DEFAULT_FETCH_RETRY_SECONDS = 1.0
"""Wait after a failed read of the weight store without a retry-after time."""


class EngineState(NamedTuple):
    """State of an engine, desired or current."""

    fencing: int
    """Fencing token of the request that set the state."""

    models: tuple[str, ...]
    """Names of the models."""

    adapters: tuple[str, ...]
    """Names of the adapters."""

    versions: dict[str, str]
    """Versions by name of the model or adapter; names without a version are missing."""

    role: str
    """Role of the engine; stored and returned, without effect on the stand-in."""


class FetchedWeights(NamedTuple):
    """The store returned weights."""

    units: int
    """Size of the weights in the store's units."""


class FetchFailed(NamedTuple):
    """The store did not return the weights."""

    retry_after_seconds: float | None
    """Retry-after from the store's response; None if it had none."""


class StateReconciler:
    """Brings an engine's current state to the desired one; `run` loads missing weights."""

    def __init__(
        self,
        engine: engine_model.Engine,
        fetch: Callable[[str], Awaitable[FetchedWeights | FetchFailed]],
    ) -> None:
        """Create the reconciler of an engine that serves the models of its parameters.

        Args:
            engine: The engine.
            fetch: Reads weights from the store by `name` or `name@version`.
        """
        self._engine = engine
        self._fetch = fetch
        self._desired = EngineState(0, tuple(engine.parameters.models), (), {}, "")
        self._current = self._desired
        self._changed = asyncio.Event()

    @property
    def current(self) -> EngineState:
        """State that the engine currently serves."""
        return self._current

    def put(self, desired: EngineState) -> bool:
        """Set the desired state.

        Args:
            desired: The new desired state.

        Returns:
            False if the engine checks fencing tokens and this one is older than the last.
        """
        checks = self._engine.parameters.checks_fencing
        applied = not checks or desired.fencing >= self._desired.fencing
        self._engine.activity.record_state_order(desired.fencing, applied)
        if applied:
            self._desired = desired
            self._apply_immediate_changes()
            self._changed.set()
        return applied

    async def run(self) -> None:
        """Load missing models and adapters until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._load_all_missing()

    def _apply_immediate_changes(self) -> None:
        """Apply all of the desired state that needs no loading, such as unloading a model."""
        desired = self._desired
        old = self._current

        def loaded(names: tuple[str, ...], loaded_names: tuple[str, ...]) -> tuple[str, ...]:
            same = [old.versions.get(name) == desired.versions.get(name) for name in names]
            return tuple(
                name
                for name, fits in zip(names, same, strict=True)
                if fits and name in loaded_names
            )

        models = loaded(desired.models, old.models)
        adapters = loaded(desired.adapters, old.adapters)
        versions = {name: old.versions[name] for name in models + adapters if name in old.versions}
        self._current = EngineState(desired.fencing, models, adapters, versions, desired.role)
        self._engine.set_models(set(models))

    async def _load_all_missing(self) -> None:
        """Load what is missing one by one, until done or until the desired state changes."""
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
        """Read weights from the store, with retries, and wait for their load time."""
        while True:
            fetched = await self._fetch(key)
            if isinstance(fetched, FetchedWeights):
                await asyncio.sleep(fetched.units * self._engine.parameters.load_seconds_per_unit)
                return
            await asyncio.sleep(fetched.retry_after_seconds or DEFAULT_FETCH_RETRY_SECONDS)

    def _apply_loaded(self, name: str) -> None:
        """Add a loaded model or adapter to the current state."""
        desired = self._desired
        loaded_names = {*self._current.models, *self._current.adapters, name}
        self._current = EngineState(
            desired.fencing,
            tuple(item for item in desired.models if item in loaded_names),
            tuple(item for item in desired.adapters if item in loaded_names),
            {key: value for key, value in desired.versions.items() if key in loaded_names},
            desired.role,
        )
        self._engine.set_models(set(self._current.models))

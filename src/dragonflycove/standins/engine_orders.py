"""Orders to the model engine's stand-in: what it serves, fencing numbers, loading weights."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dragonflycove.standins import engine_model

RETRY_SECONDS = 1.0
"""Wait after a read of the weight store that failed without saying when to come back."""


class State(NamedTuple):
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


class Fetched(NamedTuple):
    """Weights have come from the store."""

    units: int
    """Their size in the store's units."""


class RetryLater(NamedTuple):
    """The store did not give the weights."""

    seconds: float | None
    """When it asked to come back, where it said so."""


class Orders:
    """The state wanted and the state in force; `run` loads what is missing."""

    def __init__(
        self,
        engine: engine_model.Engine,
        fetch: Callable[[str], Awaitable[Fetched | RetryLater]],
    ) -> None:
        """Create the orders of an engine that serves the models of its parameters.

        Args:
            engine: The engine.
            fetch: Reads weights by name from the store.
        """
        self._engine = engine
        self._fetch = fetch
        self._wanted = State(0, tuple(engine.parameters.models), (), {}, "")
        self._in_force = self._wanted
        self._changed = asyncio.Event()

    @property
    def in_force(self) -> State:
        """What the engine serves now."""
        return self._in_force

    def put(self, wanted: State) -> bool:
        """Take an order.

        Args:
            wanted: The state that it wants.

        Returns:
            False if its fencing number is older than one seen, and the engine checks that.
        """
        checks = self._engine.parameters.checks_fencing
        applied = not checks or wanted.fencing >= self._wanted.fencing
        self._engine.books.note_order(wanted.fencing, applied)
        if applied:
            self._wanted = wanted
            self._drop_unwanted()
            self._changed.set()
        return applied

    async def run(self) -> None:
        """Load what is wanted for as long as the task lives."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._load_missing()

    def _drop_unwanted(self) -> None:
        """Put in force at once all of the order but what has to be loaded."""
        wanted = self._wanted
        old = self._in_force

        def kept(names: tuple[str, ...], held: tuple[str, ...]) -> tuple[str, ...]:
            same = [old.versions.get(name) == wanted.versions.get(name) for name in names]
            return tuple(
                name for name, fits in zip(names, same, strict=True) if fits and name in held
            )

        models = kept(wanted.models, old.models)
        adapters = kept(wanted.adapters, old.adapters)
        versions = {name: old.versions[name] for name in models + adapters if name in old.versions}
        self._in_force = State(wanted.fencing, models, adapters, versions, wanted.role)
        self._engine.set_models(set(models))

    async def _load_missing(self) -> None:
        """Load one after the other until nothing is missing or another order comes."""
        wanted = self._wanted
        missing = [
            name
            for name in wanted.models + wanted.adapters
            if name not in self._in_force.models + self._in_force.adapters
        ]
        for name in missing:
            version = wanted.versions.get(name)
            await self._load(name if version is None else f"{name}@{version}")
            if self._wanted is not wanted:
                return
            self._put_in_force(name)

    async def _load(self, key: str) -> None:
        """Read weights from the store until it gives them, and load them."""
        while True:
            answer = await self._fetch(key)
            if isinstance(answer, Fetched):
                await asyncio.sleep(answer.units * self._engine.parameters.load_seconds_per_unit)
                return
            await asyncio.sleep(answer.seconds or RETRY_SECONDS)

    def _put_in_force(self, name: str) -> None:
        """Serve a model or adapter that has been loaded."""
        wanted = self._wanted
        held = {*self._in_force.models, *self._in_force.adapters, name}
        self._in_force = State(
            wanted.fencing,
            tuple(item for item in wanted.models if item in held),
            tuple(item for item in wanted.adapters if item in held),
            {key: value for key, value in wanted.versions.items() if key in held},
            wanted.role,
        )
        self._engine.set_models(set(self._in_force.models))

"""The end state that the configuration wants of each engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.configuration import schema
    from dragonflycove.placement import states


def find_desired_state(server: schema.Server, observed: states.EngineState) -> states.EngineState:
    """Return the end state of one engine.

    Args:
        server: The engine in the configuration.
        observed: What it serves; its adapters, versions and role are kept, for the configuration
            names none.

    Returns:
        The state.
    """
    return observed._replace(models=frozenset(server.models))


def keep_what_is_in_use(
    desired: states.EngineState, engine: states.ObservedEngine
) -> states.EngineState:
    """Return a state that drops nothing from an engine that runs streams.

    Args:
        desired: The state wanted.
        engine: The engine.

    Returns:
        The wanted state, with what the engine serves now added unless it is drained.
    """
    if engine.running == 0:
        return desired
    return desired._replace(
        models=desired.models | engine.state.models,
        adapters=desired.adapters | engine.state.adapters,
    )

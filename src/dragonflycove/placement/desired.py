"""Desired state of each engine by the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dragonflycove.configuration import schema
    from dragonflycove.placement import states


def find_desired_state(server: schema.Server, observed: states.EngineState) -> states.EngineState:
    """Return the desired state of one engine.

    Args:
        server: The engine in the configuration.
        observed: What the engine serves now. Its adapters, versions and role are kept, since the
            configuration does not set them.

    Returns:
        The observed state with the configured models.
    """
    return observed._replace(models=frozenset(server.models))


def keep_loaded_while_running(
    desired: states.EngineState, engine: states.ObservedEngine
) -> states.EngineState:
    """Return a desired state that unloads nothing while the engine runs streams.

    Args:
        desired: The desired state.
        engine: The engine.

    Returns:
        The desired state; while streams run, with all loaded models and adapters added.
    """
    if engine.running == 0:
        return desired
    return desired._replace(
        models=desired.models | engine.state.models,
        adapters=desired.adapters | engine.state.adapters,
    )

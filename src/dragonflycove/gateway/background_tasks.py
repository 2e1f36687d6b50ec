"""Runs a node's background tasks, and restarts those that an exception ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

RESTART_SECONDS = 0.2
"""Time from a task's end by an exception to its restart."""

FAILURES_UNTIL_FAILING = 3
"""Ends by exceptions in a row from which on a task counts as failing."""

SOUND_SECONDS = 3.0
"""Time for which a restarted task must run for its earlier ends not to count any more."""


class _TaskState:
    """Ends of one task by exceptions."""

    __slots__ = ("failed_at", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.failed_at = 0.0


class BackgroundTasks:
    """The background tasks of a node, by their names."""

    def __init__(self) -> None:
        """Create without tasks."""
        self._tasks: list[asyncio.Task[None]] = []
        self._state_by_name: dict[str, _TaskState] = {}

    def start(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a task until it returns or is cancelled.

        Args:
            name: Name of the task, for the log.
            run: Returns the task's coroutine; called again for each restart.
        """
        self._state_by_name[name] = _TaskState()
        self._tasks.append(asyncio.ensure_future(self._run(name, run)))

    async def _run(self, name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
        state = self._state_by_name[name]
        loop = asyncio.get_running_loop()
        while True:
            try:
                await run()
                return
            except Exception as error:
                if loop.time() - state.failed_at > SOUND_SECONDS:
                    state.failures = 0
                state.failures += 1
                state.failed_at = loop.time()
                logs.exception(error, task=name, failures=state.failures)
            await asyncio.sleep(RESTART_SECONDS)

    def is_failing(self, name: str) -> bool:
        """Whether exceptions end a task again and again.

        Args:
            name: Name of the task.
        """
        state = self._state_by_name.get(name)
        return (
            state is not None
            and state.failures >= FAILURES_UNTIL_FAILING
            and asyncio.get_running_loop().time() - state.failed_at <= SOUND_SECONDS
        )

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

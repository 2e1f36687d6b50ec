"""Mailboxes and task groups for tasks that own their state and exchange messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine

Message = TypeVar("Message")
"""Union of the message types that a task handles."""


class Mailbox(Generic[Message]):
    """An unbounded queue of messages to one task; posting never blocks."""

    def __init__(self) -> None:
        """Create an empty mailbox."""
        self._queue: asyncio.Queue[Message] = asyncio.Queue()

    def post(self, message: Message) -> None:
        """Queue a message without waiting.

        Args:
            message: The message.
        """
        self._queue.put_nowait(message)

    async def receive(self, timeout_seconds: float | None = None) -> Message | None:
        """Wait for the next message.

        Args:
            timeout_seconds: Timeout; `None` waits without limit, 0 or less does not wait.

        Returns:
            The message, or `None` after the timeout.
        """
        if timeout_seconds is None:
            return await self._queue.get()
        try:
            async with asyncio.timeout(max(0.0, timeout_seconds)):
                return await self._queue.get()
        except TimeoutError:
            return None

    def take_ready(self) -> list[Message]:
        """Return all queued messages without waiting; empty if there are none."""
        messages = []
        while not self._queue.empty():
            messages.append(self._queue.get_nowait())
        return messages


class TaskGroup:
    """Running asyncio tasks of one owner; a task that raises sets an event to stop the node."""

    def __init__(self, task_failed: asyncio.Event) -> None:
        """Create an empty group.

        Args:
            task_failed: Set when a task ends by an exception.
        """
        self._tasks: set[asyncio.Task[None]] = set()
        self._task_failed = task_failed

    def start(self, name: str, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Start a task.

        Args:
            name: Name of the task in logs.
            work: Coroutine that the task runs.

        Returns:
            The started task.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logs.warning("task_broken", task=task.get_name(), error=repr(error))
            logs.exception(error)
            self._task_failed.set()

    async def stop(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

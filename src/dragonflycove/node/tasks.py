"""Tasks that own their state and talk by messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine

Message = TypeVar("Message")
"""The union of messages that a task takes."""


class Mailbox(Generic[Message]):
    """An unbounded queue of messages to one task; senders never wait."""

    def __init__(self) -> None:
        """Create an empty mailbox."""
        self._queue: asyncio.Queue[Message] = asyncio.Queue()

    def post(self, message: Message) -> None:
        """Leave a message for the task.

        Args:
            message: The message.
        """
        self._queue.put_nowait(message)

    async def receive(self, timeout_seconds: float | None = None) -> Message | None:
        """Wait for the next message.

        Args:
            timeout_seconds: Longest wait, seconds; `None` to wait for ever.

        Returns:
            The message, or `None` when the time is up.
        """
        if timeout_seconds is None:
            return await self._queue.get()
        try:
            async with asyncio.timeout(max(0.0, timeout_seconds)):
                return await self._queue.get()
        except TimeoutError:
            return None

    def take_ready(self) -> list[Message]:
        """Return the messages that are already there, without waiting."""
        messages = []
        while not self._queue.empty():
            messages.append(self._queue.get_nowait())
        return messages


class TaskGroup:
    """The running tasks of one owner; a task that raises stops the process."""

    def __init__(self, on_broken: asyncio.Event) -> None:
        """Create an empty group.

        Args:
            on_broken: Set when a task ends by an exception.
        """
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_broken = on_broken

    def start(self, name: str, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Start a task.

        Args:
            name: Name of the task, for the logs.
            work: What it runs.

        Returns:
            The task.
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
            self._on_broken.set()

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

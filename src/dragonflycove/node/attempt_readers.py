"""Readers of the engine connections of one request's attempts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.backends import engine_stream
from dragonflycove.node import request_messages, tasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class AttemptReaders:
    """Reads each attempt's newest connection and posts its events to the request's task."""

    def __init__(self, mailbox: tasks.Mailbox[request_messages.RequestMessage]) -> None:
        """Create the readers of one request.

        Args:
            mailbox: Mailbox of the request's task.
        """
        self._mailbox = mailbox
        self._readers_by_attempt: dict[str, asyncio.Task[None]] = {}

    def attempts(self) -> tuple[str, ...]:
        """Return the identifiers of the attempts whose connections are being read."""
        return tuple(self._readers_by_attempt)

    def start(
        self, attempt: str, connection: int, events: AsyncIterator[engine_stream.StreamEvent]
    ) -> None:
        """Start reading a connection; the attempt's older connection is closed.

        Args:
            attempt: Identifier of the attempt.
            connection: Number of the connection within the attempt; 0 is the first, others resume.
            events: Events of the connection.
        """
        self.stop(attempt)
        reader = asyncio.create_task(self._read(attempt, connection, events))
        self._readers_by_attempt[attempt] = reader

    def stop(self, attempt: str) -> None:
        """Close an attempt's connection, if it has one.

        Args:
            attempt: Identifier of the attempt.
        """
        reader = self._readers_by_attempt.pop(attempt, None)
        if reader is not None:
            reader.cancel()

    def report_unreachable(self, attempt: str, connection: int, detail: str) -> None:
        """Post that a connection could not be made.

        Args:
            attempt: Identifier of the attempt.
            connection: Number of the connection within the attempt; 0 is the first, others resume.
            detail: One sentence for logs.
        """
        kind = engine_stream.StreamFailureKind.UNREACHABLE
        self._post(attempt, connection, engine_stream.StreamFailed(kind, False, detail))

    async def close(self) -> None:
        """Close every connection and wait until the readers have ended."""
        readers = list(self._readers_by_attempt.values())
        for reader in readers:
            reader.cancel()
        await asyncio.gather(*readers, return_exceptions=True)

    async def _read(
        self, attempt: str, connection: int, events: AsyncIterator[engine_stream.StreamEvent]
    ) -> None:
        async for event in events:
            self._post(attempt, connection, event)

    def _post(self, attempt: str, connection: int, event: engine_stream.StreamEvent) -> None:
        self._mailbox.post(request_messages.EngineEvent(attempt, connection, event))

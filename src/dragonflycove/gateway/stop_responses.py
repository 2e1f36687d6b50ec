"""Responds to the requests that nothing was responded to when the node ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding, relaying
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.gateway import caller_responses, callers

RETRY_AFTER_SECONDS = 0.1
"""Retry-after of requests that were not passed on; another node may serve them at once."""


class StopResponder:
    """Serves requests by another handler, until the node ends."""

    def __init__(self, handler: callers.Handler) -> None:
        """Create a responder without requests.

        Args:
            handler: Serves the requests.
        """
        self._handler = handler
        self._response_by_task: dict[asyncio.Task[None], caller_responses.CallerResponse] = {}
        self._ended_tasks: set[asyncio.Task[None]] = set()

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Serve a request and write its response.

        Args:
            request: The request.
            response: The response to it.
        """
        task = asyncio.current_task()
        assert task is not None
        self._response_by_task[task] = response
        try:
            await self._handler.serve(request, response)
        except asyncio.CancelledError:
            if task not in self._ended_tasks or response.is_started:
                raise
            task.uncancel()
            # A request that was passed on may have run, which 503 would deny.
            final = (
                forwarding.FinalResponse(504, relaying.STOPPING, None)
                if response.is_passed_on
                else forwarding.FinalResponse(503, relaying.STOPPING, RETRY_AFTER_SECONDS)
            )
            logs.event(
                "failed" if response.is_passed_on else "refused",
                request=request.attempt_id,
                status=final.status,
                reason=final.reason,
                retry_after=final.retry_after_seconds or 0.0,
            )
            await response.write_refusal(final)
        finally:
            del self._response_by_task[task]
            self._ended_tasks.discard(task)

    def end_unstarted(self) -> None:
        """End the requests whose responses haven't begun, with a final response."""
        for task, response in self._response_by_task.items():
            if not response.is_started and task not in self._ended_tasks:
                self._ended_tasks.add(task)
                task.cancel()

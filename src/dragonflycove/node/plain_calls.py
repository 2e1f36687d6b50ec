"""Runs idempotent calls to plain services, with a bounded number of attempts."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import result

from dragonflycove.backends import plain_client
from dragonflycove.callers import gateway
from dragonflycove.routing import plain_choice
from dragonflycove.telemetry import logs
from dragonflycove.values import outcomes

if TYPE_CHECKING:
    from dragonflycove.configuration import schema
    from dragonflycove.node import node_context
    from dragonflycove.values import requests

MAX_ATTEMPTS = 3
"""Maximum attempts at an idempotent call, including the first."""

RETRY_AFTER_SECONDS = 1.0
"""Retry-after of calls that no server could run."""

NO_SERVER = outcomes.Refused(
    outcomes.Reason.NO_SERVER, "no server of the service is free", RETRY_AFTER_SECONDS
)
"""Refusal if no server of the service accepts new work and has a free slot."""


class PlainCalls:
    """Chooses servers for calls to plain services and runs the idempotent ones."""

    def __init__(self, context: node_context.NodeContext) -> None:
        """Create the runner with no call in flight.

        Args:
            context: State shared by the node's tasks.
        """
        self._context = context
        self._in_flight_by_server: collections.Counter[str] = collections.Counter()

    def rank(self, service: str, excluded: frozenset[str]) -> list[schema.Server]:
        """Rank the servers that may receive a call to a service now.

        Args:
            service: Name of the service.
            excluded: Identifiers of servers not to use.

        Returns:
            The servers, the best first.
        """
        return plain_choice.rank_plain_servers(
            self._context.configuration,
            service,
            self._context.settings.zone,
            self._in_flight_by_server,
            excluded,
            self._context.rng,
        )

    async def run_idempotent(
        self,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> gateway.ServiceResponse:
        """Run a call that is safe to retry.

        Args:
            call: The call.
            headers: HTTP headers to forward.
            body: Request body to forward.

        Returns:
            The service's response, or the outcome of a call without one.
        """
        loop = asyncio.get_running_loop()
        excluded: frozenset[str] = frozenset()
        failed: outcomes.Refused | outcomes.Failed = NO_SERVER
        for attempt in range(MAX_ATTEMPTS):
            ranked = self.rank(call.service, excluded)
            if not ranked or loop.time() >= call.deadline:
                break
            server = ranked[0]
            remaining = call.deadline - loop.time()
            is_last = attempt == MAX_ATTEMPTS - 1 or len(ranked) == 1
            timeout = remaining if is_last else remaining / 2
            attempt_result = await self._send(server, call, headers, body, timeout, attempt > 0)
            if isinstance(attempt_result, result.Ok):
                response = attempt_result.ok_value
                self._context.metrics.answered("plain")
                return gateway.ServiceResponse(
                    outcomes.Answered(response.status),
                    response.status,
                    response.headers,
                    response.body,
                )
            excluded |= {server.server_id}
            failed = _classify_failure(attempt_result.err_value, failed)
            logs.event("call_attempt_failed", server=server.server_id, reason=failed.reason.value)
            if not is_last:
                self._context.metrics.retried(failed.reason)
        return gateway.ServiceResponse(failed)

    async def _send(
        self,
        server: schema.Server,
        call: requests.ServiceCall,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_seconds: float,
        fresh_connection: bool,
    ) -> result.Result[plain_client.PlainResponse, plain_client.PlainError]:
        self._in_flight_by_server[server.server_id] += 1
        try:
            return await self._context.plain.call(
                server.address,
                call.method,
                call.path,
                headers,
                body,
                timeout_seconds,
                fresh_connection,
            )
        finally:
            self._in_flight_by_server[server.server_id] -= 1


def _classify_failure(
    error: plain_client.PlainError, previous: outcomes.Refused | outcomes.Failed
) -> outcomes.Failed:
    """Return the outcome of a call whose last attempt got no response.

    The call may have run if any of its attempts may have run.
    """
    if isinstance(error, plain_client.NotSent):
        reason, ran = outcomes.Reason.BACKEND_UNREACHABLE, outcomes.Execution.NOT_RUN
    elif error.timed_out:
        reason, ran = outcomes.Reason.BACKEND_SILENT, outcomes.Execution.MAY_HAVE_RUN
    else:
        reason, ran = outcomes.Reason.BACKEND_CRASHED, outcomes.Execution.MAY_HAVE_RUN
    if isinstance(previous, outcomes.Failed) and previous.ran is outcomes.Execution.MAY_HAVE_RUN:
        ran = previous.ran
    return outcomes.Failed(reason, error.reason, ran, RETRY_AFTER_SECONDS)

"""Which requests a stopping node still serves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import catalog
from dragonflycove.gateway import run_times

if TYPE_CHECKING:
    from dragonflycove.fleet import forwarding
    from dragonflycove.gateway import request_context, send_values


class StopLimits:
    """Times up to which a stopping node accepts requests and responds to them."""

    def __init__(self) -> None:
        """Create the limits of a node that is not stopping."""
        self.run_times = run_times.RunTimes()
        """How long attempts have taken lately."""
        self.accept_streams_until = float("inf")
        """Loop time after which new streams are refused; inf unless this node is stopping."""
        self.accept_requests_until = float("inf")
        """Loop time after which all requests are refused; inf unless this node is stopping."""
        self.respond_until = float("inf")
        """Loop time by which responses must be complete; inf unless this node is stopping."""

    def is_accepted(
        self,
        route: catalog.Route,
        request: forwarding.CallerRequest,
        limit_seconds: float,
        now: float,
    ) -> bool:
        """Whether a new request is accepted.

        Args:
            route: Its route.
            request: The request.
            limit_seconds: Time that it has.
            now: Loop time.
        """
        is_streaming = route.kind is catalog.CallKind.STREAMING
        accept_until = self.accept_streams_until if is_streaming else self.accept_requests_until
        return now <= accept_until and self._has_time(route, request, limit_seconds, now)

    def has_time_left(
        self, context: request_context.RequestContext, progress: send_values.StreamProgress
    ) -> bool:
        """Whether an attempt that begins now is accepted; one that goes on with a stream is.

        Args:
            context: The request.
            progress: Position in the caller's stream over all attempts.
        """
        now = asyncio.get_running_loop().time()
        seconds_left = context.deadline_at - now
        return bool(progress.relayed_events) or self._has_time(
            context.route, context.request, seconds_left, now
        )

    def _has_time(
        self,
        route: catalog.Route,
        request: forwarding.CallerRequest,
        limit_seconds: float,
        now: float,
    ) -> bool:
        """Whether a request that begins to run now is expected to end before the node does."""
        if self.respond_until == float("inf"):
            return True
        expected = self.run_times.expected_seconds(route, request, limit_seconds, now)
        return now + expected <= self.respond_until

"""Hears what servers' responses state about the servers themselves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.gateway import limit_watch
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import catalog, forwarding, server_rests
    from dragonflycove.gateway import leaving_exchange

REFUSAL_STATUS = 503
"""Status of a response by which a server turns a request away."""


class HeadWatch:
    """Passes on the statements of response heads: limits of requests a second, rest and leaving."""

    def __init__(
        self,
        limits: limit_watch.LimitWatch,
        rests: server_rests.ServerRests,
        leaving: leaving_exchange.LeavingExchange,
    ) -> None:
        """Create a watch.

        Args:
            limits: Keeps the limits that servers state.
            rests: Keeps which servers want no requests from this node.
            leaving: Keeps which servers leave.
        """
        self._leaving = leaving
        self._limits = limits
        self._rests = rests

    def on_head(
        self,
        server: catalog.BackendServer,
        head: forwarding.ResponseHead,
        sent_at: float,
        helpers: Iterable[catalog.BackendServer] = (),
    ) -> None:
        """Hear what a response states of its server.

        Args:
            server: The server that responded.
            head: Head of the response.
            sent_at: Loop time at which the request was sent.
            helpers: Servers that it was asked to let help.
        """
        self._limits.on_head(server.instance, head, sent_at)
        self.on_any_head(server, head)
        now = asyncio.get_running_loop().time()
        seconds = head.retry_after_seconds or 0.0
        if head.status != REFUSAL_STATUS or seconds <= 0:
            self._rests.on_response(server.instance, now)
            return
        # The server speaks for a helper that it names as being at fault, and for itself.
        asking = [server, *(one for one in helpers if one.address == head.faulty_address)]
        for one in asking:
            if self._rests.on_asked(one.instance, seconds, now):
                logs.event(
                    "server_rests",
                    server=one.instance.server_id,
                    born=one.instance.started_at_ms,
                    seconds=seconds,
                    resting=len(self._rests),
                )

    def on_any_head(self, server: catalog.BackendServer, head: forwarding.ResponseHead) -> None:
        """Hear whether a server leaves, in a response to any request, also one that came late.

        Args:
            server: The server that the connection leads to.
            head: Head of the response.
        """
        # Another server responds 421 at an address that is used again.
        if head.is_leaving and head.status != limit_watch.WRONG_INSTANCE_STATUS:
            self._leaving.on_leaving(server)

"""Reads the rate limits that servers state in their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dragonflycove.fleet import server_limits
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, forwarding
    from dragonflycove.gateway import limit_exchange

WRONG_INSTANCE_STATUS = 421
"""Status of a response that comes from another server than the expected one."""


class LimitWatch:
    """Keeps the limits that this node's attempts come to know."""

    def __init__(
        self, limits: server_limits.ServerLimits, exchange: limit_exchange.LimitExchange
    ) -> None:
        """Create a watch.

        Args:
            limits: Limits that this node knows.
            exchange: Tells changed limits to the other nodes.
        """
        self._limits = limits
        self._exchange = exchange

    def on_head(
        self, instance: catalog.Instance, head: forwarding.ResponseHead, sent_at: float
    ) -> None:
        """Record what a response states of its server's limit.

        Args:
            instance: The server.
            head: Head of the response.
            sent_at: Loop time at which the request was sent.
        """
        if head.status == WRONG_INSTANCE_STATUS or not head.rate_limit.is_readable:
            return
        limit = head.rate_limit.requests_per_second
        # Only the server itself can end its limit, not what answers in its place.
        if limit is None and not head.is_signed:
            return
        at = sent_at if limit is None else asyncio.get_running_loop().time()
        statement = server_limits.Statement(instance, limit, at)
        if self._limits.add(statement):
            self._on_change(statement)

    def _on_change(self, statement: server_limits.Statement) -> None:
        logs.event(
            "server_limit",
            server=statement.instance.server_id,
            born=statement.instance.started_at_ms,
            limit=statement.requests_per_second,
            limited=len(self._limits),
        )
        self._exchange.report(statement)

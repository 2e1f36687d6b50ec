"""Serves the requests that other nodes relay because they reach no server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import catalog, forwarding, relaying
from dragonflycove.fleet.memory import connection_limit
from dragonflycove.gateway import caller_responses, callers, relay_codec, relay_reports
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.fleet import host_settings, roster
    from dragonflycove.gateway import forwarder

MAX_ACTIVE_PER_CORE = 200
"""Maximum relayed requests that are served at once, per CPU core."""

MAX_BODY_BYTES = 67_108_864
"""Minimum of the limit on a relayed request's body, which its own node has compared with its limit."""

RETRY_AFTER_SECONDS = 0.5
"""Retry-after of refusals; the relaying node turns to another one at once."""


class RelayListener:
    """Accepts connections from other nodes, and serves their requests as those of callers."""

    def __init__(
        self,
        settings: host_settings.HostSettings,
        nodes: roster.Roster,
        request_forwarder: forwarder.Forwarder,
        limits: Callable[[], catalog.CallerLimits],
        accounting: callers.Accounting | None,
    ) -> None:
        """Create a listener that does not listen yet.

        Args:
            settings: Settings of this node.
            nodes: The other nodes; requests from anywhere else are refused.
            request_forwarder: Serves the requests.
            limits: Returns the callers' limits of the configuration in force.
            accounting: How held bytes are accounted for; None if they are not.
        """
        self._address = settings.relay_address
        self._max_active = max(1, int(MAX_ACTIVE_PER_CORE * settings.cores))
        self._nodes = nodes
        self._forwarder = request_forwarder
        self._limits = limits
        max_connections = connection_limit.max_connections(
            connection_limit.Port.RELAYS, settings.max_descriptors, settings.memory_bytes
        )
        self.connections = callers.CallerListener(
            self, self._relay_limits, accounting, max_connections
        )
        """Connections from other nodes."""
        self._active = 0

    def _relay_limits(self) -> catalog.CallerLimits:
        """Return limits that no request exceeds which the relaying node has accepted.

        That node may have another configuration.
        """
        limits, default = self._limits(), catalog.CallerLimits()
        header_bytes = max(limits.max_header_bytes, default.max_header_bytes)
        return catalog.CallerLimits(
            max_header_bytes=header_bytes + relay_codec.MAX_HEADER_BYTES,
            max_body_bytes=max(limits.max_body_bytes, MAX_BODY_BYTES),
            header_timeout_seconds=max(
                limits.header_timeout_seconds, default.header_timeout_seconds
            ),
            idle_seconds=max(limits.idle_seconds, default.idle_seconds),
            version=limits.version,
            are_defaults=limits.are_defaults,
        )

    async def listen(self) -> None:
        """Begin to accept connections."""
        await self.connections.listen(self._address)

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Serve a relayed request and write its response.

        Args:
            request: The request.
            response: The response to it.
        """
        response.refusal_header = relay_codec.REFUSAL_HEADER
        decoded = relay_codec.decode(request.headers)
        if isinstance(decoded, result.Err):
            logs.warning("relayed_request_rejected", why=decoded.err_value)
            await response.write_refusal(forwarding.FinalResponse(400, relaying.NOT_RELAYED, None))
            return
        relayed = decoded.ok_value
        member = self._nodes.member(relayed.host, relayed.incarnation)
        if member is None or member.peer_address.ip != response.sender_ip:
            logs.warning("relayed_request_rejected", why="unknown node", sender=response.sender_ip)
            await self._refuse(response, relaying.UNKNOWN_NODE)
            return
        if self._active >= self._max_active:
            await self._refuse(response, relaying.RELAY_BUSY)
            return
        self._active += 1
        try:
            response.informs = True
            # States that this node reports its attempts before it has made any.
            relay_reports.send(response, ())
            await self._forwarder.serve_relayed(
                relay_codec.without_header(request), relayed, response
            )
        finally:
            self._active -= 1

    async def _refuse(self, response: caller_responses.CallerResponse, reason: str) -> None:
        await response.write_refusal(forwarding.FinalResponse(503, reason, RETRY_AFTER_SECONDS))

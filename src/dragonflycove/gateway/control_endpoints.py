"""Control endpoints: caller directory (`/resolve`), readiness (`/readyz`) and metrics."""

from __future__ import annotations

import json
import urllib.parse
from typing import TYPE_CHECKING

from dragonflycove.fleet import forwarding
from dragonflycove.fleet.directory import entry_points

if TYPE_CHECKING:
    from collections.abc import Callable

    from dragonflycove.gateway import caller_responses

MAX_TTL_SECONDS = 2.0
"""Maximum lifetime of a directory response; three times this, as some callers keep it, is still
less than the grace time after SIGTERM."""

_JSON = [(b"Content-Type", b"application/json")]


class ControlEndpoints:
    """Serves the caller directory, the readiness check and the metrics."""

    def __init__(
        self,
        list_entry_points: Callable[[], list[entry_points.EntryPoint]],
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], tuple[bytes, str]],
        ttl_seconds: float,
        choose: Callable[
            [list[entry_points.EntryPoint], str, str], list[entry_points.EntryPoint]
        ] = entry_points.choose,
    ) -> None:
        """Create the endpoints.

        Args:
            list_entry_points: Returns the nodes that accept callers.
            is_ready: Returns whether this node accepts callers.
            render_metrics: Returns this node's metrics and their media type.
            ttl_seconds: Maximum time for which callers may keep a directory response.
            choose: Returns the nodes to list for a caller's region and zone.
        """
        self._choose = choose
        self._list_entry_points = list_entry_points
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._ttl_seconds = min(MAX_TTL_SECONDS, ttl_seconds)

    async def serve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        """Serve a request and write its response.

        Args:
            request: The request.
            response: The response to it.
        """
        if request.path == "/resolve":
            await self._resolve(request, response)
        elif request.path == "/readyz":
            await response.write_complete(200 if self._is_ready() else 503, [], b"")
        elif request.path == "/metrics":
            content, media_type = self._render_metrics()
            await response.write_complete(200, [(b"Content-Type", media_type.encode())], content)
        else:
            await response.write_refusal(forwarding.FinalResponse(404, "unknown_path", None))

    async def _resolve(
        self, request: forwarding.CallerRequest, response: caller_responses.CallerResponse
    ) -> None:
        query = urllib.parse.parse_qs(request.target.decode("latin-1").partition("?")[2])
        region = query.get("region", [""])[0]
        zone = query.get("zone", [""])[0]
        chosen = self._choose(self._list_entry_points(), region, zone)
        if not chosen:
            await response.write_refusal(forwarding.FinalResponse(503, "no_node_ready", 0.5))
            return
        addresses = [str(point.address) for point in chosen]
        body = json.dumps({"addresses": addresses, "ttl_s": self._ttl_seconds}).encode()
        await response.write_complete(200, _JSON, body)

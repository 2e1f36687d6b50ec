"""HTTP client of model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple
from urllib import parse

from dragonflycove.backends import engine_stream, engine_values
from dragonflycove.transport import exchange, sessions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp
    import result

Error = exchange.ExchangeError
"""Error of an engine call: `exchange.NotExecuted` or `exchange.OutcomeUnknown`."""


class GenerateRequest(NamedTuple):
    """A request to an engine to generate tokens for a prompt."""

    attempt: str
    """Identifier of the attempt."""

    owner: str
    """`host/incarnation` of the node that owns the attempt."""

    model: str
    """Name of the model to run."""

    prompt: str
    """Text of the prompt."""

    max_tokens: int
    """Maximum number of tokens to generate."""

    priority: int
    """Priority at the engine; 0 is the highest."""

    group: tuple[str, ...] = ()
    """Identifier of its memory group's reservation as the only item; empty without a group."""


class EngineClient:
    """Calls engines by address; sends each request at most once and never retries."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create the client; an event loop must be running.

        Args:
            session: Pooled session for all calls but streams, which get a connection each. The
                client doesn't close it.
        """
        self._session = session
        self._stream_session = sessions.open_unpooled()

    async def close(self) -> None:
        """Close the client's own session, which carries the streams."""
        await self._stream_session.close()

    def generate(
        self,
        address: str,
        generate_request: GenerateRequest,
        timeouts: engine_stream.StreamTimeouts,
    ) -> AsyncIterator[engine_stream.StreamEvent]:
        """Run a prompt and stream its output.

        Args:
            address: The engine, `a.b.c.d:port`.
            generate_request: The prompt and its parameters.
            timeouts: Timeouts of the stream.

        Returns:
            The events; the last one is `Refused`, `StreamFailed` or `Ended`. Closing the iterator
            closes the connection, but the engine runs the attempt until it is cancelled.
        """
        body: dict[str, Any] = {
            "model": generate_request.model,
            "prompt": generate_request.prompt,
            "max_tokens": generate_request.max_tokens,
            "stream": True,
            "priority": generate_request.priority,
        }
        if generate_request.group:
            body["group"] = generate_request.group
        headers = {"X-Attempt-Id": generate_request.attempt, "X-Owner": generate_request.owner}
        url = f"http://{address}/v1/completions"
        request = exchange.Request.from_json("POST", url, body, headers)
        stream = engine_stream.EngineStream(
            self._stream_session, request, generate_request.attempt, timeouts
        )
        return stream.events()

    def resume(
        self,
        address: str,
        attempt: str,
        owner: str,
        from_index: int,
        timeouts: engine_stream.StreamTimeouts,
    ) -> AsyncIterator[engine_stream.StreamEvent]:
        """Become the owner of an attempt and stream its frames, starting at an index.

        Args:
            address: The engine, `a.b.c.d:port`.
            attempt: Identifier of the attempt.
            owner: `host/incarnation` of the node that owns it from now on.
            from_index: Index of the first frame to send.
            timeouts: Timeouts of the stream.

        Returns:
            The events as from `generate`; `Refused` with status 404 if the engine does not know
            the attempt.
        """
        url = f"http://{address}/v1/streams/{_quote(attempt)}?from={from_index}"
        request = exchange.Request("GET", url, headers=(("X-Owner", owner),))
        stream = engine_stream.EngineStream(self._stream_session, request, attempt, timeouts)
        return stream.events()

    async def cancel(
        self, address: str, attempt: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Cancel an attempt and free its KV cache memory; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            attempt: Identifier of the attempt.
            timeout_seconds: Timeout of the whole call.

        Returns:
            `Ok` once the engine confirms, or the error.
        """
        return await self._delete(address, f"/v1/streams/{_quote(attempt)}", timeout_seconds)

    async def load(
        self, address: str, timeout_seconds: float
    ) -> result.Result[engine_values.EngineLoad, Error]:
        """Fetch the engine's load report.

        Args:
            address: The engine, `a.b.c.d:port`.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The load, or the error.
        """
        wire = await self._get(address, "/v1/load", engine_values.WireLoad, timeout_seconds)
        return wire.map(engine_values.parse_load)

    async def streams(
        self, address: str, timeout_seconds: float
    ) -> result.Result[engine_values.EngineStreams, Error]:
        """List the streams, exports and reservations that hold KV cache memory.

        Args:
            address: The engine, `a.b.c.d:port`.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The lists, or the error.
        """
        wire = await self._get(address, "/v1/streams", engine_values.WireStreams, timeout_seconds)
        return wire.map(engine_values.parse_streams)

    async def cache_events(
        self, address: str, from_seq: int, timeout_seconds: float
    ) -> result.Result[engine_values.CacheEvents, Error]:
        """Fetch prefix cache events, starting at a sequence number.

        Args:
            address: The engine, `a.b.c.d:port`.
            from_seq: Sequence number of the first event to fetch.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The events, or the error.
        """
        path = f"/v1/cache-events?from={from_seq}"
        wire = await self._get(address, path, engine_values.WireCacheEvents, timeout_seconds)
        return wire.map(engine_values.parse_cache_events)

    async def put_reservation(
        self,
        address: str,
        group: str,
        owner: str,
        tokens: int,
        expires_in_seconds: float,
        timeout_seconds: float,
    ) -> result.Result[None, Error]:
        """Create or renew a memory group's reservation of KV cache tokens; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            group: Identifier of the group.
            owner: `host/incarnation` of the node that owns the reservation.
            tokens: KV cache tokens to reserve.
            expires_in_seconds: Time until the reservation expires if not renewed.
            timeout_seconds: Timeout of the whole call.

        Returns:
            `Ok` once the engine confirms; `NotExecuted` with status 409 if another owner holds the
            group's reservation, and with 429 if there is not enough memory; or another error.
        """
        body = {"tokens": tokens, "owner": owner, "expires_in_seconds": expires_in_seconds}
        path = f"/v1/reservations/{_quote(group)}"
        return await self._send(address, "PUT", path, body, timeout_seconds)

    async def delete_reservation(
        self, address: str, group: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Delete a memory group's reservation; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            group: Identifier of the group.
            timeout_seconds: Timeout of the whole call.

        Returns:
            `Ok` once the engine confirms, or the error.
        """
        return await self._delete(address, f"/v1/reservations/{_quote(group)}", timeout_seconds)

    async def export_stream(
        self, address: str, attempt: str, timeout_seconds: float
    ) -> result.Result[engine_values.Export, Error]:
        """Export the KV cache of an attempt and stop running the attempt on this engine.

        Args:
            address: The engine, `a.b.c.d:port`.
            attempt: Identifier of the attempt.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The export, or the error: `NotExecuted` with status 404 for an unknown attempt and 409
            for one that is not running.
        """
        url = f"http://{address}/v1/exports/{_quote(attempt)}"
        request = exchange.Request("POST", url)
        wire = await exchange.exchange_json(
            self._session, request, engine_values.WireExportMade, timeout_seconds
        )
        return wire.map(lambda made: engine_values.Export(made["export_id"], made["tokens"]))

    async def import_stream(
        self,
        address: str,
        source: str,
        export_id: str,
        attempt: str,
        owner: str,
        timeout_seconds: float,
    ) -> result.Result[None, Error]:
        """Let an engine import an exported KV cache and continue the attempt.

        Args:
            address: The importing engine, `a.b.c.d:port`.
            source: The exporting engine, `a.b.c.d:port`.
            export_id: Identifier of the export.
            attempt: Identifier of the attempt; frames keep their indices.
            owner: `host/incarnation` of the node that owns it from now on.
            timeout_seconds: Timeout of the whole call.

        Returns:
            `Ok` once the engine confirms, or the error.
        """
        body = {"source": source, "export_id": export_id, "attempt": attempt}
        headers = {"X-Owner": owner}
        return await self._send(address, "POST", "/v1/imports", body, timeout_seconds, headers)

    async def delete_export(
        self, address: str, export_id: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Delete an export and free its memory; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            export_id: Identifier of the export.
            timeout_seconds: Timeout of the whole call.

        Returns:
            `Ok` once the engine confirms, or the error.
        """
        return await self._delete(address, f"/v1/exports/{_quote(export_id)}", timeout_seconds)

    async def put_state(
        self, address: str, state: engine_values.EngineState, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Set which models, adapters and role the engine serves.

        Args:
            address: The engine, `a.b.c.d:port`.
            state: The desired state with its fencing token.
            timeout_seconds: Timeout of the whole call.

        Returns:
            `Ok` once the engine accepts the state, or the error: `NotExecuted` with status 412 if
            the fencing token is outdated.
        """
        return await self._send(address, "PUT", "/v1/state", state._asdict(), timeout_seconds)

    async def get_state(
        self, address: str, timeout_seconds: float
    ) -> result.Result[engine_values.EngineState, Error]:
        """Fetch the state that the engine serves.

        Args:
            address: The engine, `a.b.c.d:port`.
            timeout_seconds: Timeout of the whole call.

        Returns:
            The state, or the error.
        """
        wire = await self._get(address, "/v1/state", engine_values.WireState, timeout_seconds)
        return wire.map(engine_values.parse_state)

    async def _get(
        self, address: str, path: str, shape: type[exchange.T], timeout_seconds: float
    ) -> result.Result[exchange.T, Error]:
        """Send a GET request and decode the JSON response."""
        request = exchange.Request("GET", f"http://{address}{path}")
        return await exchange.exchange_json(self._session, request, shape, timeout_seconds)

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any],
        timeout_seconds: float,
        headers: dict[str, str] | None = None,
    ) -> result.Result[None, Error]:
        """Send a JSON body; only the status of the response matters."""
        request = exchange.Request.from_json(method, f"http://{address}{path}", body, headers)
        response = await exchange.exchange(self._session, request, timeout_seconds)
        return response.and_then(exchange.check_status).map(lambda _: None)

    async def _delete(
        self, address: str, path: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Send a DELETE request; only the status of the response matters."""
        request = exchange.Request("DELETE", f"http://{address}{path}")
        response = await exchange.exchange(self._session, request, timeout_seconds)
        return response.and_then(exchange.check_status).map(lambda _: None)


def _quote(identifier: str) -> str:
    """Percent-encode an identifier as one segment of a URL path."""
    return parse.quote(identifier, safe="")

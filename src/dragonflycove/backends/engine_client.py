"""Client of model engines."""

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
"""Why an order or a report gave nothing: `exchange.NotExecuted` or `exchange.OutcomeUnknown`."""


class GenerateRequest(NamedTuple):
    """A prompt to run."""

    attempt: str
    """Identifier of the attempt."""

    owner: str
    """`host/incarnation` of the node that owns it."""

    model: str
    """Name of the model."""

    prompt: str
    """The prompt."""

    max_tokens: int
    """Most tokens to generate."""

    priority: int
    """Priority at the engine; a lower value goes first."""

    group: tuple[str, ...] = ()
    """Identifier of its memory group's reservation; empty for none."""


class EngineClient:
    """Talks to any engine by its address; it sends each request at most once."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create the client inside a running loop.

        Args:
            session: Where connections for reports and orders come from; stays the caller's to
                close. A stream always has a connection of its own.
        """
        self._session = session
        self._stream_session = sessions.open_unpooled()

    async def close(self) -> None:
        """Close the connections that the client has made itself."""
        await self._stream_session.close()

    def generate(
        self, address: str, order: GenerateRequest, timeouts: engine_stream.StreamTimeouts
    ) -> AsyncIterator[engine_stream.StreamEvent]:
        """Run a prompt.

        Args:
            address: The engine, `a.b.c.d:port`.
            order: The prompt.
            timeouts: Bounds on the stream.

        Returns:
            The events, the last one terminal. Closing the iterator drops the connection; the
            engine goes on with the attempt until it is cancelled.
        """
        body: dict[str, Any] = {
            "model": order.model,
            "prompt": order.prompt,
            "max_tokens": order.max_tokens,
            "stream": True,
            "priority": order.priority,
        }
        if order.group:
            body["group"] = order.group
        headers = {"X-Attempt-Id": order.attempt, "X-Owner": order.owner}
        url = f"http://{address}/v1/completions"
        request = exchange.Request.from_json("POST", url, body, headers)
        stream = engine_stream.EngineStream(self._stream_session, request, order.attempt, timeouts)
        return stream.events()

    def resume(
        self,
        address: str,
        attempt: str,
        owner: str,
        from_index: int,
        timeouts: engine_stream.StreamTimeouts,
    ) -> AsyncIterator[engine_stream.StreamEvent]:
        """Take over an attempt and read its frames from an index on.

        Args:
            address: The engine, `a.b.c.d:port`.
            attempt: Identifier of the attempt.
            owner: `host/incarnation` of the node that owns it from now on.
            from_index: Index of the first frame wanted.
            timeouts: Bounds on the stream.

        Returns:
            The events, the last one terminal; `Refused` with status 404 if the engine does not
            know the attempt.
        """
        url = f"http://{address}/v1/streams/{_quote(attempt)}?from={from_index}"
        request = exchange.Request("GET", url, headers=(("X-Owner", owner),))
        stream = engine_stream.EngineStream(self._stream_session, request, attempt, timeouts)
        return stream.events()

    async def cancel(
        self, address: str, attempt: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Cancel an attempt and free its memory; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            attempt: Identifier of the attempt.
            timeout_seconds: Bound on the whole call.

        Returns:
            Nothing once it is cancelled, or why that is not confirmed.
        """
        return await self._delete(address, f"/v1/streams/{_quote(attempt)}", timeout_seconds)

    async def load(
        self, address: str, timeout_seconds: float
    ) -> result.Result[engine_values.EngineLoad, Error]:
        """Read the load.

        Args:
            address: The engine, `a.b.c.d:port`.
            timeout_seconds: Bound on the whole call.

        Returns:
            The load, or why there is none.
        """
        wire = await self._get(address, "/v1/load", engine_values.WireLoad, timeout_seconds)
        return wire.map(engine_values.read_load)

    async def streams(
        self, address: str, timeout_seconds: float
    ) -> result.Result[engine_values.EngineStreams, Error]:
        """Read all that holds memory.

        Args:
            address: The engine, `a.b.c.d:port`.
            timeout_seconds: Bound on the whole call.

        Returns:
            Streams, exports and reservations, or why there is no answer.
        """
        wire = await self._get(address, "/v1/streams", engine_values.WireStreams, timeout_seconds)
        return wire.map(engine_values.read_streams)

    async def cache_events(
        self, address: str, from_seq: int, timeout_seconds: float
    ) -> result.Result[engine_values.CacheEvents, Error]:
        """Read changes of the prefix cache from a sequence number on.

        Args:
            address: The engine, `a.b.c.d:port`.
            from_seq: The sequence number.
            timeout_seconds: Bound on the whole call.

        Returns:
            The changes, or why there are none.
        """
        path = f"/v1/cache-events?from={from_seq}"
        wire = await self._get(address, path, engine_values.WireCacheEvents, timeout_seconds)
        return wire.map(engine_values.read_cache_events)

    async def put_reservation(
        self,
        address: str,
        group: str,
        owner: str,
        tokens: int,
        expires_in_seconds: float,
        timeout_seconds: float,
    ) -> result.Result[None, Error]:
        """Reserve memory for a memory group, or renew the reservation; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            group: Identifier of the group.
            owner: `host/incarnation` of the node that owns it.
            tokens: Memory to reserve, tokens.
            expires_in_seconds: Time after which the reservation lapses.
            timeout_seconds: Bound on the whole call.

        Returns:
            `NotExecuted` with status 409 if another owner holds the group's reservation, and with 429
            if there is not enough memory.
        """
        body = {"tokens": tokens, "owner": owner, "expires_in_seconds": expires_in_seconds}
        path = f"/v1/reservations/{_quote(group)}"
        return await self._send(address, "PUT", path, body, timeout_seconds)

    async def delete_reservation(
        self, address: str, group: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Give up a memory group's reservation; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            group: Identifier of the group.
            timeout_seconds: Bound on the whole call.

        Returns:
            Nothing once it is given up, or why that is not confirmed.
        """
        return await self._delete(address, f"/v1/reservations/{_quote(group)}", timeout_seconds)

    async def export_stream(
        self, address: str, attempt: str, timeout_seconds: float
    ) -> result.Result[engine_values.Export, Error]:
        """Export the KV cache of an attempt, which then runs no further on this engine.

        Args:
            address: The engine, `a.b.c.d:port`.
            attempt: Identifier of the attempt.
            timeout_seconds: Bound on the whole call.

        Returns:
            The export, or why there is none; `NotExecuted` with status 404 for an unknown attempt
            and 409 for one that is not running.
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
        """Fetch an exported KV cache from another engine and go on with the attempt here.

        Args:
            address: The engine that imports, `a.b.c.d:port`.
            source: The engine that exported, `a.b.c.d:port`.
            export_id: Identifier of the export.
            attempt: Identifier of the attempt; frames keep their indices.
            owner: `host/incarnation` of the node that owns it from now on.
            timeout_seconds: Bound on the whole call.

        Returns:
            Nothing, or why the import was not confirmed.
        """
        body = {"source": source, "export_id": export_id, "attempt": attempt}
        headers = {"X-Owner": owner}
        return await self._send(address, "POST", "/v1/imports", body, timeout_seconds, headers)

    async def delete_export(
        self, address: str, export_id: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Drop an export; idempotent.

        Args:
            address: The engine, `a.b.c.d:port`.
            export_id: Identifier of the export.
            timeout_seconds: Bound on the whole call.

        Returns:
            Nothing once it is dropped, or why that is not confirmed.
        """
        return await self._delete(address, f"/v1/exports/{_quote(export_id)}", timeout_seconds)

    async def put_state(
        self, address: str, state: engine_values.EngineState, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Order a state.

        Args:
            address: The engine, `a.b.c.d:port`.
            state: The state that is wanted.
            timeout_seconds: Bound on the whole call.

        Returns:
            Nothing once the order is taken, or why that is not confirmed; `NotExecuted` with status
            412 if the fencing number is old.
        """
        return await self._send(address, "PUT", "/v1/state", state._asdict(), timeout_seconds)

    async def get_state(
        self, address: str, timeout_seconds: float
    ) -> result.Result[engine_values.EngineState, Error]:
        """Read the state in force.

        Args:
            address: The engine, `a.b.c.d:port`.
            timeout_seconds: Bound on the whole call.

        Returns:
            The state, or why there is none.
        """
        wire = await self._get(address, "/v1/state", engine_values.WireState, timeout_seconds)
        return wire.map(engine_values.read_state)

    async def _get(
        self, address: str, path: str, shape: type[exchange.T], timeout_seconds: float
    ) -> result.Result[exchange.T, Error]:
        """Read and decode a report."""
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
        """Send an order whose answer has no content that matters."""
        request = exchange.Request.from_json(method, f"http://{address}{path}", body, headers)
        reply = await exchange.exchange(self._session, request, timeout_seconds)
        return reply.and_then(exchange.check_status).map(lambda _: None)

    async def _delete(
        self, address: str, path: str, timeout_seconds: float
    ) -> result.Result[None, Error]:
        """Send an idempotent deletion."""
        request = exchange.Request("DELETE", f"http://{address}{path}")
        reply = await exchange.exchange(self._session, request, timeout_seconds)
        return reply.and_then(exchange.check_status).map(lambda _: None)


def _quote(identifier: str) -> str:
    """Return an identifier as one segment of a path."""
    return parse.quote(identifier, safe="")

"""HTTP interface of the log service's stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

import msgspec
from starlette import routing

from dragonflycove.standins import log_service, serving

if TYPE_CHECKING:
    from starlette import requests, responses

DEFAULT_PAGE_RECORDS = 1000
"""Most records in one page where the reader states no limit."""


class _AppendBody(TypedDict):
    """Body of an append."""

    records: list[dict[str, Any]]


class LogApp:
    """Translates between HTTP and the log."""

    def __init__(self, log: log_service.LogService) -> None:
        """Create the interface of a log."""
        self._log = log

    def standin(self) -> serving.Standin:
        """Return the stand-in."""
        path = "/v1/streams/{stream}/records"
        routes: list[routing.BaseRoute] = [
            routing.Route(path, self._append, methods=["POST"]),
            routing.Route(path, self._read, methods=["GET"]),
        ]
        return serving.Standin(routes, self._log.activity)

    async def _append(self, request: requests.Request) -> responses.Response:
        """Append the records in the body."""
        try:
            body = msgspec.json.decode(await request.body(), type=_AppendBody)
        except msgspec.MsgspecError as error:
            return serving.json_response({"error": str(error)}, 400)
        answer = self._log.append(request.path_params["stream"], body["records"])
        if isinstance(answer, log_service.RateLimited):
            headers = {"Retry-After": f"{answer.retry_after_seconds:.3f}"}
            return serving.json_response({"error": "over the rate"}, 429, headers)
        return serving.json_response({"first_offset": answer, "count": len(body["records"])})

    async def _read(self, request: requests.Request) -> responses.Response:
        """Give records, after a wait if there are none yet."""
        stream = request.path_params["stream"]
        try:
            from_offset = int(request.query_params.get("from", "0"))
            limit = int(request.query_params.get("limit", str(DEFAULT_PAGE_RECORDS)))
            wait_seconds = float(request.query_params.get("wait", "0"))
        except ValueError as error:
            return serving.json_response({"error": str(error)}, 400)
        await self._log.wait(stream, from_offset, wait_seconds)
        page = self._log.read(stream, from_offset, limit)
        return serving.json_response(
            {
                "first_retained": page.first_retained,
                "next": page.next_offset,
                "records": [record._asdict() for record in page.records],
            }
        )

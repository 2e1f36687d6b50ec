"""HTTP interface of the stand-in log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

import msgspec
from starlette import routing

from dragonflycove.standins import log_service, serving

if TYPE_CHECKING:
    from starlette import requests, responses

DEFAULT_PAGE_RECORDS = 1000
"""Maximum number of records in a page if the request has no `limit`."""


class _AppendBody(TypedDict):
    """Body of a request to append records."""

    records: list[dict[str, Any]]


class LogApp:
    """Serves a `LogService` over HTTP."""

    def __init__(self, log: log_service.LogService) -> None:
        """Create the HTTP interface of a log."""
        self._log = log

    def standin(self) -> serving.Standin:
        """Return the stand-in to be served."""
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
        appended = self._log.append(request.path_params["stream"], body["records"])
        if isinstance(appended, log_service.RateLimited):
            headers = {"Retry-After": f"{appended.retry_after_seconds:.3f}"}
            return serving.json_response({"error": "over the rate"}, 429, headers)
        return serving.json_response({"first_offset": appended, "count": len(body["records"])})

    async def _read(self, request: requests.Request) -> responses.Response:
        """Return a page of records; wait up to the time in the query for the first one."""
        stream = request.path_params["stream"]
        try:
            from_offset = int(request.query_params.get("from", "0"))
            limit = int(request.query_params.get("limit", str(DEFAULT_PAGE_RECORDS)))
            wait_seconds = float(request.query_params.get("wait", "0"))
        except ValueError as error:
            return serving.json_response({"error": str(error)}, 400)
        await self._log.wait_for_offset(stream, from_offset, wait_seconds)
        page = self._log.read(stream, from_offset, limit)
        return serving.json_response(
            {
                "first_retained": page.first_retained,
                "next": page.next_offset,
                "records": [record._asdict() for record in page.records],
            }
        )

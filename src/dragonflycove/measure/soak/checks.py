"""Checks the guarantees of a soak on what callers and servers observe."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.standins.platform import server as platform_server

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not been executed and never will be."""

_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


class SentRequest(NamedTuple):
    """A request that a caller sent."""

    attempt_id: str
    """Unique id of the request."""

    kind: str
    """`stream`, `post` or `look`."""

    organisation: str
    """Name of the organisation whose API key the caller sends."""

    target: str
    """Path and query."""

    body: bytes
    """Body of the request."""


class ReceivedResponse(NamedTuple):
    """The response to a request as the caller received it."""

    status: int
    """HTTP status; 0 without a response."""

    body: bytes
    """Received part of the body."""

    is_complete: bool
    """Whether the response arrived to its end without an error."""

    is_signed: bool
    """Whether it has the header with which every server marks its responses."""


class Checker:
    """Records requests, responses and executions, and collects violations."""

    def __init__(self, events: int) -> None:
        """Create a checker without requests.

        Args:
            events: Number of events of a complete stream.
        """
        self._events = events
        self._sent_by_id: dict[str, SentRequest] = {}
        self._response_by_id: dict[str, ReceivedResponse] = {}
        self.violations: list[str] = []
        """One line for each violated guarantee."""

    def on_sent(self, sent: SentRequest) -> None:
        """Record a request before it is sent."""
        self._sent_by_id[sent.attempt_id] = sent

    def on_response(self, attempt_id: str, response: ReceivedResponse) -> None:
        """Record and check a response."""
        self._response_by_id[attempt_id] = response
        sent = self._sent_by_id[attempt_id]
        if not (200 <= response.status < 300 and response.is_complete):
            if sent.kind == "stream" and response.status == 200:
                self._check_events(sent, response.body)
            return
        if not response.is_signed:
            self.violations.append(f"MIXED: {attempt_id} got a success without a signature")
        if sent.kind == "stream":
            count = self._check_events(sent, response.body)
            if count != self._events:
                self.violations.append(f"ORDER: {attempt_id} looked complete after {count} pieces")
        elif response.body != b"done " + attempt_id.encode():
            self.violations.append(f"MIXED: {attempt_id} got {response.body[:60]!r}")

    def _check_events(self, sent: SentRequest, body: bytes) -> int:
        position = 0
        count = 0
        for match in _EVENT.finditer(body):
            if match.start() != position or int(match[1]) != count + 1 or match[1] != match[2]:
                self.violations.append(f"ORDER: {sent.attempt_id} got {match[0]!r} after {count}")
                return count
            position = match.end()
            count += 1
        return count

    def check_execution(self, executed: platform_server.ExecutedRequest) -> None:
        """Check that an executed request was sent, unchanged and for its organisation."""
        sent = self._sent_by_id.get(executed.attempt_id)
        if sent is None:
            self.violations.append(f"UNASKED: no caller sent {executed.attempt_id!r}")
            return
        if (executed.target, executed.body) != (sent.target, sent.body):
            self.violations.append(
                f"UNASKED: {executed.attempt_id} ran with another target or body"
            )
        if executed.headers.get("x-tenant") != sent.organisation or "x-api-key" in executed.headers:
            self.violations.append(
                f"UNASKED: {executed.attempt_id} ran for {executed.headers.get('x-tenant')}"
            )

    def check_executions(self, runs: list[platform_server.ExecutedRequest]) -> None:
        """Check that no non-idempotent request ran twice, or ran despite a refusal."""
        count_by_id: dict[str, int] = {}
        for executed in runs:
            count_by_id[executed.attempt_id] = count_by_id.get(executed.attempt_id, 0) + 1
        for attempt_id, count in count_by_id.items():
            sent = self._sent_by_id.get(attempt_id)
            if sent is None or sent.kind != "post":
                continue
            if count > 1:
                self.violations.append(f"TWICE: {attempt_id} ran {count} times")
            response = self._response_by_id.get(attempt_id)
            if response is not None and response.status in NOT_EXECUTED_STATUSES:
                self.violations.append(f"REFUSED: {attempt_id} got {response.status} and ran")

    def check_unanswered(self, runs: list[platform_server.ExecutedRequest]) -> None:
        """Check that each request that ran got a complete response.

        Only for soaks without faults that end requests.
        """
        executed_ids = {executed.attempt_id for executed in runs}
        for attempt_id, response in self._response_by_id.items():
            if attempt_id in executed_ids and not response.is_complete:
                state = f"{response.status}, {len(response.body)} bytes"
                self.violations.append(
                    f"LOST: {attempt_id} ran and got no whole response ({state})"
                )

    def served_share(self, attempt_ids: list[str]) -> float:
        """Return the fraction of requests with a complete response of status 200."""
        served = sum(
            1
            for one in attempt_ids
            if (response := self._response_by_id.get(one)) is not None
            and response.status == 200
            and response.is_complete
        )
        return served / max(1, len(attempt_ids))

    def response_count_by_status(self) -> dict[int, int]:
        """Return the number of responses by status."""
        by_status: dict[int, int] = {}
        for response in self._response_by_id.values():
            by_status[response.status] = by_status.get(response.status, 0) + 1
        return by_status

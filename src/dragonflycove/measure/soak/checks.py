"""The promises of a soak, checked from what callers and servers see."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dragonflycove.standins.platform import server as platform_server

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that say that a request has not run and never will."""

_PIECE = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


class Asked(NamedTuple):
    """A request that a caller sent."""

    attempt_id: str
    """Its id."""

    kind: str
    """`stream`, `post` or `look`."""

    organisation: str
    """Organisation that holds its key."""

    target: str
    """Path and query."""

    body: bytes
    """Body."""


class Got(NamedTuple):
    """What a caller got."""

    status: int
    """Status; 0 if there was no answer."""

    body: bytes
    """Body as far as it came."""

    is_whole: bool
    """Whether the answer looked complete."""

    is_signed: bool
    """Whether it bears a server's signature."""


class Checks:
    """What was asked and got, and which promises were broken."""

    def __init__(self, events: int) -> None:
        """Create checks of nothing.

        Args:
            events: Events of each stream.
        """
        self._events = events
        self._asked_by_id: dict[str, Asked] = {}
        self._got_by_id: dict[str, Got] = {}
        self.violations: list[str] = []
        """Broken promises."""

    def on_asked(self, asked: Asked) -> None:
        """Note a request before it is sent."""
        self._asked_by_id[asked.attempt_id] = asked

    def on_got(self, attempt_id: str, got: Got) -> None:
        """Note and check an answer."""
        self._got_by_id[attempt_id] = got
        asked = self._asked_by_id[attempt_id]
        if not (200 <= got.status < 300 and got.is_whole):
            if asked.kind == "stream" and got.status == 200:
                self._check_pieces(asked, got.body)
            return
        if not got.is_signed:
            self.violations.append(f"MIXED: {attempt_id} got a success without a signature")
        if asked.kind == "stream":
            count = self._check_pieces(asked, got.body)
            if count != self._events:
                self.violations.append(f"ORDER: {attempt_id} looked whole after {count} pieces")
        elif got.body != b"done " + attempt_id.encode():
            self.violations.append(f"MIXED: {attempt_id} got {got.body[:60]!r}")

    def _check_pieces(self, asked: Asked, body: bytes) -> int:
        position = 0
        count = 0
        for match in _PIECE.finditer(body):
            if match.start() != position or int(match[1]) != count + 1 or match[1] != match[2]:
                self.violations.append(f"ORDER: {asked.attempt_id} got {match[0]!r} after {count}")
                return count
            position = match.end()
            count += 1
        return count

    def check_run(self, run: platform_server.Run) -> None:
        """Check a request as a server saw it."""
        asked = self._asked_by_id.get(run.attempt_id)
        if asked is None:
            self.violations.append(f"UNASKED: no caller sent {run.attempt_id!r}")
            return
        if (run.target, run.body) != (asked.target, asked.body):
            self.violations.append(f"UNASKED: {run.attempt_id} ran changed")
        if run.headers.get("x-tenant") != asked.organisation or "x-api-key" in run.headers:
            self.violations.append(
                f"UNASKED: {run.attempt_id} ran for {run.headers.get('x-tenant')}"
            )

    def check_all_runs(self, runs: list[platform_server.Run]) -> None:
        """Check what only the whole of all runs tells."""
        count_by_id: dict[str, int] = {}
        for run in runs:
            count_by_id[run.attempt_id] = count_by_id.get(run.attempt_id, 0) + 1
        for attempt_id, count in count_by_id.items():
            asked = self._asked_by_id.get(attempt_id)
            if asked is None or asked.kind != "post":
                continue
            if count > 1:
                self.violations.append(f"TWICE: {attempt_id} ran {count} times")
            got = self._got_by_id.get(attempt_id)
            if got is not None and got.status in PROMISES:
                self.violations.append(f"REFUSED: {attempt_id} got {got.status} and ran")

    def served_share(self, attempt_ids: list[str]) -> float:
        """Return the share of requests that were served."""
        served = sum(
            1
            for one in attempt_ids
            if (got := self._got_by_id.get(one)) is not None and got.status == 200 and got.is_whole
        )
        return served / max(1, len(attempt_ids))

    def response_count_by_status(self) -> dict[int, int]:
        """Return how many answers had each status."""
        by_status: dict[int, int] = {}
        for got in self._got_by_id.values():
            by_status[got.status] = by_status.get(got.status, 0) + 1
        return by_status

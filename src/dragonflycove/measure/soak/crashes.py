"""Requests of a soak that crash each server that runs them, and the check of how often they run."""

from __future__ import annotations

import asyncio
import collections
import json
import time
from typing import TYPE_CHECKING, NamedTuple

import result

from dragonflycove.measure.soak import callers, checks
from dragonflycove.transport import http1

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dragonflycove.fleet import catalog

MAX_CRASHES = 3
"""Crashes of a request after which its retries are limited."""

MAX_PART_CRASHES = 5
"""Crashes by a part of prompts after which requests with it are limited."""

PART_PREFIX = "bad"
"""Beginning of the ids of parts that crash servers."""

MAX_LATE_RETRIES = 3
"""Retries that may reach servers later than `CONTACT_SECONDS` after the last tolerated crash."""

CONTACT_SECONDS = 3.0
"""Time without a disturbance after which a node counts as undisturbed."""

CALLER_DEADLINE_SECONDS = 4.0
"""Deadline of each resend."""

MAX_RESPONSE_BYTES = 1_048_576
"""Maximum size of a response; the stand-in's have a few hundred bytes."""

MAX_PAUSE_SECONDS = 0.6
"""Maximum pause between two resends."""

LEAVE_PROBABILITY = 0.2
"""Probability that the caller leaves before the response."""

VOLLEY_PROBABILITY = 0.15
"""Probability that the request is sent to all nodes at once."""

_KINDS = ("stream", "post", "look")


class Crash(NamedTuple):
    """A server that was crashed by a request."""

    target: str
    """Path and query of the request."""

    node: str
    """Node that sent it."""

    at: float
    """Time of the monotonic clock."""


class Disturbance(NamedTuple):
    """A span in which a fault affected a node, or all of them through the store."""

    node: str
    """Name of the node; empty for all."""

    begin: float
    """Time of the monotonic clock."""

    end: float
    """Time of the monotonic clock."""


class CrashLog:
    """Crashes by requests, and the spans in which nodes were disturbed."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.crashes_by_target: dict[str, list[Crash]] = collections.defaultdict(list)
        """Crashes in order of time, by path and query of the request, or by part of prompts."""
        self.disturbances: list[Disturbance] = []
        """Spans in which nodes were disturbed."""

    def add(self, target: str, attempt_id: str) -> None:
        """Record that a request has crashed a server.

        Args:
            target: Path and query of the request, or the part of its prompt that crashes servers.
            attempt_id: Id of its attempt, which ends in the name of the node that it was sent to.
        """
        crash = Crash(target, attempt_id.rpartition("@")[2], time.monotonic())
        self.crashes_by_target[target].append(crash)

    def _is_in_touch(self, crash: Crash) -> bool:
        return not any(
            one.node in ("", crash.node)
            and one.begin <= crash.at
            and one.end >= crash.at - CONTACT_SECONDS
            for one in self.disturbances
        )

    def violations(self) -> list[str]:
        """Return one line for each request or part that was sent too often after its crashes."""
        lines = []
        for target, crashes in self.crashes_by_target.items():
            tolerated = MAX_PART_CRASHES if target.startswith(PART_PREFIX) else MAX_CRASHES
            limited_from = (
                crashes[tolerated - 1].at + CONTACT_SECONDS
                if len(crashes) >= tolerated
                else float("inf")
            )
            late = [one for one in crashes if one.at > limited_from and self._is_in_touch(one)]
            if len(late) > MAX_LATE_RETRIES:
                nodes = ", ".join(one.node for one in late)
                lines.append(
                    f"BUDGET: {target} crashed {len(crashes)} servers, {len(late)} of them late,"
                    f" through {nodes}"
                )
        return lines


class Resender:
    """A caller that sends one request, which crashes servers, again and again."""

    def __init__(
        self,
        number: int,
        addresses_by_node: dict[str, catalog.Address],
        checker: checks.Checker,
        rng: random.Random,
        *,
        is_part: bool = False,
    ) -> None:
        """Create a caller.

        Args:
            number: Number of the request or part, from 0.
            addresses_by_node: Addresses for callers by the names of their nodes.
            checker: Records requests and responses.
            rng: Seeded random generator.
            is_part: Whether its requests are all unlike but for a part of their prompts.
        """
        self._kind = "stream" if is_part else rng.choice(_KINDS)
        self.target = f"/{self._kind}/crash-{number}"
        """Path of the request; those that share a part only begin with it."""
        self.part = f"{PART_PREFIX}{number}" if is_part else ""
        """Id of the part that its requests share; empty if it sends one request again and again."""
        self._number = number
        self._addresses_by_node = addresses_by_node
        self._checker = checker
        self._rng = rng
        self._sent = 0

    async def run(self, seconds: float) -> None:
        """Send the request to random nodes for some time.

        Args:
            seconds: For how long.
        """
        until = time.monotonic() + seconds
        names = list(self._addresses_by_node)
        while time.monotonic() < until:
            is_volley = self._rng.random() < VOLLEY_PROBABILITY
            await self._send_to(names if is_volley else [self._rng.choice(names)])
            await asyncio.sleep(self._rng.uniform(0.05, MAX_PAUSE_SECONDS))

    async def _send_to(self, names: Sequence[str]) -> None:
        leaves = self._rng.random() < LEAVE_PROBABILITY
        try:
            async with asyncio.timeout(0.7 if leaves else CALLER_DEADLINE_SECONDS + 1.0):
                await asyncio.gather(*(self._send(name) for name in names))
        except TimeoutError:
            return

    async def _send(self, name: str) -> None:
        self._sent += 1
        attempt_id = f"x{self._number}-{self._sent}@{name}"
        target = f"{self.target}-{self._sent}" if self.part else self.target
        sent = checks.SentRequest(attempt_id, self._kind, "o0", target, b"")
        self._checker.on_sent(sent)
        opened = await http1.Connection.open(self._addresses_by_node[name], 0.5)
        if isinstance(opened, result.Err):
            return
        connection = opened.ok_value
        headers = [
            (b"host", b"h.example"),
            (b"x-attempt-id", attempt_id.encode()),
            (b"x-deadline-ms", str(int(CALLER_DEADLINE_SECONDS * 1000)).encode()),
            (b"x-api-key", b"k0"),
            (b"content-length", b"0"),
        ]
        if self._kind == "stream":
            headers.append((b"x-token-counts", b"2000,200"))
        if self.part:
            prefix = f"{callers.SHARED_PART}:40,{self.part}:800,own{attempt_id}:1160"
            headers.append((b"x-prompt-prefix", prefix.encode()))
        method = b"GET" if self._kind == "look" else b"POST"
        try:
            connection.send(http1.Request(method, target.encode(), tuple(headers), b""))
            response = await connection.read_response(MAX_RESPONSE_BYTES)
        finally:
            connection.close()
        if isinstance(response, result.Ok):
            head, body = response.ok_value
            self._checker.on_response(
                attempt_id,
                checks.ReceivedResponse(head.status, body, True, _is_signed(head)),
            )


def _is_signed(head: http1.Head) -> bool:
    return head.get(b"x-server-stamp") is not None


def describe(log: CrashLog) -> str:
    """Return the number of crashes of each request as JSON."""
    return json.dumps({target: len(crashes) for target, crashes in log.crashes_by_target.items()})

"""A caller that looks up nodes, sends requests, resumes streams and checks their output."""

from __future__ import annotations

import asyncio
import functools
import json
import time
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from dragonflycove.measure import load_plan, stream_check

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_SENDS = 12
"""Maximum number of sends and resumes of one request together."""

DEFAULT_RETRY_AFTER_SECONDS = 0.4
"""Wait before a resend when the response has no retry-after time; also the minimum wait."""

MAX_RETRY_AFTER_SECONDS = 2.0
"""Maximum wait before a resend, even if the response asks for more."""

READ_TIMEOUT_SECONDS = 6.0
"""Time without a line of the stream after which the caller resumes on a new connection."""

DEADLINE_GRACE_SECONDS = 3.0
"""Time after the deadline by which the outcome must have arrived."""


class CallRecord(NamedTuple):
    """Outcome of one planned request; the field names are keys of the report."""

    kind: str
    """`prompt`, `posting` (non-idempotent call) or `stock` (idempotent call)."""

    organisation: str
    """Organisation that sent the request."""

    tokens: int
    """Length of the prompt, tokens; 0 for a call to a plain service."""

    outcome: str
    """`answered`, the reason of the last refusal or failure, `cut`, `handover` or `gave_up`."""

    ran: str
    """The last response's `ran` value: whether the request may have run; empty if answered."""

    first_token_seconds: float | None
    """Time from the first send to the first token; None if none arrived."""

    total_seconds: float
    """Time from the first send to the outcome."""

    tries: int
    """Number of sends."""

    resumes: int
    """Number of stream resumes."""

    refusals: tuple[str, ...]
    """Reasons of all refusals and failures; `cut` stands for a lost connection."""

    faults: tuple[str, ...]
    """Faults that `StreamCheck` found in the output."""

    key: str
    """Idempotency key; empty if the request has none."""

    late: bool
    """Whether the outcome arrived more than `DEADLINE_GRACE_SECONDS` after the deadline."""


class _Progress:
    """State of one request over its sends and resumes; times are loop time, seconds."""

    def __init__(self) -> None:
        self.started_at = asyncio.get_running_loop().time()
        self.first_token_seconds: float | None = None
        self.tries = 0
        self.resumes = 0
        self.refusals: list[str] = []
        self.ran = ""
        self.retry_after_seconds = DEFAULT_RETRY_AFTER_SECONDS
        self.resume_token = ""
        self.next_address = ""


class Caller:
    """Sends requests as callers should: with lookups, retry-after times, resumes and handovers."""

    def __init__(self, session: aiohttp.ClientSession, nodes: tuple[str, ...]) -> None:
        """Create a caller.

        Args:
            session: HTTP session for all requests.
            nodes: Addresses of the nodes for the first lookup.
        """
        self._session = session
        self._nodes = list(nodes)
        self._addresses: list[str] = list(nodes)
        self._addresses_valid_until = 0.0
        self._next_index = 0

    async def run(self, planned: load_plan.PlannedRequest, started_at: float) -> CallRecord:
        """Send one planned request at its time, with resends and resumes until its outcome.

        Args:
            planned: The request.
            started_at: Loop time at which the plan started, seconds.

        Returns:
            The outcome.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started_at + planned.at_seconds - loop.time()))
        return await self._run(planned)

    @functools.singledispatchmethod
    async def _run(self, planned: object) -> CallRecord:
        raise TypeError(f"unknown plan entry {planned!r}")

    @_run.register
    async def _run_prompt(self, planned: load_plan.PlannedPrompt) -> CallRecord:
        progress = _Progress()
        prompt = load_plan.prompt_text(planned)
        output_check = stream_check.StreamCheck(prompt, planned.max_tokens)
        outcome = "gave_up"
        deadline_at = progress.started_at + planned.deadline_seconds
        while progress.tries + progress.resumes < MAX_SENDS:
            remaining = deadline_at - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            if not progress.resume_token:
                output_check.reset()
            end = await self._send_or_resume(planned, prompt, output_check, progress, remaining)
            if end == "answered":
                outcome = end
                break
            outcome = end
            await asyncio.sleep(progress.retry_after_seconds)
        faults = output_check.faults(outcome == "answered")
        return self._record(
            "prompt",
            planned.organisation,
            planned.tokens,
            outcome,
            progress,
            deadline_at,
            faults,
            "",
        )

    async def _send_or_resume(
        self,
        planned: load_plan.PlannedPrompt,
        prompt: str,
        output_check: stream_check.StreamCheck,
        progress: _Progress,
        remaining_seconds: float,
    ) -> str:
        """Send or resume once.

        Returns:
            `answered`, `handover`, the reason of a refusal or failure, or `cut` if the connection
            was lost.
        """
        headers = {
            "X-Organisation": planned.organisation,
            "X-Deadline-Seconds": f"{remaining_seconds:.3f}",
            "X-Urgency": "batch" if planned.is_batch else "interactive",
        }
        address = progress.next_address or await self._next_address()
        progress.next_address = ""
        try:
            if progress.resume_token:
                progress.resumes += 1
                headers["Last-Event-ID"] = str(output_check.received - 1)
                url = f"http://{address}/v1/streams/{progress.resume_token}"
                request = self._session.get(url, headers=headers)
            else:
                progress.tries += 1
                body = {
                    "model": planned.model,
                    "prompt": prompt,
                    "max_tokens": planned.max_tokens,
                    "stream": True,
                }
                url = f"http://{address}/v1/completions"
                request = self._session.post(url, json=body, headers=headers)
            async with request as response:
                if response.status != 200:
                    return await self._record_refusal(response, progress)
                return await self._read_stream(response, output_check, progress)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self._addresses_valid_until = 0.0
            progress.refusals.append("cut")
            return "cut"

    async def _read_stream(
        self,
        response: aiohttp.ClientResponse,
        output_check: stream_check.StreamCheck,
        progress: _Progress,
    ) -> str:
        async for name, number, data in _events(response):
            if name == "resume":
                progress.resume_token = json.loads(data)["token"]
            elif name == "handover":
                progress.next_address = json.loads(data)["address"]
                return "handover"
            elif data == "[DONE]":
                return "answered"
            else:
                content = json.loads(data)
                if "error" in content:
                    return self._record_error(content["error"], progress)
                if progress.first_token_seconds is None:
                    now = asyncio.get_running_loop().time()
                    progress.first_token_seconds = now - progress.started_at
                choice = content["choices"][0]
                output_check.on_token(number, choice["text"], choice["finish_reason"])
        progress.refusals.append("cut")
        return "cut"

    async def _record_refusal(self, response: aiohttp.ClientResponse, progress: _Progress) -> str:
        content = await response.json()
        other = response.headers.get("X-Other-Address")
        if other:
            progress.next_address = other
        return self._record_error(content["error"], progress)

    def _record_error(self, error: dict[str, object], progress: _Progress) -> str:
        reason = str(error["code"])
        progress.refusals.append(reason)
        progress.ran = str(error["ran"])
        requested_seconds = float(
            str(error.get("retry_after_seconds", DEFAULT_RETRY_AFTER_SECONDS))
        )
        progress.retry_after_seconds = min(
            max(requested_seconds, DEFAULT_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )
        progress.resume_token = ""
        self._addresses_valid_until = 0.0
        return reason

    @_run.register
    async def _run_call(self, planned: load_plan.PlannedCall) -> CallRecord:
        progress = _Progress()
        key = f"{int(time.time())}-{planned.seed:08x}" if planned.is_posting else ""
        outcome = "gave_up"
        deadline_at = progress.started_at + load_plan.DEFAULT_DEADLINE_SECONDS
        while progress.tries < MAX_SENDS:
            remaining = deadline_at - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            progress.tries += 1
            outcome = await self._call(planned, key, progress, remaining)
            if outcome == "answered" or progress.ran == "may_have_run":
                break
            await asyncio.sleep(progress.retry_after_seconds)
        kind = "posting" if planned.is_posting else "stock"
        return self._record(kind, planned.organisation, 0, outcome, progress, deadline_at, (), key)

    async def _call(
        self,
        planned: load_plan.PlannedCall,
        key: str,
        progress: _Progress,
        remaining_seconds: float,
    ) -> str:
        address = progress.next_address or await self._next_address()
        progress.next_address = ""
        headers = {
            "X-Organisation": planned.organisation,
            "X-Deadline-Seconds": f"{remaining_seconds:.3f}",
        }
        if key:
            headers["Idempotency-Key"] = key
        method = "POST" if planned.is_posting else "GET"
        path = "postings" if planned.is_posting else f"stock/{planned.seed % 100}"
        url = f"http://{address}/v1/services/{planned.service}/{path}"
        body = f"amount={planned.seed % 1000}".encode() if planned.is_posting else None
        try:
            async with self._session.request(method, url, headers=headers, data=body) as response:
                if response.status == 200:
                    await response.read()
                    return "answered"
                return await self._record_refusal(response, progress)
        except (aiohttp.ClientError, OSError, TimeoutError, json.JSONDecodeError):
            self._addresses_valid_until = 0.0
            progress.refusals.append("cut")
            return "cut"

    async def _next_address(self) -> str:
        """Return the next address in rotation; looks addresses up again if they have expired."""
        loop = asyncio.get_running_loop()
        if loop.time() >= self._addresses_valid_until:
            await self._look_up()
        self._next_index += 1
        return self._addresses[self._next_index % len(self._addresses)]

    async def _look_up(self) -> None:
        loop = asyncio.get_running_loop()
        for node in [*self._addresses, *self._nodes]:
            try:
                async with (
                    asyncio.timeout(1.0),
                    self._session.get(f"http://{node}/v1/where") as response,
                ):
                    content = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            addresses = [entry["address"] for entry in content["addresses"]]
            if addresses:
                self._addresses = addresses
                self._addresses_valid_until = loop.time() + content["ttl_seconds"]
                return

    def _record(
        self,
        kind: str,
        organisation: str,
        tokens: int,
        outcome: str,
        progress: _Progress,
        deadline_at: float,
        faults: tuple[str, ...],
        key: str,
    ) -> CallRecord:
        now = asyncio.get_running_loop().time()
        return CallRecord(
            kind,
            organisation,
            tokens,
            outcome,
            "" if outcome == "answered" else progress.ran,
            progress.first_token_seconds,
            now - progress.started_at,
            progress.tries,
            progress.resumes,
            tuple(progress.refusals),
            faults,
            key,
            now > deadline_at + DEADLINE_GRACE_SECONDS,
        )


async def _events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[tuple[str, int, str]]:
    """Yield name, id (-1 before the first id) and data of each server-sent event."""
    name, number, data = "", -1, ""
    while True:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            line = (await response.content.readline()).decode()
        if not line:
            return
        line = line.rstrip("\n")
        if line.startswith("event: "):
            name = line[len("event: ") :]
        elif line.startswith("id: "):
            number = int(line[len("id: ") :])
        elif line.startswith("data: "):
            data = line[len("data: ") :]
        elif not line and data:
            yield name, number, data
            name, data = "", ""

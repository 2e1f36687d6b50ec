"""Opens, resumes and reads token streams of a node over HTTP."""

from __future__ import annotations

import json
import urllib.request
from typing import Any, NamedTuple

from processes import system


class Frame(NamedTuple):
    """One token of a stream, with its index; `finish` is set in the last frame."""

    number: int
    text: str
    finish: str | None


class Stream:
    """One connection that carries a token stream.

    Attributes:
        token: Latest resume token.
        handover: Address of the node to resume at, once the node hands the stream over.
        error: Error event that ended the stream.
        done: Whether the stream was ended by its final event.
    """

    def __init__(self, url: str, body: dict[str, Any] | None, headers: dict[str, str]) -> None:
        data = json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(f"http://{url}", data, headers)
        self._response = urllib.request.urlopen(request, timeout=system.WAIT_SECONDS)
        self.token = ""
        self.handover = ""
        self.error: dict[str, Any] | None = None
        self.done = False

    def read(self, count: int = 10**9) -> list[Frame]:
        """Read until `count` frames have arrived, or the stream ends or is handed over."""
        frames: list[Frame] = []
        name, number = "", -1
        while len(frames) < count:
            line = self._response.readline().decode().rstrip("\n")
            if line.startswith("event: "):
                name = line[len("event: ") :]
            elif line.startswith("id: "):
                number = int(line[len("id: ") :])
            elif line.startswith("data: "):
                frame = self._parse_event(name, number, line[len("data: ") :])
                name = ""
                if frame is not None:
                    frames.append(frame)
                if self.done or self.error or self.handover:
                    return frames
            elif not line and self._response.isclosed():
                return frames
        return frames

    def _parse_event(self, name: str, number: int, data: str) -> Frame | None:
        if data == "[DONE]":
            self.done = True
            return None
        content = json.loads(data)
        if name == "resume":
            self.token = content["token"]
        elif name == "handover":
            self.handover = content["address"]
        elif "error" in content:
            self.error = content["error"]
        else:
            choice = content["choices"][0]
            return Frame(number, choice["text"], choice["finish_reason"])
        return None

    def close(self) -> None:
        """Close the connection, as a caller does that gives up."""
        self._response.close()


def open_stream(tested_system: system.System, node: str, prompt: str, tokens: int) -> Stream:
    """Send a streaming completion request of organisation `andrade` to a node."""
    body = {"model": "herder-7", "prompt": prompt, "max_tokens": tokens, "stream": True}
    headers = {"X-Organisation": "andrade", "X-Deadline-Seconds": "25"}
    return Stream(f"{tested_system.address_by_name[node]}/v1/completions", body, headers)


def resume(address: str, token: str, last: int) -> Stream:
    """Resume a stream at a node after the frame with index `last`.

    Args:
        address: Caller address of any node.
        token: Resume token of the stream.
        last: Index of the last frame that was received.
    """
    headers = {"Last-Event-ID": str(last), "X-Deadline-Seconds": "25"}
    return Stream(f"{address}/v1/streams/{token}", None, headers)

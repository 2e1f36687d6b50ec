"""`dragonflycove explain`: finds the cause of a failed request in the nodes' logs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.cli import exit_codes
from dragonflycove.telemetry import log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

_CAUSE_BY_END = {
    "broken": "the server's connection broke, or its answer was damaged",
    "silent": "the server sent nothing in time",
    "error_status": "the server answered with a failure of its own",
    "not_run": "the servers refused the request without running it",
    "not_sent": "no connection to a server could be opened, or memory was not free",
    "stale": "a kept connection had been closed by the server",
}
"""What the end of a send says of the cause."""

_CAUSE_BY_REASON = {
    "no_configuration": "the node had not learned a configuration yet",
    "no_route": "no route of the configuration in force matches host and path",
    "unknown_key": "the key belongs to no organisation of the configuration in force",
    "no_server": "no usable server of the service was known",
    "no_room_in_time": "the engines had no room within the request's deadline",
    "line_full": "too many requests were waiting",
    "larger_than_all_engines": "the prompt is larger than the memory of all engines",
    "crashes_servers": "servers were lost each time this request ran",
    "out_of_time": "the deadline or the route's time-out was reached",
    "servers_refused": "every server that was tried refused it",
    "stopping": "the node was stopping and could not have finished a stream",
    "no_time_left": "the deadline had passed before the request could be sent",
}
"""What the reason of a final answer says of the cause."""

LAST_EVENTS = frozenset({"refused", "failed", "stream_cut", "caller_gone"})
"""Events that end a request without its whole answer."""


PROCESS_EVENTS = frozenset({"started", "stopping", "stopped", "bind_failed", "log_dropped"})
"""Events that tell why a request may have left no line."""


class Line(NamedTuple):
    """One line of a log."""

    fields: dict[str, str]
    """Its key=value pairs."""

    text: str
    """The line as written."""


def run(argv: Sequence[str]) -> int:
    """Print the lines of one request in order, and its cause.

    Args:
        argv: The request's id.

    Returns:
        The exit status.
    """
    if len(argv) != 1 or argv[0].startswith("-"):
        print("usage: dragonflycove explain ID < logs", file=sys.stderr)
        return exit_codes.ExitCode.USAGE
    source = sys.stdin.readlines()
    lines = collect(source, argv[0])
    for line in lines:
        print(line.text)
    print(cause(lines))
    if not lines:
        for line in collect_processes(source):
            print(line.text)
    return exit_codes.ExitCode.OK if lines else exit_codes.ExitCode.REFUSED


def collect(source: Iterable[str], request_id: str) -> list[Line]:
    """Pick the lines of one request out of the logs of several hosts.

    Args:
        source: The lines.
        request_id: The request's id.

    Returns:
        Its lines, by time.
    """
    found = []
    for text in source:
        if request_id not in text:
            continue
        fields = log_lines.parse_fields(text)
        if request_id in (fields.get("request"), fields.get("other")):
            found.append(Line(fields, text.rstrip("\n")))
    return sorted(found, key=lambda line: line.fields.get("time", ""))


def collect_processes(source: Iterable[str]) -> list[Line]:
    """Pick the lines that tell when processes ran and which lines were dropped.

    Args:
        source: The lines.

    Returns:
        Those lines, by time.
    """
    found = []
    for text in source:
        fields = log_lines.parse_fields(text)
        if fields.get("event") in PROCESS_EVENTS:
            found.append(Line(fields, text.rstrip("\n")))
    return sorted(found, key=lambda line: line.fields.get("time", ""))


def cause(lines: Sequence[Line]) -> str:
    """Name the cause of a request's end.

    Args:
        lines: Its lines, by time.

    Returns:
        The cause, and which lines are missing.
    """
    if not lines:
        return (
            "cause: unknown; no line names this request. It reached no running process, its lines"
            " were dropped, or it is another deployment's. Processes ran as follows:"
        )
    own = [line.fields for line in lines if "request" in line.fields]
    ends = [fields for fields in own if fields.get("event") == "send_ended"]
    last = next((f for f in reversed(own) if f.get("event") in LAST_EVENTS), None)
    parts = []
    if last is not None:
        parts.append(_describe_last(last))
    if ends and (last is None or last.get("event") != "caller_gone"):
        parts.append(_describe_send(ends[-1], len(ends)))
    if any(fields.get("event") == "retry_refused" for fields in own):
        parts.append("the node's share of the retry budget was spent")
    if not parts:
        parts.append("no line tells its end")
    return "cause: " + "; ".join(parts) + _describe_missing(own)


def _describe_last(fields: dict[str, str]) -> str:
    event = fields["event"]
    if event == "caller_gone":
        return f"the caller left after {fields.get('seconds', '?')} s"
    reason = fields.get("reason", "")
    why = _CAUSE_BY_REASON.get(reason) or _CAUSE_BY_END.get(reason) or reason
    status = f" with {fields['status']}" if "status" in fields else ""
    return f"{event}{status}: {why}" if why else f"{event}{status}"


def _describe_send(fields: dict[str, str], sends: int) -> str:
    end = fields.get("end", "")
    if end == "delivered":
        return f"the whole answer was delivered after {fields.get('seconds', '?')} s"
    why = _CAUSE_BY_END.get(end, end)
    server = fields.get("server", "?")
    events = fields.get("events", "0")
    return f"send {sends} went to {server} and ended after {events} events: {why}"


def _describe_missing(own: list[dict[str, str]]) -> str:
    events = [fields.get("event") for fields in own]
    missing = []
    if "received" not in events and not {"refused", "failed"} & set(events):
        missing.append("received")
    if events.count("sent") > events.count("send_ended"):
        missing.append("send_ended")
    return f" (missing lines: {', '.join(missing)})" if missing else ""

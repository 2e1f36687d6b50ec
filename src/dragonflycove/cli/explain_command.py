"""`explain`: finds the cause of a failed request in the logs of the nodes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.cli import exit_codes
from dragonflycove.telemetry import log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

_CAUSE_BY_END = {
    "broken": "the connection to the server broke, or its response was malformed",
    "silent": "the server sent nothing within the timeout",
    "error_status": "the server responded with an error status",
    "not_run": "the servers refused the request without executing it",
    "not_sent": "no connection to a server could be opened, or an engine had too little free KV cache",
    "stale": "the server had closed the reused connection",
}
"""Cause of a failure by the logged end of an attempt."""

_CAUSE_BY_REASON = {
    "no_configuration": "the node had not received a configuration yet",
    "no_route": "no route of the configuration in force matches the host and path",
    "configuration_outdated": "the node's configuration was too old to deny the request",
    "unknown_key": "the API key belongs to no organisation of the configuration in force",
    "no_server": "no usable server of the service was known",
    "no_room_in_time": "the engines had no capacity for the request within its deadline",
    "overload": "it could not be served in time, and newcomers needed the slots that became free",
    "booked_return": "there was no capacity; capacity was booked for the caller's return",
    "line_full": "the queue of waiting requests was full",
    "organisation_share": "its organisation had its share of the queue's places, and others waited",
    "larger_than_all_engines": "the prompt is larger than the KV cache of all engines together",
    "crashes_servers": "a server was lost each time this request or a part of its prompt ran",
    "server_limit": "all servers of the service stated limits, and no place was left in time",
    "servers_rest": "all servers of the service wanted no requests from the node for a time",
    "servers_unreached": "no node that was asked reached a server of the service",
    "relay_busy": "the other node served as many relayed requests as it takes",
    "unknown_node": "the other node did not know the one that relayed the request",
    "not_relayed": "the other node could not read what it was told of the request",
    "configuration_differs": "the other node's configuration was older or did not fit the request",
    "out_of_time": "the deadline or the route's timeout was reached",
    "servers_refused": "every server that was tried refused the request",
    "node_memory": "the node held as many bytes of requests and responses as its memory allows",
    "slow_caller": "the caller sent nothing more of its request, or took nothing of its response",
    "stopping": "the node was shutting down and could not have finished a stream",
    "no_time_left": "the deadline had passed before the request could be sent",
}
"""Cause of a failure by the logged reason of the final response."""

_CAUSE_BY_CHECK = {
    "syntax": "the bytes on the connection are no HTTP request",
    "head_size": "the head of the request exceeds the limit",
    "body_size": "the body of the request exceeds the limit",
    "incomplete": "the request did not arrive in time",
}
"""Cause of a denial by the logged check, where no line with a reason follows."""

FAILURE_EVENTS = frozenset(
    {
        "denied",
        "refused",
        "failed",
        "stream_cut",
        "caller_gone",
        "bytes_refused",
        "slow_caller_ended",
    }
)
"""Log events that record the end of a request without a complete response."""

PROCESS_EVENTS = frozenset({"started", "stopping", "stopped", "bind_failed", "log_dropped"})
"""Log events that can explain why a request has no log lines."""


SUSPICION_EVENTS = frozenset({"server_lost", "server_loss_told", "crasher_refused"})
"""Log events about all requests of one fingerprint; together they tell why it is refused."""


class LogLine(NamedTuple):
    """One parsed line of a log."""

    fields: dict[str, str]
    """Values of the key=value pairs by key."""

    text: str
    """The line as logged, without its line break."""


def run(argv: Sequence[str]) -> int:
    """Run the `explain` command: print the log lines of a request by time, and the cause.

    The logs are read from standard input.

    Args:
        argv: Arguments after the command's name: the request id.

    Returns:
        The exit status.
    """
    if len(argv) != 1 or argv[0].startswith("-"):
        print("usage: dragonflycove explain ID < logs", file=sys.stderr)
        return exit_codes.ExitCode.USAGE
    source = sys.stdin.readlines()
    lines = collect_request_lines(source, argv[0])
    for line in lines:
        print(line.text)
    print(describe_cause(lines))
    if not lines:
        for line in collect_process_lines(source):
            print(line.text)
    return exit_codes.ExitCode.OK if lines else exit_codes.ExitCode.REFUSED


def collect_request_lines(source: Iterable[str], request_id: str) -> list[LogLine]:
    """Select the lines of one request from the logs of several hosts.

    They include the lines about servers lost by requests of the same fingerprint.

    Args:
        source: Log lines, in any order.
        request_id: Id of the request.

    Returns:
        The lines of the request, ordered by time.
    """
    texts = list(source)
    found = []
    for text in texts:
        if request_id not in text:
            continue
        fields = log_lines.parse_fields(text)
        if request_id in (fields.get("request"), fields.get("other")):
            found.append(LogLine(fields, text.rstrip("\n")))
    found += _collect_suspicion_lines(texts, found)
    return sorted(found, key=lambda line: line.fields.get("time", ""))


def _collect_suspicion_lines(texts: list[str], found: list[LogLine]) -> list[LogLine]:
    """Return the lines about lost servers that have the request's fingerprint and another id."""
    fingerprint = next((f for line in found if (f := line.fields.get("fingerprint"))), None)
    if fingerprint is None:
        return []
    known = {line.text for line in found}
    lines = []
    for text in texts:
        if fingerprint not in text or text.rstrip("\n") in known:
            continue
        fields = log_lines.parse_fields(text)
        if fields.get("fingerprint") == fingerprint and fields.get("event") in SUSPICION_EVENTS:
            lines.append(LogLine(fields, text.rstrip("\n")))
    return lines


def collect_process_lines(source: Iterable[str]) -> list[LogLine]:
    """Select the lines that record when processes ran and which log lines were dropped.

    Args:
        source: Log lines, in any order.

    Returns:
        The selected lines, ordered by time.
    """
    found = []
    for text in source:
        fields = log_lines.parse_fields(text)
        if fields.get("event") in PROCESS_EVENTS:
            found.append(LogLine(fields, text.rstrip("\n")))
    return sorted(found, key=lambda line: line.fields.get("time", ""))


def describe_cause(lines: Sequence[LogLine]) -> str:
    """Describe why a request ended.

    Args:
        lines: Log lines of the request, ordered by time.

    Returns:
        The cause, and the events that are missing from the logs.
    """
    if not lines:
        return (
            "cause: unknown; no line has this request id. It reached no running process, its lines"
            " were dropped, or it belongs to another deployment. Processes ran as follows:"
        )
    all_fields = [line.fields for line in lines]
    request_fields = [
        fields
        for fields in all_fields
        if "request" in fields and fields.get("event") not in SUSPICION_EVENTS
    ]
    attempt_ends = [fields for fields in request_fields if fields.get("event") == "send_ended"]
    failure = next((f for f in reversed(request_fields) if f.get("event") in FAILURE_EVENTS), None)
    parts = []
    if failure is not None:
        parts.append(_describe_failure(failure))
    if attempt_ends and (failure is None or failure.get("event") != "caller_gone"):
        parts.append(_describe_attempt(attempt_ends[-1], len(attempt_ends)))
    lost_servers = [f["server"] for f in all_fields if f.get("event") == "server_lost"]
    if lost_servers:
        parts.append(f"requests of this fingerprint lost the servers {', '.join(lost_servers)}")
    if any(fields.get("event") == "retry_refused" for fields in request_fields):
        parts.append("the node's share of the retry budget was spent")
    if not parts:
        parts.append("no line records the end of the request")
    return "cause: " + "; ".join(parts) + _describe_missing_events(request_fields)


def _describe_failure(fields: dict[str, str]) -> str:
    event = fields["event"]
    if event == "caller_gone":
        return f"the caller disconnected after {fields.get('seconds', '?')} s"
    reason = fields.get("reason", "")
    why = (
        _CAUSE_BY_REASON.get(reason)
        or _CAUSE_BY_END.get(reason)
        or _CAUSE_BY_CHECK.get(fields.get("check", ""))
        or reason
    )
    status = f" with {fields['status']}" if "status" in fields else ""
    return f"{event}{status}: {why}" if why else f"{event}{status}"


def _describe_attempt(fields: dict[str, str], attempt_count: int) -> str:
    end = fields.get("end", "")
    if end == "delivered":
        return f"the complete response was delivered after {fields.get('seconds', '?')} s"
    why = _CAUSE_BY_END.get(end, end)
    server = fields.get("server", "?")
    events = fields.get("events", "0")
    return f"attempt {attempt_count} went to {server} and ended after {events} events: {why}"


def _describe_missing_events(request_fields: list[dict[str, str]]) -> str:
    events = [fields.get("event") for fields in request_fields]
    missing = []
    if "received" not in events and not {"denied", "refused", "failed"} & set(events):
        missing.append("received")
    if events.count("sent") > events.count("send_ended"):
        missing.append("send_ended")
    return f" (missing lines: {', '.join(missing)})" if missing else ""

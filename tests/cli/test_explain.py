"""Tests of `dragonflycove explain` on log lines of several hosts."""

from __future__ import annotations

import io

import pytest

from dragonflycove.cli import explain_command, main


def lines(*events: str) -> list[str]:
    """Return log lines one second apart in reverse order, and a line of another request."""
    stamped = [f"time=2026-12-04T00:00:0{n} level=INFO {event}" for n, event in enumerate(events)]
    return [*reversed(stamped), "time=2026-12-04T00:00:01 level=INFO event=sent request=zz"]


RECEIVED = "event=received request=r1 route=ask kind=streaming"
SENT = "event=sent request=r1 server=s1"


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (
            ["event=refused request=r1 status=503 reason=no_room_in_time retry_after=0.5"],
            "refused with 503: the engines had no capacity for the request within its deadline",
        ),
        (
            [
                SENT,
                "event=send_ended request=r1 server=s1 end=broken events=3",
                "event=stream_cut request=r1 reason=broken",
            ],
            "attempt 1 went to s1 and ended after 3 events: the connection to the server broke",
        ),
        (
            [
                SENT,
                "event=send_ended request=r1 server=s1 end=broken events=0",
                "event=failed request=r1 status=502 reason=broken",
            ],
            "failed with 502: the connection to the server broke",
        ),
        (
            ["event=denied request=r1 status=413 check=body_size version=3"],
            "denied with 413: the body of the request exceeds the limit",
        ),
        (
            [
                "event=denied request=r1 status=401 check=key version=3 age=0.7",
                "event=failed request=r1 status=401 reason=unknown_key",
            ],
            "failed with 401: the API key belongs to no organisation of the configuration",
        ),
        (["event=caller_gone request=r1 seconds=0.7"], "the caller disconnected after 0.7 s"),
        (
            [SENT, "event=send_ended request=r1 server=s1 end=delivered seconds=1.5"],
            "the complete response was delivered after 1.5 s",
        ),
        ([SENT], "no line records the end of the request (missing lines: send_ended)"),
        (
            ["event=retry_refused request=r1 service=svc"],
            "the node's share of the retry budget was spent",
        ),
    ],
)
def test_cause_is_found_in_unordered_lines(events: list[str], expected: str) -> None:
    found = explain_command.collect_request_lines(lines(RECEIVED, *events), "r1")
    assert [line.fields["event"] for line in found][0] == "received"
    assert expected in explain_command.describe_cause(found)


def test_missing_lines_are_reported() -> None:
    found = explain_command.collect_request_lines(lines(SENT), "r1")
    assert "missing lines: received, send_ended" in explain_command.describe_cause(found)
    assert "no line has this request id" in explain_command.describe_cause([])


def test_command_reads_standard_input(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    text = "\n".join(lines(RECEIVED, "event=caller_gone request=r1 seconds=0.7"))
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    assert main.dispatch(["explain", "r1"]) == 0
    assert "cause: the caller disconnected" in capsys.readouterr().out
    assert main.dispatch(["explain"]) == 2


def test_unknown_id_prints_process_events(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    text = lines("event=started host=h1", RECEIVED, "event=stopped host=h1")
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(text)))
    assert main.dispatch(["explain", "r9"]) != 0
    shown = capsys.readouterr().out
    assert "no line has this request id" in shown
    assert shown.index("event=started host=h1") < shown.index("event=stopped host=h1")
    assert "event=received" not in shown


def test_servers_lost_by_earlier_resends_are_listed_with_a_refused_request() -> None:
    found = explain_command.collect_request_lines(
        lines(
            "event=server_lost request=r0 fingerprint=00ab server=s1 end=server_gone lost=1",
            "event=server_lost request=q9 fingerprint=00cd server=s9 end=server_gone lost=1",
            "event=received request=r1 route=ask fingerprint=00ab",
            "event=crasher_refused request=r1 fingerprint=00ab lost=3",
            "event=refused request=r1 status=503 reason=crashes_servers retry_after=5",
        ),
        "r1",
    )
    assert [line.fields["event"] for line in found][:2] == ["server_lost", "received"]
    cause = explain_command.describe_cause(found)
    assert "requests of this fingerprint lost the servers s1" in cause
    assert "s9" not in cause

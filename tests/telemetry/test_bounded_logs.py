"""Logs under load, with a reader that stands still, and what they cost."""

from __future__ import annotations

import fcntl
import os
import time
from typing import TYPE_CHECKING

import pytest

from dragonflycove.telemetry import log_limits, logs, output

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture(autouse=True)
def _unbounded_again() -> Iterator[None]:
    yield
    logs.configure()


def test_one_kind_does_not_take_all_the_room() -> None:
    limits = log_limits.LogLimits(0.0, lines_per_second=100, lines_per_second_and_kind=30)
    assert sum(limits.admit("sent", 0.0) for _ in range(500)) == 30
    assert sum(limits.admit("received", 0.0) for _ in range(500)) == 30
    assert limits.take_dropped() == {"sent": 470, "received": 470}
    assert limits.take_dropped() == {}


def test_failed_and_refused_requests_go_first() -> None:
    limits = log_limits.LogLimits(0.0, lines_per_second=100, lines_per_second_and_kind=100)
    assert sum(limits.admit("sent", 0.0) for _ in range(500)) == 70
    assert sum(limits.admit("failed", 0.0) for _ in range(500)) == 30


def test_room_comes_back_with_time() -> None:
    limits = log_limits.LogLimits(0.0, lines_per_second=100, lines_per_second_and_kind=100)
    while limits.admit("failed", 0.0):
        pass
    assert not limits.admit("failed", 0.0)
    assert limits.admit("failed", 0.1)


def test_ten_times_the_usual_load_stays_within_the_bound() -> None:
    limits = log_limits.LogLimits(0.0)
    written = 0
    for step in range(40_000):
        written += limits.admit(("sent", "received", "send_ended")[step % 3], step / 4_000)
    assert written <= log_limits.LINES_PER_SECOND * (10 + log_limits.BURST_SECONDS)


def test_a_reader_that_stands_still_delays_nothing_and_loses_are_told() -> None:
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4_096)
    sink = output.NonBlockingOutput(write_end)
    began = time.monotonic()
    for number in range(20_000):
        sink.write(f"line {number} of a reader that stands still\n")
    assert time.monotonic() - began < 2.0
    assert sink.lost_lines > 0
    received = b""
    while len(received) < 4_096 + output.BUFFER_BYTES - 100:
        received += os.read(read_end, 65_536)
        sink.flush()
    lines = received.split(b"\n")
    assert lines[0] == b"line 0 of a reader that stands still"
    assert all(line.endswith(b"still") for line in lines[:-1])
    os.close(read_end)
    os.close(write_end)


def test_a_closed_reader_is_no_error() -> None:
    read_end, write_end = os.pipe()
    sink = output.NonBlockingOutput(write_end)
    os.close(read_end)
    sink.write("nobody reads this\n")
    assert sink.lost_lines == 1
    os.close(write_end)


def test_dropped_lines_are_told_and_events_counted() -> None:
    read_end, write_end = os.pipe()
    before = logs.counts_by_event().get(("refused", "line_full"), 0)
    logs.configure_bounded(write_end)
    for _ in range(1_000):
        logs.event("refused", request="r1", reason="line_full")
    logs.log_dropped_counts()
    text = os.read(read_end, 1_000_000).decode()
    assert "event=refused request=r1 reason=line_full" in text
    assert "event=log_dropped kind=refused" in text
    assert logs.counts_by_event()["refused", "line_full"] == before + 1_000
    os.close(read_end)
    os.close(write_end)


def test_a_line_that_is_left_out_costs_a_small_part_of_one_that_is_written() -> None:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    logs.configure_bounded(descriptor)

    def cost(lines: int) -> float:
        began = time.process_time()
        for number in range(lines):
            logs.event("sent", request="r1", server="s1", tokens=number, predicted=0.25)
        return (time.process_time() - began) / lines

    written = cost(100)
    cost(1_000)
    left_out = cost(2_000)
    assert left_out < 0.5 * written
    os.close(descriptor)

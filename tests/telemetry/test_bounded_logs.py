"""Tests of log limits and of output to a stalled reader, and of the CPU cost of dropped lines."""

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
def _restore_unlimited_logs() -> Iterator[None]:
    yield
    logs.configure()


def test_one_kind_does_not_use_up_the_total_rate() -> None:
    limits = log_limits.LogLimits(0.0, lines_per_second=100, lines_per_second_per_kind=30)
    assert sum(limits.admit("sent", 0.0) for _ in range(500)) == 30
    assert sum(limits.admit("received", 0.0) for _ in range(500)) == 30
    assert limits.take_dropped() == {"sent": 470, "received": 470}
    assert limits.take_dropped() == {}


def test_lines_are_reserved_for_failed_requests() -> None:
    limits = log_limits.LogLimits(0.0, lines_per_second=100, lines_per_second_per_kind=100)
    assert sum(limits.admit("sent", 0.0) for _ in range(500)) == 70
    assert sum(limits.admit("failed", 0.0) for _ in range(500)) == 30


def test_lines_are_refilled_with_time() -> None:
    limits = log_limits.LogLimits(0.0, lines_per_second=100, lines_per_second_per_kind=100)
    while limits.admit("failed", 0.0):
        pass
    assert not limits.admit("failed", 0.0)
    assert limits.admit("failed", 0.1)


def test_ten_times_the_usual_load_stays_within_the_rate_limit() -> None:
    limits = log_limits.LogLimits(0.0)
    written = 0
    for step in range(40_000):
        written += limits.admit(("sent", "received", "send_ended")[step % 3], step / 4_000)
    assert written <= log_limits.MAX_LINES_PER_SECOND * (10 + log_limits.BURST_SECONDS)


def test_a_stalled_reader_does_not_block_and_lost_lines_are_counted() -> None:
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4_096)
    sink = output.NonBlockingOutput(write_end)
    started_at = time.monotonic()
    for number in range(20_000):
        sink.write(f"line {number} of a reader that stands still\n")
    assert time.monotonic() - started_at < 2.0
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


def test_a_closed_reader_raises_no_error() -> None:
    read_end, write_end = os.pipe()
    sink = output.NonBlockingOutput(write_end)
    os.close(read_end)
    sink.write("nobody reads this\n")
    assert sink.lost_lines == 1
    os.close(write_end)


def test_dropped_lines_are_logged_and_events_counted() -> None:
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


def test_a_dropped_line_costs_less_than_half_of_a_written_line() -> None:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    logs.configure_bounded(descriptor)

    def measure_cpu_seconds(lines: int) -> float:
        started_at = time.process_time()
        for number in range(lines):
            logs.event("sent", request="r1", server="s1", tokens=number, predicted=0.25)
        return (time.process_time() - started_at) / lines

    written = measure_cpu_seconds(100)
    measure_cpu_seconds(1_000)
    dropped = measure_cpu_seconds(2_000)
    assert dropped < 0.5 * written
    os.close(descriptor)

"""State machine test: the stand-in log service against a plain list."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from dragonflycove.standins import log_service

RETENTION_SECONDS = 100.0
"""Time after which a record expires."""

BURST_APPENDS = 5
"""Number of appends allowed at once, above the average rate."""


class LogMachine(stateful.RuleBasedStateMachine):
    """Appends, reads and lets records expire, and compares with the list."""

    def __init__(self) -> None:
        """Create an empty log and the list of accepted records."""
        super().__init__()
        self.time = 0.0
        parameters = log_service.LogParameters(
            appends_per_second=1.0, burst_appends=BURST_APPENDS, retention_seconds=RETENTION_SECONDS
        )
        self.log = log_service.LogService(parameters, lambda: self.time)
        self.accepted: list[log_service.Record] = []
        self.append_times: list[float] = []

    @stateful.rule(count=st.integers(1, 4))
    def append(self, count: int) -> None:
        """Append records; a rejection appends none and only occurs above the rate limit."""
        values = [{"n": len(self.accepted) + index} for index in range(count)]
        appended = self.log.append("s", values)
        if isinstance(appended, log_service.RateLimited):
            recent = [at for at in self.append_times if at > self.time - BURST_APPENDS]
            assert recent
            assert 0 < appended.retry_after_seconds <= 1
            return
        self.append_times.append(self.time)
        assert appended == len(self.accepted)
        for value in values:
            self.accepted.append(log_service.Record(len(self.accepted), self.time, value))

    @stateful.rule(start=st.integers(0, 40), limit=st.integers(1, 10))
    def read(self, start: int, limit: int) -> None:
        """Read a page and compare it with the list."""
        page = self.log.read("s", start, limit)
        kept = [item for item in self.accepted if item.appended_at >= self.time - RETENTION_SECONDS]
        wanted = tuple(item for item in kept if item.offset >= start)[:limit]
        assert page.records == wanted
        assert page.first_retained == (kept[0].offset if kept else len(self.accepted))
        if wanted:
            assert page.next_offset == wanted[-1].offset + 1

    @stateful.rule(seconds=st.floats(0.1, 60.0))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.time += seconds

    @stateful.invariant()
    def appends_are_within_the_rate(self) -> None:
        """No time window has more appends than the burst and the rate allow."""
        for index, start in enumerate(self.append_times):
            within = len(self.append_times) - index
            assert within <= BURST_APPENDS + (self.time - start) + 1e-6


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = hypothesis.settings(max_examples=60, stateful_step_count=30)

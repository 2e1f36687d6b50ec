"""Stateful test that the units in use on all hosts never exceed the limit.

Every process uses as many units as it may and stops only when its excess is due, or when it has
been dead or paused for the reclaim time. A paused process resumes with its old host list; a
replaced process keeps running next to its successor of the same name.
"""

from __future__ import annotations

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from dragonflycove.shares import share_table

LAG_SECONDS = 3.0
RECLAIM_SECONDS = 6.0
STEP_SECONDS = 0.5
LIMITS = (share_table.Limit("one", 1), share_table.Limit("five", 5))
NAMES = ("a", "b", "c", "d")


class Process:
    """One start of a node, with the units that it has in use at the servers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = share_table.ShareTable(name, LAG_SECONDS, RECLAIM_SECONDS)
        self.in_use = dict.fromkeys(LIMITS, 0)
        self.lag_seconds = 0.0
        self.polls_every = 1
        self.stopped_since: float | None = None
        self.is_dead = False

    def poll(self, listed: dict[str, Process], age: float, now: float) -> None:
        """Process the host list; its own name is included only if the list has this process for it."""
        names = {name for name, owner in listed.items() if name != self.name or owner is self}
        self.table.on_host_list(frozenset(names), age, now)

    def act(self, now: float) -> None:
        """Stop using the excess that is due, then use as many units as allowed."""
        for limit in LIMITS:
            excess = self.table.excess(limit, self.in_use[limit], now)
            if excess is not None and now >= excess.due_at:
                self.in_use[limit] -= excess.units
            self.in_use[limit] = max(self.in_use[limit], self.table.units(limit, now))


class ShareSum(hypothesis.stateful.RuleBasedStateMachine):
    """Hosts that are added, removed, killed, paused, or read the host list late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.unlisted_at = dict.fromkeys(NAMES, -LAG_SECONDS)
        self.processes = [Process(name) for name in NAMES[:3]]
        self.listed = {process.name: process for process in self.processes}
        self.history = [(-100.0, dict(self.listed))]
        self.total_in_use = 0
        self._advance(80)

    def _list_changed(self) -> None:
        self.history.append((self.now, dict(self.listed)))

    def _list_at(self, moment: float) -> dict[str, Process]:
        return next(listed for since, listed in reversed(self.history) if since <= moment)

    def _advance(self, steps: int) -> None:
        for step in range(steps):
            self.now += STEP_SECONDS
            for process in self.processes:
                self._step(process, step)
            for limit in LIMITS:
                used = [process.in_use[limit] for process in self.processes]
                assert sum(used) <= limit.units, f"{limit.name}: {used} at {self.now}"
                self.total_in_use += sum(used)

    def _step(self, process: Process, step: int) -> None:
        if process.stopped_since is not None:
            if self.now - process.stopped_since >= RECLAIM_SECONDS:
                process.in_use = dict.fromkeys(LIMITS, 0)
            return
        if process.polls_every and step % process.polls_every == 0:
            moment = self.now - process.lag_seconds
            process.poll(self._list_at(moment), process.lag_seconds, self.now)
        process.act(self.now)

    def _pick(self, number: int) -> Process:
        live = [process for process in self.processes if not process.is_dead]
        return live[number % len(live)] if live else self.processes[0]

    @hypothesis.stateful.rule(steps=st.sampled_from([1, 2, 5, 8, 12, 20, 40]))
    def time_passes(self, steps: int) -> None:
        self._advance(steps)

    @hypothesis.stateful.rule(
        number=st.integers(0, 7),
        lag=st.sampled_from([0.0, 1.0, LAG_SECONDS - 0.5, LAG_SECONDS, LAG_SECONDS + 1]),
        every=st.sampled_from([0, 1, 2, 5]),
    )
    def change_polling(self, number: int, lag: float, every: int) -> None:
        process = self._pick(number)
        process.lag_seconds = lag
        process.polls_every = every

    @hypothesis.stateful.rule(number=st.integers(0, 7))
    def kill(self, number: int) -> None:
        process = self._pick(number)
        process.is_dead = True
        if process.stopped_since is None:
            process.stopped_since = self.now

    @hypothesis.stateful.rule(number=st.integers(0, 7))
    def pause_or_resume(self, number: int) -> None:
        process = self._pick(number)
        if not process.is_dead:
            process.stopped_since = self.now if process.stopped_since is None else None

    @hypothesis.stateful.rule(name=st.sampled_from(NAMES))
    def list_or_replace(self, name: str) -> None:
        # A removed name may return only after the maximum lag; see `docs/design/shares.md`.
        if name in self.listed or self.now - self.unlisted_at[name] > LAG_SECONDS:
            process = Process(name)
            self.processes.append(process)
            self.listed[name] = process
            self._list_changed()

    @hypothesis.stateful.rule(
        name=st.sampled_from(NAMES),
        number=st.integers(0, 7),
        steps=st.integers(14, 18),
        pauses=st.booleans(),
    )
    def kill_or_pause_a_host_when_its_excess_is_due(
        self, name: str, number: int, steps: int, pauses: bool
    ) -> None:
        self.unlist(name)
        self._advance(80)
        self.change_polling(number, LAG_SECONDS, 1)
        self.list_or_replace(name)
        self._advance(steps)
        if pauses:
            self.pause_or_resume(number)
        else:
            self.kill(number)
        self._advance(20)

    @hypothesis.stateful.rule(
        name=st.sampled_from(NAMES), number=st.integers(0, 7), steps=st.integers(1, 9)
    )
    def pause_while_a_host_is_added_and_removed(self, name: str, number: int, steps: int) -> None:
        self.unlist(name)
        self._advance(80)
        paused = self._pick(number)
        paused.stopped_since = paused.stopped_since or self.now
        self.list_or_replace(name)
        self._advance(60)
        self.unlist(name)
        self._advance(steps)
        paused.stopped_since = paused.stopped_since if paused.is_dead else None
        self._advance(20)

    @hypothesis.stateful.rule(name=st.sampled_from(NAMES))
    def unlist(self, name: str) -> None:
        if self.listed.pop(name, None) is not None:
            self.unlisted_at[name] = self.now
            self._list_changed()

    @hypothesis.stateful.rule(name=st.sampled_from(NAMES))
    def restart_at_the_same_address(self, name: str) -> None:
        old = self.listed.get(name)
        if old is None:
            return
        # The old process must be dead because it would still hold the port.
        old.is_dead = True
        if old.stopped_since is None:
            old.stopped_since = self.now
        process = Process(name)
        self.processes.append(process)
        self.listed[name] = process
        for _, listed in self.history:
            if listed.get(name) is old:
                listed[name] = process
        self._list_changed()

    def teardown(self) -> None:
        assert self.total_in_use > 0


TestShareSum = ShareSum.TestCase
TestShareSum.settings = hypothesis.settings(max_examples=60, stateful_step_count=25)

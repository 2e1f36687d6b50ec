"""Fuzzes the sum of all shares in use against the limit.

Every process takes all that it may and never ends a use of its own accord. Uses end when their
excess is due, or when the owner has been dead or paused for the reclaim time. A paused process
keeps its old host list and wakes up with it; a replaced one lives on beside its successor of the
same name.
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
    """One start of a node, with the uses that the servers run for it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = share_table.ShareTable(name, LAG_SECONDS, RECLAIM_SECONDS)
        self.in_use = dict.fromkeys(LIMITS, 0)
        self.lag_seconds = 0.0
        self.polls_every = 1
        self.silent_since: float | None = None
        self.dead = False

    def poll(self, listed: dict[str, Process], age: float, now: float) -> None:
        """Take in the host list, this name only where it means this process."""
        names = {name for name, owner in listed.items() if name != self.name or owner is self}
        self.table.on_host_list(frozenset(names), age, now)

    def act(self, now: float) -> None:
        """Give up what is due and take all that may be taken."""
        for limit in LIMITS:
            excess = self.table.excess(limit, self.in_use[limit], now)
            if excess is not None and now >= excess.due_at:
                self.in_use[limit] -= excess.units
            self.in_use[limit] = max(self.in_use[limit], self.table.units(limit, now))


class ShareSum(hypothesis.stateful.RuleBasedStateMachine):
    """Hosts that come, go, die, pause and see the list late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.unlisted_at = dict.fromkeys(NAMES, -LAG_SECONDS)
        self.processes = [Process(name) for name in NAMES[:3]]
        self.listed = {process.name: process for process in self.processes}
        self.history = [(-100.0, dict(self.listed))]
        self.granted = 0
        self._advance(80)

    def _list_changed(self) -> None:
        self.history.append((self.now, dict(self.listed)))

    def _list_at(self, moment: float) -> dict[str, Process]:
        return next(listed for since, listed in reversed(self.history) if since <= moment)

    def _advance(self, steps: int) -> None:
        for step in range(steps):
            self.now += STEP_SECONDS
            for process in self.processes:
                self._run(process, step)
            for limit in LIMITS:
                used = [process.in_use[limit] for process in self.processes]
                assert sum(used) <= limit.units, f"{limit.name}: {used} at {self.now}"
                self.granted += sum(used)

    def _run(self, process: Process, step: int) -> None:
        if process.silent_since is not None:
            if self.now - process.silent_since >= RECLAIM_SECONDS:
                process.in_use = dict.fromkeys(LIMITS, 0)
            return
        if process.polls_every and step % process.polls_every == 0:
            moment = self.now - process.lag_seconds
            process.poll(self._list_at(moment), process.lag_seconds, self.now)
        process.act(self.now)

    def _pick(self, number: int) -> Process:
        living = [process for process in self.processes if not process.dead]
        return living[number % len(living)] if living else self.processes[0]

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
        process.dead = True
        if process.silent_since is None:
            process.silent_since = self.now

    @hypothesis.stateful.rule(number=st.integers(0, 7))
    def pause_or_wake(self, number: int) -> None:
        process = self._pick(number)
        if not process.dead:
            process.silent_since = self.now if process.silent_since is None else None

    @hypothesis.stateful.rule(name=st.sampled_from(NAMES))
    def list_or_replace(self, name: str) -> None:
        # A name that left the list stays away for the lag bound; see the design page.
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
    def lose_a_holder_as_its_excess_falls_due(
        self, name: str, number: int, steps: int, pauses: bool
    ) -> None:
        self.unlist(name)
        self._advance(80)
        self.change_polling(number, LAG_SECONDS, 1)
        self.list_or_replace(name)
        self._advance(steps)
        if pauses:
            self.pause_or_wake(number)
        else:
            self.kill(number)
        self._advance(20)

    @hypothesis.stateful.rule(
        name=st.sampled_from(NAMES), number=st.integers(0, 7), steps=st.integers(1, 9)
    )
    def sleep_through_the_life_of_a_host(self, name: str, number: int, steps: int) -> None:
        self.unlist(name)
        self._advance(80)
        sleeper = self._pick(number)
        sleeper.silent_since = sleeper.silent_since or self.now
        self.list_or_replace(name)
        self._advance(60)
        self.unlist(name)
        self._advance(steps)
        sleeper.silent_since = sleeper.silent_since if sleeper.dead else None
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
        # The old process must be dead, for it held the port.
        old.dead = True
        if old.silent_since is None:
            old.silent_since = self.now
        process = Process(name)
        self.processes.append(process)
        self.listed[name] = process
        for _, listed in self.history:
            if listed.get(name) is old:
                listed[name] = process
        self._list_changed()

    def teardown(self) -> None:
        assert self.granted > 0


TestShareSum = ShareSum.TestCase
TestShareSum.settings = hypothesis.settings(max_examples=60, stateful_step_count=25)

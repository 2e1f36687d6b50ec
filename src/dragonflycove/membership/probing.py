"""Probes on their way: whose turn it is, who has not answered, and for whom a probe was sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

PERIOD_SECONDS = 1.0
"""Time between two probes by one node, seconds."""

ANSWER_SECONDS = 0.5
"""Time after which others are asked to probe a host that did not answer, seconds."""

MAX_PROBED_HOSTS = 16
"""Hosts probed last from which the part of those that can be reached is told."""

MAX_HELPING = 64
"""Most probes for others that are kept track of."""


class PendingProbe(NamedTuple):
    """A probe that was not answered yet."""

    probe_id: int
    """Number of the probe."""

    host: str
    """Host that was probed."""

    sent_at: float
    """When it was sent, seconds."""

    asked_others: bool
    """Whether others were asked to probe the host."""


class HelpingProbe(NamedTuple):
    """A probe that was sent for another node."""

    asker: str
    """Host of the other node."""

    their_probe_id: int
    """Number of its own probe."""


class LateProbes(NamedTuple):
    """Probes that were not answered in time."""

    to_ask_others: list[PendingProbe]
    """Probes whose hosts others are now asked to probe."""

    failed: list[PendingProbe]
    """Probes that are given up."""


class Probes:
    """The probes of one node."""

    def __init__(self, rng: random.Random) -> None:
        """Create a node's probes, none on its way.

        Args:
            rng: Where the order of the probes comes from.
        """
        self._rng = rng
        self._next_probe_id = 0
        self._turn: list[str] = []
        self._pending_by_id: dict[int, PendingProbe] = {}
        self._helping_by_id: dict[int, HelpingProbe] = {}
        self._answered_by_host: dict[str, bool] = {}

    def answered_fraction(self) -> float:
        """Return the part of the hosts probed last that answered, directly or through others.

        The targets take turns, so that it is exact for few hosts, and an estimate for many.

        Returns:
            A number from 0 to 1; 1 before the first probe.
        """
        recent = self._answered_by_host.values()
        return sum(recent) / len(recent) if recent else 1.0

    def keep_hosts(self, hosts: Collection[str]) -> None:
        """Forget the answers of hosts that are no longer there.

        Args:
            hosts: Names of the hosts that are.
        """
        for host in [host for host in self._answered_by_host if host not in hosts]:
            del self._answered_by_host[host]

    def next_host(self, others: list[str]) -> str | None:
        """Return the next host of a shuffled round, so that each is probed once in a round.

        Args:
            others: Names of the other hosts.

        Returns:
            The host; `None` if there is none.
        """
        while self._turn:
            host = self._turn.pop()
            if host in others:
                return host
        self._turn = list(others)
        self._rng.shuffle(self._turn)
        return self._turn.pop() if self._turn else None

    def begin(self, host: str, now: float) -> int:
        """Take note of a probe that is sent.

        Args:
            host: Host that is probed.
            now: Time, seconds.

        Returns:
            Number of the probe.
        """
        probe_id = self._new_id()
        self._pending_by_id[probe_id] = PendingProbe(probe_id, host, now, False)
        return probe_id

    def begin_helping(self, helping: HelpingProbe) -> int:
        """Take note of a probe that is sent for another node.

        Args:
            helping: For whom.

        Returns:
            Number of the probe.
        """
        probe_id = self._new_id()
        self._helping_by_id[probe_id] = helping
        if len(self._helping_by_id) > MAX_HELPING:
            del self._helping_by_id[next(iter(self._helping_by_id))]
        return probe_id

    def end(self, probe_id: int, target: str) -> PendingProbe | None:
        """Take note of an answer.

        Args:
            probe_id: Number of the probe.
            target: Host that is alive.

        Returns:
            The probe that it answers; `None` for one that was given up.
        """
        pending = self._pending_by_id.pop(probe_id, None)
        if pending is None or pending.host != target:
            return None
        self._note_answer(target, answered=True)
        return pending

    def end_helping(self, probe_id: int) -> HelpingProbe | None:
        """Return for whom an answered probe was sent, `None` if for this node itself.

        Args:
            probe_id: Number of the probe.
        """
        return self._helping_by_id.pop(probe_id, None)

    def collect_late(self, now: float) -> LateProbes:
        """Return the probes for which something is due.

        Args:
            now: Time, seconds.

        Returns:
            The probes; each is returned once for each step.
        """
        late = LateProbes([], [])
        for probe_id, pending in list(self._pending_by_id.items()):
            waited = now - pending.sent_at
            if waited >= PERIOD_SECONDS + ANSWER_SECONDS:
                del self._pending_by_id[probe_id]
                self._note_answer(pending.host, answered=False)
                late.failed.append(pending)
            elif waited >= ANSWER_SECONDS and not pending.asked_others:
                self._pending_by_id[probe_id] = pending._replace(asked_others=True)
                late.to_ask_others.append(pending)
        return late

    def _note_answer(self, host: str, *, answered: bool) -> None:
        self._answered_by_host.pop(host, None)
        self._answered_by_host[host] = answered
        if len(self._answered_by_host) > MAX_PROBED_HOSTS:
            del self._answered_by_host[next(iter(self._answered_by_host))]

    def _new_id(self) -> int:
        self._next_probe_id += 1
        return self._next_probe_id

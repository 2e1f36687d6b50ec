"""Exchanges with the other nodes which servers ended while they ran which requests.

A node that loses a server reports it to all nodes at once; `digest_gossip` makes up for what was
lost on the way.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet import peer_messages
from dragonflycove.gateway import digest_gossip
from dragonflycove.quarantine import crash_counts, part_blame
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dragonflycove.fleet import catalog, roster
    from dragonflycove.gateway import peer_socket


class _Facts(NamedTuple):
    """What one node tells another."""

    crashes: Sequence[crash_counts.Crash] = ()
    answers: Sequence[crash_counts.Answer] = ()
    survivals: Sequence[crash_counts.Survival] = ()


class CrashExchange:
    """Reports this node's losses, and keeps its counts equal to those of the hubs."""

    def __init__(
        self,
        nodes: roster.Roster,
        counts: crash_counts.CrashCounts,
        datagram_socket: peer_socket.PeerSocket,
    ) -> None:
        """Create the exchange and register its message handlers at the socket.

        Args:
            nodes: This node and the others.
            counts: Crashes that this node knows.
            datagram_socket: Socket to the other nodes.
        """
        self._counts = counts
        self._peer_socket = datagram_socket
        self._gossip = digest_gossip.DigestGossip(
            nodes, datagram_socket, counts.digest, peer_messages.CrashDigest, self._encode_all
        )
        datagram_socket.register(peer_messages.CrashReport, self._on_report)
        datagram_socket.register(peer_messages.CrashDigest, self._on_digest)

    def report_crashes(self, crashes: Sequence[crash_counts.Crash]) -> None:
        """Report the crash of a server that this node has noticed to all nodes.

        Args:
            crashes: The crash, for each fingerprint of the request that ran there.
        """
        answers = [self._counts.answer(crash.fingerprint) for crash in crashes]
        self._broadcast(_Facts(crashes, [answer for answer in answers if answer]))

    def report_answers(self, answers: Sequence[crash_counts.Answer]) -> None:
        """Report an answer that clears fingerprints of crashes to all nodes.

        Args:
            answers: The answer, for each fingerprint that it clears.
        """
        self._broadcast(_Facts(answers=answers))

    def report_survival(self, survival: crash_counts.Survival) -> None:
        """Report to all nodes that a server has not ended.

        Args:
            survival: The server, and when it was alive.
        """
        self._broadcast(_Facts(survivals=[survival]))

    def _broadcast(self, facts: _Facts) -> None:
        now = asyncio.get_running_loop().time()
        self._gossip.broadcast(_encode(facts, now, wants_all=False))

    async def run(self) -> None:
        """Send digests at intervals; runs until cancelled."""
        await self._gossip.run()

    def _on_digest(self, message: peer_messages.CrashDigest, sender: catalog.Address) -> None:
        self._gossip.on_digest(message.digest, sender)

    def _on_report(self, message: peer_messages.CrashReport, sender: catalog.Address) -> None:
        now = asyncio.get_running_loop().time()
        for answered in message.answers:
            answer = crash_counts.Answer(answered.fingerprint, now - answered.age_seconds)
            if self._counts.add_answer(answer, now):
                logs.event("suspect_cleared", fingerprint=f"{answer.fingerprint:016x}")
        for survived in message.survivals:
            survival = crash_counts.Survival(survived.instance, now - survived.age_seconds)
            self._counts.add_survival(survival)
        for record in message.crashes:
            crash = crash_counts.Crash(
                record.fingerprint, record.instance, now - record.age_seconds
            )
            if self._counts.add(crash, now):
                self._on_new_crash(crash, sender, now)
        if message.wants_all:
            self._gossip.report_all(sender, wants_all=False)

    def _on_new_crash(self, crash: crash_counts.Crash, sender: catalog.Address, now: float) -> None:
        logs.event(
            "server_loss_told",
            sender=sender,
            fingerprint=f"{crash.fingerprint:016x}",
            server=crash.instance.server_id,
            born=crash.instance.started_at_ms,
            age=now - crash.at,
            lost=self._counts.crash_count(crash.fingerprint, now),
        )
        answer = self._counts.answer(crash.fingerprint)
        if answer is not None and _matters(answer, crash):
            for message in _encode(_Facts(answers=[answer]), now, wants_all=False):
                self._peer_socket.send(sender, message)

    def _encode_all(self, now: float, wants_all: bool) -> Iterable[peer_messages.CrashReport]:
        facts = _Facts(
            self._counts.crashes(now), self._counts.answers(now), self._counts.survivals()
        )
        return _encode(facts, now, wants_all=wants_all)


def _matters(answer: crash_counts.Answer, crash: crash_counts.Crash) -> bool:
    """Whether the reporter of a crash needs an answer; of parts many nodes know older ones."""
    return not part_blame.is_part(crash.fingerprint) or answer.at > crash.at


def _encode(facts: _Facts, now: float, *, wants_all: bool) -> Iterable[peer_messages.CrashReport]:
    """Divide facts among messages; one message if there are none."""
    crashes = tuple(
        peer_messages.CrashRecord(one.fingerprint, one.instance, round(now - one.at, 3))
        for one in facts.crashes
    )
    answers = tuple(
        peer_messages.AnswerRecord(one.fingerprint, round(now - one.at, 3)) for one in facts.answers
    )
    survivals = tuple(
        peer_messages.SurvivalRecord(one.instance, round(now - one.at, 3))
        for one in facts.survivals
    )
    longest = max(1, len(crashes), len(answers), len(survivals))
    for start in range(0, longest, digest_gossip.RECORDS_PER_DATAGRAM):
        part = slice(start, start + digest_gossip.RECORDS_PER_DATAGRAM)
        yield peer_messages.CrashReport(crashes[part], answers[part], survivals[part], wants_all)

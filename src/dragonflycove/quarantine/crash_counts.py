"""Counts the backend servers that each request has crashed, over all nodes of a fleet.

Nodes exchange single crashes instead of counts and each keeps their union, so that losses seen by
different nodes add up, and reports that arrive twice, late or in another order change nothing.
Unlike `quarantine`, it needs no host list and lets a suspect request run until it is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from dragonflycove.fleet import catalog
from dragonflycove.quarantine import _suspicion_table, part_blame

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.quarantine import _suspicion

MAX_CRASHED_SERVERS = 3
"""Crashed servers after which a fingerprint is refused; the platform tolerates three."""

MAX_FINGERPRINTS = 2_000
"""Fingerprints kept at once; bounds the process's memory when many servers crash."""

ANSWER_VALIDITY_SECONDS = 10.0
"""Time after a complete response for which crashes aren't counted against its request.

Covers the copies that run beside it when many servers end at once, of a request that many send.
"""

MAX_ANSWERS = 2_000
"""Recently answered fingerprints kept at once."""


MAX_ANSWERED_PARTS = 5_000
"""Recently answered parts of prompts kept at once."""

MAX_SURVIVALS = 1_000
"""Servers kept at once that turned out to be alive."""

DIGEST_VALIDITY_SECONDS = 2.0
"""Time after which a digest is computed again though nothing was added; crashes expire."""


class Crash(NamedTuple):
    """A backend server that ended while it ran a request."""

    fingerprint: int
    """Fingerprint of the request."""

    instance: catalog.Instance
    """The server."""

    at: float
    """Loop time at which the loss was noticed, seconds."""


class Answer(NamedTuple):
    """A complete response to a request, which shows that it doesn't crash every server."""

    fingerprint: int
    """Fingerprint of the request."""

    at: float
    """Loop time of the last complete response."""


class Survival(NamedTuple):
    """A server that was alive at some time, so that it had not ended before."""

    instance: catalog.Instance
    """The server."""

    at: float
    """Loop time at which it was certainly running."""


class CrashCounts:
    """The crashes, answers and survivals that one node knows, its own and those reported by others."""

    def __init__(self) -> None:
        """Create without crashes."""
        self._suspicions = _suspicion_table.SuspicionTable(
            _suspicion_table.REFUSAL_SECONDS, MAX_FINGERPRINTS
        )
        self._answered_at_by_fingerprint: dict[int, float] = {}
        self._answered_at_by_part: dict[int, float] = {}
        self._survived_at_by_instance: dict[catalog.Instance, float] = {}
        self._digest = (-1, 0.0, 0)
        self.revision = 0
        """Increases with each crash or answer that may change what counts."""

    def add(self, crash: Crash, now: float) -> bool:
        """Add a crash.

        Args:
            crash: The crash, seen by this node or reported by another.
            now: Loop time.

        Returns:
            Whether it is new; crashes older than the retention time are not.
        """
        if now - crash.at >= _suspicion_table.REFUSAL_SECONDS:
            return False
        suspicion = self._suspicions.get_or_create(_name(crash.fingerprint), crash.at)
        self.revision += 1
        return suspicion.add_crash(crash.instance.server_id, _start_id(crash.instance), crash.at)

    def add_answer(self, answer: Answer, now: float) -> bool:
        """Record a complete response; crashes before it don't count.

        Those shortly after it don't count against a request either, but they do against a part of
        prompts: its requests are all unlike, so that no copies of them run beside the answered one.

        Args:
            answer: The answer, relayed by this node or reported by another.
            now: Loop time.

        Returns:
            Whether fewer crashes count than before.
        """
        before = self.crash_count(answer.fingerprint, now)
        self.revision += before > 0
        answered_at_by_key, max_answers = self._answer_times(answer.fingerprint)
        answered_at = answered_at_by_key.pop(answer.fingerprint, answer.at)
        answered_at_by_key[answer.fingerprint] = max(answered_at, answer.at)
        while len(answered_at_by_key) > max_answers:
            answered_at_by_key.pop(next(iter(answered_at_by_key)))
        counted = self.crash_count(answer.fingerprint, now)
        if not counted and part_blame.is_part(answer.fingerprint):
            # Parts that many prompts share run on most servers that end.
            self._suspicions.discard(_name(answer.fingerprint))
        return counted < before

    def _answer_times(self, fingerprint: int) -> tuple[dict[int, float], int]:
        """Return the answer times of a kind of fingerprint, and how many of them are kept."""
        if part_blame.is_part(fingerprint):
            return self._answered_at_by_part, MAX_ANSWERED_PARTS
        return self._answered_at_by_fingerprint, MAX_ANSWERS

    def add_survival(self, survival: Survival) -> bool:
        """Record that a server was alive; crashes of it that were noticed before don't count.

        Args:
            survival: The server and the time, seen by this node or reported by another.

        Returns:
            Whether it is new that the server was alive at that time.
        """
        known_at = self._survived_at_by_instance.pop(survival.instance, float("-inf"))
        self._survived_at_by_instance[survival.instance] = max(known_at, survival.at)
        while len(self._survived_at_by_instance) > MAX_SURVIVALS:
            self._survived_at_by_instance.pop(next(iter(self._survived_at_by_instance)))
        if survival.at <= known_at:
            return False
        self.revision += 1
        return True

    def survivals(self) -> list[Survival]:
        """Return the servers that turned out to be alive, for a node that lacks some."""
        return [Survival(*entry) for entry in self._survived_at_by_instance.items()]

    def answer(self, fingerprint: int) -> Answer | None:
        """Return the last known answer to a request; None if there is none.

        Args:
            fingerprint: The request's fingerprint.
        """
        answered_at = self._answer_times(fingerprint)[0].get(fingerprint)
        return None if answered_at is None else Answer(fingerprint, answered_at)

    def has_crashed_before(
        self, fingerprint: int, instance: catalog.Instance, sent_at: float, now: float
    ) -> bool:
        """Whether a server had ended before a request was sent to it.

        Args:
            fingerprint: The request's fingerprint.
            instance: The server as known to the sender.
            sent_at: Loop time at which the request was sent.
            now: Loop time.
        """
        suspicion = self._suspicions.find(_name(fingerprint), now)
        key = (instance.server_id, _start_id(instance))
        return suspicion is not None and any(
            (crash.server_id, crash.start_id) == key and crash.at < sent_at
            for crash in suspicion.crashes
        )

    def crash_count(self, fingerprint: int, now: float) -> int:
        """Return how many servers a request has crashed.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.
        """
        return len(self._counted(fingerprint, now))

    def refusal_seconds(self, fingerprint: int, now: float) -> float | None:
        """Return for how long a request is refused; None if it may run.

        Args:
            fingerprint: The request's fingerprint.
            now: Loop time.
        """
        counted = self._counted(fingerprint, now)
        if len(counted) < MAX_CRASHED_SERVERS:
            return None
        return max(crash.at for crash in counted) + _suspicion_table.REFUSAL_SECONDS - now

    def part_crashes(self, now: float) -> dict[int, part_blame.PartCrashes]:
        """Return the crashes that count against parts of prompts, by part.

        Args:
            now: Loop time.
        """
        by_part = {}
        for name in self._suspicions.all(now):
            fingerprint = int(name, 16)
            counted = self._counted(fingerprint, now) if part_blame.is_part(fingerprint) else []
            if counted:
                answered_at = self._answered_at_by_part.get(fingerprint)
                by_part[fingerprint] = part_blame.PartCrashes(counted, answered_at)
        return by_part

    def crashes(self, now: float) -> list[Crash]:
        """Return all known crashes, for a node that lacks some.

        Args:
            now: Loop time.
        """
        return [
            crash
            for name, suspicion in self._suspicions.all(now).items()
            for crash in _crashes_of(name, suspicion)
        ]

    def counted_crashes(
        self, min_count: int, now: float, *, omits_answered_parts: bool = False
    ) -> list[Crash]:
        """Return the crashes of fingerprints that have crashed several servers.

        Args:
            min_count: Crashes that count from which on a fingerprint is included.
            now: Loop time.
            omits_answered_parts: Whether parts of prompts that were answered before are left out;
                many prompts share them, and nearly all are cleared soon.
        """
        fingerprints = [int(name, 16) for name in self._suspicions.all(now)]
        by_fingerprint = [
            self._counted(one, now)
            for one in fingerprints
            if not (omits_answered_parts and one in self._answered_at_by_part)
        ]
        return [
            crash for counted in by_fingerprint if len(counted) >= min_count for crash in counted
        ]

    def answers(self, now: float) -> list[Answer]:
        """Return the answers to requests with a known crash, for a node that lacks some.

        Args:
            now: Loop time.
        """
        known = [self.answer(int(name, 16)) for name in self._suspicions.all(now)]
        return [answer for answer in known if answer is not None]

    def suspect_count(self, now: float) -> int:
        """Return how many fingerprints have a crash that counts.

        Args:
            now: Loop time.
        """
        names = self._suspicions.all(now)
        return sum(1 for name in names if self._counted(int(name, 16), now))

    def digest(self, now: float) -> int:
        """Return a hash that is equal at nodes that count the same crashes; 0 for none.

        Args:
            now: Loop time.
        """
        revision, computed_at, digest = self._digest
        if revision == self.revision and now - computed_at < DIGEST_VALIDITY_SECONDS:
            return digest
        digest = _combine(
            f"{crash.fingerprint} {crash.instance.server_id} {crash.instance.started_at_ms}"
            for name in self._suspicions.all(now)
            for crash in self._counted(int(name, 16), now)
        )
        self._digest = (self.revision, now, digest)
        return digest

    def _counted(self, fingerprint: int, now: float) -> list[Crash]:
        """Return the crashes that count against a request."""
        name = _name(fingerprint)
        suspicion = self._suspicions.find(name, now)
        if suspicion is None:
            return []
        answered_at = self._answer_times(fingerprint)[0].get(fingerprint, float("-inf"))
        validity = 0.0 if part_blame.is_part(fingerprint) else ANSWER_VALIDITY_SECONDS
        return [
            crash
            for crash in _crashes_of(name, suspicion)
            if crash.at > answered_at + validity
            and crash.at > self._survived_at_by_instance.get(crash.instance, float("-inf"))
        ]


def _name(fingerprint: int) -> str:
    """Return a fingerprint as the text by which suspicions are kept."""
    return f"{fingerprint:016x}"


def _start_id(instance: catalog.Instance) -> str:
    """Return the identifier of a server's process; empty if its record states no start."""
    return str(instance.started_at_ms) if instance.started_at_ms else ""


def _crashes_of(name: str, suspicion: _suspicion.Suspicion) -> list[Crash]:
    return [
        Crash(int(name, 16), catalog.Instance(crash.server_id, int(crash.start_id or 0)), crash.at)
        for crash in suspicion.crashes
    ]


def _combine(texts: Iterable[str]) -> int:
    """Return a hash of texts that doesn't depend on their order."""
    combined = 0
    for text in texts:
        combined ^= xxhash.xxh3_64_intdigest(text.encode())
    return combined

"""How fast each backend server is, and how many requests it takes well at once.

The expected load runs on servers of one service that differ in speed, and that slow down or recover
within seconds. Evidence comes from all nodes' reports, and from what this node has placed itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.fleet.capacity import bounded_pace, call_pace, concurrency_limit

if TYPE_CHECKING:
    from dragonflycove.fleet import catalog, peer_messages

PROBATION_SLOTS = 1
"""Requests at once at an engine of which only old evidence says that it is slow."""


class PassTimes(NamedTuple):
    """Declared times of one engine's passes with what is placed there."""

    shortest: float
    """With one short stream only; what nodes measure by."""

    least: float
    """With the streams that decode, without prefills."""

    most: float
    """With all streams that may have been in the pass, without prefills."""

    prefills: float
    """All prefills that may have been in the pass."""


class PaceChange(NamedTuple):
    """A server that has become slow or is slow no more."""

    instance: catalog.Instance
    """The server."""

    slowdown: float
    """Its slowdown."""

    is_slow: bool
    """Whether it has become slow."""


class ServerPaces:
    """Paces and concurrency limits of all servers, by their instances.

    An instance is an id and a start, so nothing is kept over a restart of a server.
    """

    def __init__(self) -> None:
        """Create without evidence; all servers are as declared."""
        self._engine_by_instance: dict[catalog.Instance, bounded_pace.BoundedPace] = {}
        self._plain_by_instance: dict[catalog.Instance, call_pace.CallPace] = {}
        self._limit_by_instance: dict[catalog.Instance, concurrency_limit.ConcurrencyLimit] = {}
        self._declared_by_instance: dict[catalog.Instance, int] = {}
        self._sign_at_by_instance: dict[catalog.Instance, float] = {}
        self._slow: set[catalog.Instance] = set()

    def slowdown(self, instance: catalog.Instance, now: float) -> float:
        """Return the time that a server takes as a multiple of the declared time.

        Args:
            instance: The server.
            now: Loop time.
        """
        engine = self._engine_by_instance.get(instance)
        if engine is not None:
            slowdown = engine.slowdown(now)
        else:
            plain = self._plain_by_instance.get(instance)
            slowdown = 1.0 if plain is None else plain.slowdown(now)
        # Servers of which nothing is known must not seem slow beside fast ones.
        return 1.0 if slowdown <= bounded_pace.NEUTRAL else slowdown

    def slots(self, instance: catalog.Instance, declared: int, now: float) -> int:
        """Return how many requests a server takes well at once.

        Args:
            instance: The server.
            declared: Slots that it declares.
            now: Loop time.
        """
        if self.is_on_probation(instance, now):
            return min(declared, PROBATION_SLOTS)
        limit = self._limit_by_instance.get(instance)
        return declared if limit is None else limit.slots(declared, now)

    def is_on_probation(self, instance: catalog.Instance, now: float) -> bool:
        """Whether only old evidence says that an engine is slow.

        Args:
            instance: The engine.
            now: Loop time.
        """
        engine = self._engine_by_instance.get(instance)
        return engine is not None and engine.is_on_probation(now)

    def is_known(self, instance: catalog.Instance, now: float) -> bool:
        """Whether an engine's passes have been measured recently.

        Args:
            instance: The engine.
            now: Loop time.
        """
        engine = self._engine_by_instance.get(instance)
        return engine is not None and engine.is_fresh(now)

    def on_pass_record(
        self, record: peer_messages.PaceRecord, times: PassTimes, now: float
    ) -> None:
        """Take in what a node measured of an engine's passes.

        Args:
            record: The passes as multiples of `times.shortest`, and their number.
            times: What the passes should have taken, as far as this node knows.
            now: Loop time.
        """
        self.on_sign(record.instance, now)
        seconds = record.slowdown * times.shortest
        bounds = bounded_pace.Bounds(
            seconds / times.most,
            seconds / times.least,
            record.samples,
            times.prefills / times.most,
        )
        self.on_bounds(record.instance, bounds, now)

    def on_bounds(
        self, instance: catalog.Instance, bounds: bounded_pace.Bounds, now: float
    ) -> None:
        """Take in bounds on an engine's slowdown.

        Args:
            instance: The engine.
            bounds: The bounds.
            now: Loop time.
        """
        self._engine_by_instance.setdefault(instance, bounded_pace.BoundedPace()).add(bounds, now)

    def on_sign(self, instance: catalog.Instance, now: float) -> None:
        """Note that an engine has sent an event.

        Args:
            instance: The engine.
            now: Loop time.
        """
        self._sign_at_by_instance[instance] = now

    def heard_at(self, instance: catalog.Instance) -> float:
        """Return the loop time of an engine's last known event; -inf if none is known.

        Args:
            instance: The engine.
        """
        return self._sign_at_by_instance.get(instance, float("-inf"))

    def on_response_record(self, record: peer_messages.PaceRecord, now: float) -> None:
        """Take in what a node measured of a plain server's responses.

        Args:
            record: The response time as a multiple of the assumed one, and the number of responses.
            now: Loop time.
        """
        pace = self._plain_by_instance.setdefault(record.instance, call_pace.CallPace())
        pace.add(record.slowdown, record.samples, now)

    def on_call(
        self,
        instance: catalog.Instance,
        seconds: float,
        in_flight: int,
        declared: int,
        now: float,
    ) -> None:
        """Take in a plain call that this node has placed.

        Args:
            instance: The server.
            seconds: Time from its placement to its end.
            in_flight: Calls at the server when it was placed, this one included.
            declared: Slots that the server declares.
            now: Loop time.
        """
        self._declared_by_instance[instance] = declared
        self._limit(instance).on_call(seconds, in_flight, declared, now)

    def on_full(
        self, instance: catalog.Instance, in_flight: int, declared: int, now: float
    ) -> None:
        """Take in that a server refused a request for lack of room.

        Args:
            instance: The server.
            in_flight: Requests known to be at the server, this one included.
            declared: Slots that the server declares.
            now: Loop time.
        """
        # With few in flight it is for another reason: it rests, or other hubs' requests fill it.
        if 2 * in_flight >= declared:
            self._declared_by_instance[instance] = declared
            self._limit(instance).on_full(in_flight, now)

    def _limit(self, instance: catalog.Instance) -> concurrency_limit.ConcurrencyLimit:
        return self._limit_by_instance.setdefault(instance, concurrency_limit.ConcurrencyLimit())

    def changes(self, now: float) -> list[PaceChange]:
        """Return the servers that have become slow, or are no more, since the last call.

        Args:
            now: Loop time.
        """
        changes = []
        for instance in (*self._engine_by_instance, *self._plain_by_instance):
            slowdown = self.slowdown(instance, now)
            if slowdown >= bounded_pace.SLOW and instance not in self._slow:
                self._slow.add(instance)
                changes.append(PaceChange(instance, slowdown, is_slow=True))
            elif slowdown <= bounded_pace.NEUTRAL and instance in self._slow:
                self._slow.remove(instance)
                changes.append(PaceChange(instance, slowdown, is_slow=False))
        return changes

    @property
    def slow_count(self) -> int:
        """Servers that were slow at the last call of `changes`."""
        return len(self._slow)

    def limited_count(self, now: float) -> int:
        """Return how many servers get fewer requests at once than they declare.

        Args:
            now: Loop time.
        """
        return sum(
            self.slots(instance, declared, now) < declared
            for instance, declared in self._declared_by_instance.items()
        )

    def discard_expired(self, now: float) -> None:
        """Forget servers of which nothing was heard for long.

        Args:
            now: Loop time.
        """
        oldest = now - bounded_pace.RETENTION_SECONDS
        for instance in [
            one for one, pace in self._engine_by_instance.items() if pace.is_expired(now)
        ]:
            del self._engine_by_instance[instance]
        for instance in [
            one for one, pace in self._plain_by_instance.items() if pace.updated_at < oldest
        ]:
            del self._plain_by_instance[instance]
        for instance in [
            one for one, limit in self._limit_by_instance.items() if limit.heard_at < oldest
        ]:
            del self._limit_by_instance[instance]
            del self._declared_by_instance[instance]
        for instance in [one for one, at in self._sign_at_by_instance.items() if at < oldest]:
            del self._sign_at_by_instance[instance]
        self._slow.intersection_update({*self._engine_by_instance, *self._plain_by_instance})

"""Which backend servers want no requests from this node for a time, as they have stated.

A server's rest concerns one node, so it is neither told to others nor kept for a new start of the
server. After it, one request at a time finds out whether the server takes more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dragonflycove.fleet import catalog, work

TRIAL_TIMEOUT_SECONDS = 1.0
"""Time without a response after which another request is let through to a rested server."""

MAX_REST_SECONDS = 3_600.0
"""Upper limit of a rest; a server that states a longer one is tried again once in this time."""

MAX_AVOIDANCE_SECONDS = 8.0
"""Upper limit of the time for which a server that turned trials away is only used without others.

The time doubles with each trial, as each costs a retry.
"""

RETENTION_SECONDS = 60.0
"""Time after the end of a rest for which a server that got no request since is tried with one."""


class _Rest(NamedTuple):
    """The rest of one server; times are loop times."""

    until: float
    avoided_until: float
    refusals: int
    trial_key: work.JobKey | None = None
    trial_until: float = float("-inf")

    def is_open(self, now: float) -> bool:
        return now >= self.until and now >= self.trial_until


class ServerRests:
    """The servers that rest or have rested, by their instances."""

    def __init__(self) -> None:
        """Create without resting servers."""
        self._rest_by_instance: dict[catalog.Instance, _Rest] = {}

    def __len__(self) -> int:
        """Return the number of servers that rest, or that have not responded since."""
        return len(self._rest_by_instance)

    def on_asked(self, instance: catalog.Instance, seconds: float, now: float) -> bool:
        """Record that a server asked for rest; a longer rest that it asked for before stays.

        Args:
            instance: The server.
            seconds: Time for which it wants no requests; 0 for none.
            now: Loop time of the response.

        Returns:
            Whether the end of its rest changed.
        """
        if seconds <= 0:
            return False
        until = now + min(seconds, MAX_REST_SECONDS)
        known = self._rest_by_instance.get(instance)
        if known is not None and known.until >= until:
            return False
        refusals = 1 + (known.refusals if known is not None and now >= known.until else 0)
        doubled = min(MAX_AVOIDANCE_SECONDS, seconds * 2 ** (refusals - 1))
        self._rest_by_instance[instance] = _Rest(until, max(until, now + doubled), refusals)
        return True

    def on_response(self, instance: catalog.Instance, now: float) -> None:
        """Record a response that asks for no rest; the server is used as before if its rest is over.

        Args:
            instance: The server.
            now: Loop time.
        """
        rest = self._rest_by_instance.get(instance)
        if rest is not None and now >= rest.until:
            del self._rest_by_instance[instance]

    def is_resting(self, instance: catalog.Instance, now: float) -> bool:
        """Whether a server wants no requests.

        Args:
            instance: The server.
            now: Loop time.
        """
        rest = self._rest_by_instance.get(instance)
        return rest is not None and now < rest.until

    def begin(self, instance: catalog.Instance, key: work.JobKey, now: float) -> bool:
        """Whether a request may go to a server; if the server has rested, it is tried with it.

        Args:
            instance: The server.
            key: The request.
            now: Loop time.
        """
        rest = self._rest_by_instance.get(instance)
        if rest is None:
            return True
        if not rest.is_open(now):
            return False
        trial_until = now + TRIAL_TIMEOUT_SECONDS
        self._rest_by_instance[instance] = rest._replace(trial_key=key, trial_until=trial_until)
        return True

    def end(self, instance: catalog.Instance, key: work.JobKey) -> None:
        """Record that a request has ended at a server, with or without a response.

        Args:
            instance: The server.
            key: The request.
        """
        rest = self._rest_by_instance.get(instance)
        if rest is not None and rest.trial_key == key:
            self._rest_by_instance[instance] = rest._replace(
                trial_key=None, trial_until=float("-inf")
            )

    def closed(self, instances: Iterable[catalog.Instance], now: float) -> list[catalog.Instance]:
        """Return the servers that may get no request now: they rest, or are being tried.

        Args:
            instances: The servers.
            now: Loop time.
        """
        if not self._rest_by_instance:
            return []
        rests = ((one, self._rest_by_instance.get(one)) for one in instances)
        return [one for one, rest in rests if rest is not None and not rest.is_open(now)]

    def avoided(self, instances: Iterable[catalog.Instance], now: float) -> list[catalog.Instance]:
        """Return the servers that should get no request now while there are others.

        Args:
            instances: The servers.
            now: Loop time.
        """
        if not self._rest_by_instance:
            return []
        rests = ((one, self._rest_by_instance.get(one)) for one in instances)
        return [one for one, rest in rests if rest is not None and now < rest.avoided_until]

    def seconds_to_rest_end(self, instances: Iterable[catalog.Instance], now: float) -> float:
        """Return the time until the first of some servers has rested; 0 if one has.

        Args:
            instances: Servers that may get no request now.
            now: Loop time.
        """
        ends = (self._rest_by_instance[one].until for one in instances)
        return max(0.0, min(ends) - now)

    def discard_expired(self, now: float) -> None:
        """Discard servers that rested long ago.

        Args:
            now: Loop time.
        """
        self._rest_by_instance = {
            instance: rest
            for instance, rest in self._rest_by_instance.items()
            if now - rest.until < RETENTION_SECONDS
        }

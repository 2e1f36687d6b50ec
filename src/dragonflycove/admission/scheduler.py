"""Orders the waiting requests of a node and pairs them with servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dragonflycove.admission import lanes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dragonflycove.admission import entries, promise
    from dragonflycove.routing import demands, router

START_MARGIN = 1.5
"""Multiple of its estimated run before its deadline at which a request has to start."""


class Placement(NamedTuple):
    """A request and the server that is to run it."""

    entry: entries.Entry
    """The request, no longer waiting."""
    choice: demands.Choice
    """The server."""


class Scheduler:
    """The waiting requests of every model."""

    def __init__(
        self, book: entries.Book, servers: router.Router, estimates: promise.Promise
    ) -> None:
        """Create a scheduler in which nothing waits.

        Args:
            book: The admitted requests.
            servers: The node's view of the engines.
            estimates: How requests have run so far.
        """
        self.lanes_by_model: dict[str, lanes.Lanes] = {}
        self._book = book
        self._router = servers
        self._promise = estimates

    def push(self, entry: entries.Entry, weight: float) -> None:
        """Let a request wait.

        Args:
            entry: The request.
            weight: Its organisation's weight.
        """
        request = entry.request
        lane_set = self.lanes_by_model.get(request.model)
        if lane_set is None:
            lane_set = self.lanes_by_model[request.model] = lanes.Lanes()
        rate = self._router.capacity(request.model).mean_prefill_tokens_per_second
        run_seconds = self._promise.run_seconds(request.prompt_tokens / rate, request.max_tokens)
        lane_set.queues_by_lane[lanes.lane_of(request)].push(
            request.request_id,
            request.organisation,
            weight,
            entry.demand.memory_tokens,
            request.deadline,
            request.deadline - START_MARGIN * run_seconds,
        )

    def remove(self, entry: entries.Entry) -> None:
        """Stop a request's waiting, if it waits.

        Args:
            entry: The request.
        """
        request = entry.request
        lane_set = self.lanes_by_model.get(request.model)
        if lane_set is not None:
            lane_set.queues_by_lane[lanes.lane_of(request)].remove(request.request_id)

    def placements(self, model: str, now: float) -> Iterator[Placement]:
        """Take the requests that can be placed now, one by one.

        Args:
            model: Name of the model.
            now: Time, seconds.

        Yields:
            A request and its server; the caller sends it before it asks for the next.
        """
        lane_set = self.lanes_by_model.get(model)
        if lane_set is None:
            return
        blocked: set[lanes.LaneKey] = set()
        while (lane := lane_set.next_lane(now, blocked)) is not None:
            queue = lane_set.queues_by_lane[lane]
            item = queue.peek(now)
            assert item is not None, "a lane that is served has a request"
            entry = self._book.by_id[item.request_id]
            choice = self._router.choose(entry.demand, now)
            if choice is None:
                blocked.add(lane)
                continue
            queue.take(item.request_id)
            lane_set.charge(lane, item.cost_tokens)
            yield Placement(entry, choice)
        if not lane_set:
            del self.lanes_by_model[model]

    def interactive_waits(self, model: str) -> bool:
        """Tell whether a short or medium interactive request waits.

        Args:
            model: Name of the model.

        Returns:
            True where one does.
        """
        lane_set = self.lanes_by_model.get(model)
        return lane_set is not None and lane_set.interactive_waits()

    def queued_tokens(self) -> tuple[int, int]:
        """Return the tokens that wait, by urgency."""
        totals = [0, 0]
        for lane_set in self.lanes_by_model.values():
            for key, queue in lane_set.queues_by_lane.items():
                totals[key.urgency] += queue.tokens
        return (totals[0], totals[1])

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(lane_set) for lane_set in self.lanes_by_model.values())

"""Reports of the attempts that a node makes for a request that another node relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from dragonflycove.fleet import relaying
from dragonflycove.gateway import relay_codec
from dragonflycove.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import catalog, forwarding
    from dragonflycove.gateway import caller_responses
    from dragonflycove.transport import http1


class AttemptReport:
    """What the node that serves a relayed request has reported of its attempts."""

    def __init__(self) -> None:
        """Create a report of a request that was not offered to a node yet."""
        self.attempts: tuple[relaying.ServerAttempt, ...] | None = ()
        """The attempts in order; None if the node may have made some without reporting them."""
        self.is_complete = False
        """Whether the node's response was complete, so that no attempt is missing."""

    def begin(self, *, is_expected: bool) -> None:
        """Begin anew, as the request is offered to a node.

        Args:
            is_expected: Whether the node is known to report its attempts before it makes them.
        """
        self.attempts = () if is_expected else None
        self.is_complete = False

    def receive(self, head: http1.Head) -> bool:
        """Take over the attempts that an informational response states.

        Args:
            head: Head of the response.

        Returns:
            Whether it states attempts.
        """
        if head.get(relay_codec.ATTEMPTS_HEADER) is None:
            return False
        decoded = relay_codec.decode_attempts(head.headers)
        if isinstance(decoded, result.Err):
            logs.warning("attempt_report_unreadable", why=decoded.err_value)
            self.attempts = None
            return False
        self.attempts = decoded.ok_value
        return True

    def ends(self, end: forwarding.AttemptEnd, route: catalog.Route) -> list[forwarding.AttemptEnd]:
        """Return the ends of attempts that the request counts towards its route's limit.

        Args:
            end: How the request ended at the serving node.
            route: The request's route.
        """
        return relaying.count_ends(self.attempts, end, route, is_complete=self.is_complete)


def send(
    response: caller_responses.CallerResponse, attempts: Sequence[relaying.ServerAttempt]
) -> None:
    """Report attempts to the node that relays a request; does nothing for callers.

    A report precedes each attempt, so that a node that is lost has reported what it made.

    Args:
        response: The response to the request.
        attempts: All attempts of this node, the running one last.
    """
    if response.informs:
        response.write_informational(relay_codec.encode_attempts(attempts))

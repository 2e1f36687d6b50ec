"""A node has the configuration in force after a failure of the log or of its own process."""

from __future__ import annotations

import signal

import pytest

from processes import system

pytestmark = pytest.mark.processes


def read_status(tested_system: system.System, node: str) -> dict[str, object]:
    """Return a node's status for operators."""
    node_status: dict[str, object] = tested_system.get(node, "/v1/operator/status")[1]
    return node_status


def take_zone_out(tested_system: system.System, zone: str) -> None:
    """Take a zone out, and wait until the first node has applied it."""
    assert (
        tested_system.run(
            "zone", "out", "--log", tested_system.address_by_name["log"], zone
        ).returncode
        == 0
    )
    system.wait_until(
        lambda: read_status(tested_system, "entry-1")["zones_out"] == [zone],
        "entry-1 has taken the zone out",
    )


def test_a_node_gets_the_configuration_from_a_peer_when_the_log_is_unresponsive(
    own_system: system.System,
) -> None:
    """A node that replaces a killed one gets the version in force from its peer."""
    take_zone_out(own_system, "cayambe")
    own_system.signal("log", signal.SIGSTOP)
    own_system.kill("entry-2")
    own_system.start_node("entry-2", "latacunga")
    system.wait_until(lambda: own_system.get("entry-2", "/readyz")[0] == 200, "entry-2 is ready")
    node_status = read_status(own_system, "entry-2")
    assert (node_status["version"], node_status["zones_out"]) == (2, ["cayambe"])
    assert own_system.complete("entry-2", "with the log silent")[0] == 200


def test_a_node_that_was_frozen_while_a_zone_was_taken_out_sends_no_work_there(
    own_system: system.System,
) -> None:
    """A node that continues with an old version refuses new work until it has read the log."""
    zone = "cayambe"
    zone_engines = [
        name
        for name in own_system.engines
        if own_system.configuration["servers"][name]["zone"] == zone
    ]
    own_system.signal("entry-2", signal.SIGSTOP)
    take_zone_out(own_system, zone)

    def is_unresponsive() -> bool:
        members = read_status(own_system, "entry-1")["members"]
        assert isinstance(members, list)
        return [member["state"] for member in members] == ["silent"]

    system.wait_until(is_unresponsive, "entry-1 lists entry-2 as silent")
    attempts_before = {
        name: set(own_system.read_records(name)["attempts"]) for name in zone_engines
    }
    own_system.signal("entry-2", signal.SIGCONT)
    statuses = [own_system.complete("entry-2", f"awake {number}")[0] for number in range(10)]
    assert set(statuses) <= {200, 503}
    system.wait_until(
        lambda: own_system.complete("entry-2", "awake")[0] == 200, "entry-2 accepts work again"
    )
    assert {
        name: set(own_system.read_records(name)["attempts"]) for name in zone_engines
    } == attempts_before

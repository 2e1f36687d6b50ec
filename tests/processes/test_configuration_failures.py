"""Configuration through failures, on real processes."""

from __future__ import annotations

import signal

import pytest

from processes import system

pytestmark = pytest.mark.processes


def status_of(whole: system.System, node: str) -> dict[str, object]:
    """Return what a node tells of itself."""
    told: dict[str, object] = whole.get(node, "/v1/operator/status")[1]
    return told


def take_out(whole: system.System, zone: str) -> None:
    """Take a zone out, and wait until the first node knows."""
    assert whole.run("zone", "out", "--log", whole.address_by_name["log"], zone).returncode == 0
    system.until(lambda: status_of(whole, "entry-1")["zones_out"] == [zone], "zone is out")


def test_a_fresh_node_starts_with_the_log_silent(whole: system.System) -> None:
    """A node that starts in the place of a dead one takes the version in force from its peer."""
    take_out(whole, "cayambe")
    whole.signal("log", signal.SIGSTOP)
    whole.kill("entry-2")
    whole.start_node("entry-2", "latacunga")
    system.until(lambda: whole.get("entry-2", "/readyz")[0] == 200, "entry-2 is ready")
    told = status_of(whole, "entry-2")
    assert (told["version"], told["zones_out"]) == (2, ["cayambe"])
    assert whole.ask("entry-2", "with the log silent")[0] == 200


def test_a_node_frozen_through_a_zone_out_sends_no_work_there(whole: system.System) -> None:
    """A node that wakes with an old version refuses new work until it has read the log."""
    zone = "cayambe"
    inside = [
        name for name in whole.engines if whole.configuration["servers"][name]["zone"] == zone
    ]
    whole.signal("entry-2", signal.SIGSTOP)
    take_out(whole, zone)

    def is_silent() -> bool:
        members = status_of(whole, "entry-1")["members"]
        assert isinstance(members, list)
        return [member["state"] for member in members] == ["silent"]

    system.until(is_silent, "entry-1 takes entry-2 for silent")
    before = {name: set(whole.books(name)["attempts"]) for name in inside}
    whole.signal("entry-2", signal.SIGCONT)
    answers = [whole.ask("entry-2", f"awake {number}")[0] for number in range(10)]
    assert set(answers) <= {200, 503}
    system.until(lambda: whole.ask("entry-2", "awake")[0] == 200, "entry-2 takes work again")
    assert {name: set(whole.books(name)["attempts"]) for name in inside} == before

"""Tests of the builder of memory groups."""

from __future__ import annotations

import random

from dragonflycove.placement import memory_groups
from dragonflycove.values import outcomes

REQUEST = memory_groups.GroupRequest("r1", 250, 100.0)
CANDIDATES = [memory_groups.Candidate(f"e{number}", 100) for number in (3, 1, 2)]


def make() -> memory_groups.GroupBuilder:
    """Return a builder for `REQUEST`, owned by `a/1`."""
    return memory_groups.GroupBuilder(REQUEST, "a/1", random.Random(1))


def build(builder: memory_groups.GroupBuilder) -> list[memory_groups.Effect]:
    """Grant every reservation at 0 s and return the effects of the last grant."""
    effects = builder.on_start(CANDIDATES, 0.0)
    while isinstance(effects[0], memory_groups.Reserve):
        effects = builder.on_granted(effects[0].server_id, effects[0].group_id, 0.0)
    return effects


def test_engines_are_not_reserved_out_of_identifier_order() -> None:
    ready = build(make())
    assert ready == [memory_groups.GroupReady("r1", "r1.1", ("e1", "e2", "e3"))]


def test_no_reservation_is_kept_between_a_denial_and_the_next_attempt() -> None:
    builder = make()
    builder.on_start(CANDIDATES, 0.0)
    builder.on_granted("e1", "r1.1", 0.0)
    assert builder.on_denied("e2", "r1.1", 0.0) == [memory_groups.Release("e1", "r1.1")]
    assert not builder.is_retry_due(0.0)
    assert builder.is_retry_due(1.0)
    assert build(builder) == [memory_groups.GroupReady("r1", "r1.2", ("e1", "e2", "e3"))]


def test_dead_engine_fails_a_running_group_and_its_reservations_do_not_leak() -> None:
    builder = make()
    build(builder)
    effects = builder.on_engine_died("e2", 5.0)
    assert isinstance(effects[0], memory_groups.GroupFailed)
    assert effects[0].reason is outcomes.Reason.BACKEND_CRASHED
    assert [effect.server_id for effect in effects[1:]] == ["e1", "e3"]  # type: ignore[union-attr]
    builder.on_released("e1", "r1.1")
    builder.on_release_response_lost("e3", "r1.1", 5.0)
    assert not builder.is_done
    assert builder.on_tick(6.0) == [memory_groups.Release("e3", "r1.1")]
    builder.on_released("e3", "r1.1")
    assert builder.is_done


def test_reservations_of_a_running_group_do_not_expire() -> None:
    builder = make()
    build(builder)
    renewals = []
    for second in range(95):
        effects = builder.on_tick(float(second))
        renewals += [effect for effect in effects if isinstance(effect, memory_groups.Reserve)]
        for effect in effects:
            assert isinstance(effect, memory_groups.Reserve)
            builder.on_granted(effect.server_id, effect.group_id, float(second))
    assert len(renewals) == 3 * 9
    assert builder.phase is memory_groups.Phase.READY


def test_reservation_granted_after_the_request_ended_does_not_leak() -> None:
    builder = make()
    builder.on_start(CANDIDATES, 0.0)
    assert builder.on_request_ended(1.0) == [memory_groups.Release("e1", "r1.1")]
    builder.on_released("e1", "r1.1")
    assert builder.on_granted("e1", "r1.1", 2.0) == [memory_groups.Release("e1", "r1.1")]
    assert not builder.is_done


def test_late_response_does_not_extend_a_reservation_beyond_its_earliest_expiry() -> None:
    builder = make()
    build(builder)
    assert len(builder.on_tick(10.0)) == len(builder.on_tick(20.0)) == 3
    for server_id in ("e1", "e2", "e3"):
        builder.on_granted(server_id, "r1.1", 21.0)
    assert isinstance(
        builder.on_tick(10.0 + memory_groups.EXPIRY_SECONDS)[0], memory_groups.GroupFailed
    )

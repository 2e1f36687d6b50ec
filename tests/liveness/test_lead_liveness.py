"""When a silent lead engine is probed, and when it is lost."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from dragonflycove.liveness import lead_liveness

RELEASE_SECONDS = 4.0
"""Time from an engine's end within which its helpers' KV cache must be free, as specified."""

CALL_SECONDS = 0.6
"""Timeout of a probe, and of the release of a helper's KV cache."""


@hypothesis.given(died_at=strategies.floats(0.0, 20.0))
def test_the_loss_of_a_dead_lead_leaves_time_to_free_kv_cache(died_at: float) -> None:
    # A lead whose first event was predicted after 3 s was awaited for 3.7 s, dead or not.
    liveness = lead_liveness.LeadLiveness(7, 0.0)
    now = 0.0
    while not liveness.is_lost:
        now = max(now, liveness.next_probe_at)
        if now < died_at:
            liveness.on_response(7, now)
        else:
            now += CALL_SECONDS
            liveness.on_no_response(now)
    assert died_at <= now
    assert now - died_at + CALL_SECONDS <= RELEASE_SECONDS


def test_a_lead_that_responds_is_not_lost_however_long_it_is_silent() -> None:
    # 3 prompts of 400,000 to 600,000 tokens were cut at sound engines after 3.4 to 5.2 s.
    liveness = lead_liveness.LeadLiveness(7, 0.0)
    for _ in range(100):
        now = liveness.next_probe_at
        liveness.on_no_response(now)
        liveness.on_no_response(now)
        liveness.on_response(7, now)
    assert not liveness.is_lost


def test_a_lead_that_started_again_is_lost() -> None:
    liveness = lead_liveness.LeadLiveness(7, 0.0)
    liveness.on_response(9, 1.0)
    assert liveness.is_lost


def test_a_lead_that_states_no_start_is_not_lost() -> None:
    for known, stated in ((7, 0), (0, 9), (0, 0)):
        liveness = lead_liveness.LeadLiveness(known, 0.0)
        liveness.on_response(stated, 1.0)
        assert not liveness.is_lost

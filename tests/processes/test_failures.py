"""One test for each kind of failure, on real processes."""

from __future__ import annotations

import json
import signal

import pytest

from dragonflycove.measure import stream_check
from processes import streaming, system

pytestmark = pytest.mark.processes

TOKENS = 60
"""Tokens of a stream that is long enough to fail in the middle."""


def check_answer(prompt: str, frames: list[streaming.Frame], tokens: int) -> None:
    """Fail unless the frames are the whole answer to the prompt."""
    check = stream_check.StreamCheck(prompt, tokens)
    for frame in frames:
        check.on_token(frame.number, frame.text, frame.finish)
    assert check.faults(answered=True) == ()


def server_of(stream: streaming.Stream) -> str:
    """Return the engine that a resume token names."""
    return stream.token.split("~")[0]


def settle(whole: system.System) -> None:
    """Wait until no engine holds memory."""
    for engine in whole.engines:
        system.until(
            lambda engine=engine: whole.books(engine)["memory_held_tokens"] == 0,
            f"{engine} holds no memory",
        )


def test_an_engine_killed_in_mid_stream_costs_no_token(whole: system.System) -> None:
    stream = streaming.open_stream(whole, "entry-1", "kill the engine", TOKENS)
    frames = stream.read(10)
    whole.kill(server_of(stream))
    frames += stream.read()
    assert stream.done, stream.error
    check_answer("kill the engine", frames, TOKENS)


def test_a_killed_node_costs_no_token(whole: system.System) -> None:
    stream = streaming.open_stream(whole, "entry-1", "kill the node", TOKENS)
    frames = stream.read(10)
    whole.kill("entry-1")
    resumed = streaming.resume(whole.address_by_name["entry-2"], stream.token, frames[-1].number)
    frames += resumed.read()
    assert resumed.done, resumed.error
    check_answer("kill the node", frames, TOKENS)
    settle(whole)


def test_a_stream_of_a_killed_node_that_nobody_resumes_is_given_back(
    whole: system.System,
) -> None:
    stream = streaming.open_stream(whole, "entry-1", "nobody comes back", 400)
    stream.read(3)
    server, attempt, _ = stream.token.split("~")
    whole.kill("entry-1")
    whole.unlist_host("entry-1")
    system.until(
        lambda: whole.books(server)["memory_held_tokens"] == 0, "the dead node's stream is gone"
    )
    # It was cancelled in the middle, not left to run to its end.
    assert whole.books(server)["attempts"][attempt]["end"] == "cancelled"


def test_silent_connections_cost_no_token(shared: system.System) -> None:
    stream = streaming.open_stream(shared, "entry-1", "go silent", TOKENS)
    frames = stream.read(10)
    shared.faults(server_of(stream), silence_open_connections=True)
    frames += stream.read()
    assert stream.done, stream.error
    check_answer("go silent", frames, TOKENS)


def test_crossed_doubled_and_swapped_frames_do_not_reach_the_caller(
    shared: system.System,
) -> None:
    for engine in shared.engines:
        shared.faults(engine, duplicate_every=5, swap_every=7, cross_every=3, drop_every=11)
    stream = streaming.open_stream(shared, "entry-1", "cross the frames", TOKENS)
    frames = stream.read()
    assert stream.done, stream.error
    check_answer("cross the frames", frames, TOKENS)


def test_a_graceful_stop_cuts_no_stream(whole: system.System) -> None:
    stream = streaming.open_stream(whole, "entry-1", "stop the node", TOKENS)
    frames = stream.read(5)
    whole.signal("entry-1", signal.SIGTERM)
    frames += stream.read()
    assert stream.done, stream.error
    check_answer("stop the node", frames, TOKENS)
    assert whole.wait("entry-1") == 0


def test_a_stopping_node_hands_a_long_stream_over(whole: system.System) -> None:
    tokens = 400
    stream = streaming.open_stream(whole, "entry-1", "hand me over", tokens)
    frames = stream.read(5)
    whole.signal("entry-1", signal.SIGTERM)
    frames += stream.read()
    assert stream.handover == whole.address_by_name["entry-2"]
    # The other node owned the stream before this one let go of it.
    events = whole.get("entry-2", "/metrics")[1]
    assert 'dragonflycove_events{name="stream_taken_over"} 1' in events
    resumed = streaming.resume(stream.handover, stream.token, frames[-1].number)
    frames += resumed.read()
    assert resumed.done, resumed.error
    check_answer("hand me over", frames, tokens)
    assert whole.wait("entry-1") == 0


def test_a_zone_taken_out_gets_no_new_work_and_its_streams_end(whole: system.System) -> None:
    stream = streaming.open_stream(whole, "entry-1", "leave the zone", TOKENS)
    frames = stream.read(5)
    zone = whole.configuration["servers"][server_of(stream)]["zone"]
    assert whole.run("zone", "out", "--log", whole.address_by_name["log"], zone).returncode == 0
    for node in whole.nodes:
        system.until(
            lambda node=node: whole.get(node, "/v1/operator/status")[1]["zones_out"] == [zone],
            f"{node} knows that the zone is out",
        )
    inside = [
        name for name in whole.engines if whole.configuration["servers"][name]["zone"] == zone
    ]
    before = {name: set(whole.books(name)["attempts"]) for name in inside}
    for number in range(12):
        assert whole.ask(whole.nodes[number % 2], f"after {number}")[0] == 200
    frames += stream.read()
    assert stream.done, stream.error
    check_answer("leave the zone", frames, TOKENS)
    assert {name: set(whole.books(name)["attempts"]) for name in inside} == before


def test_a_posting_runs_once_whatever_answers_are_lost(shared: system.System) -> None:
    key = system.new_key("lost")
    for name in shared.plain:
        shared.faults(name, match="POST", cut_after=1)
    status, body = shared.post("entry-1", key)
    assert (status, body["error"]["code"]) == (504, "outcome_unknown")
    assert body["error"]["ran"] == "may_have_run"
    status, body = shared.post("entry-2", key)
    assert body["error"]["ran"] == "may_have_run"
    assert shared.executions(key) == 1


def test_a_repeated_posting_gets_the_recorded_answer(shared: system.System) -> None:
    key = system.new_key("twice")
    first = shared.post("entry-1", key)
    assert first[0] == 200
    assert shared.post("entry-2", key) == first
    status, body = shared.post("entry-2", key, b"amount=8")
    assert (status, body["error"]["code"]) == (422, "key_reused")
    assert shared.executions(key) == 1


def test_a_log_outage_stops_postings_only(shared: system.System) -> None:
    shared.faults("log", outage=True)
    key = system.new_key("outage")
    status, body = shared.post("entry-1", key)
    assert status == 503
    assert body["error"]["ran"] == "not_run"
    assert shared.executions(key) == 0
    assert shared.ask("entry-2", "the log is down")[0] == 200
    shared.faults("log")
    system.until(lambda: shared.post("entry-1", key)[0] == 200, "the posting is taken")
    assert shared.executions(key) == 1


def test_a_holder_frozen_past_its_claim_runs_nothing_twice(whole: system.System) -> None:
    key = system.new_key("frozen")
    # The claim's answer is held back so that the holder is frozen between claim and send.
    whole.faults("log", match="POST", delay_seconds=1.0)
    held = whole.begin_post("entry-1", key)
    try:
        claims = f"{whole.address_by_name['log']}/v1/streams/claims/records?from=0&limit=9&wait=0"
        system.until(lambda: key in json.dumps(system.http("GET", claims)[1]), "the claim")
        whole.signal("entry-1", signal.SIGSTOP)
        whole.faults("log")
        system.until(
            lambda: whole.post("entry-2", key)[1]["error"]["ran"] == "may_have_run",
            "the other node gives the claim up",
        )
        whole.signal("entry-1", signal.SIGCONT)
        assert held.result()[1]
        assert whole.executions(key) <= 1
    finally:
        whole.signal("entry-1", signal.SIGCONT)


def test_a_crashing_prompt_takes_down_two_engines_and_no_bystander_fails(
    whole: system.System,
) -> None:
    bystander = streaming.open_stream(whole, "entry-1", "stand by", TOKENS)
    frames = bystander.read(3)
    poison = "CRASH-ENGINE please"
    for number in range(6):
        whole.ask(whole.nodes[number % 2], poison)
    frames += bystander.read()
    assert bystander.done, bystander.error
    check_answer("stand by", frames, TOKENS)
    for name in whole.engines:
        system.until(lambda name=name: whole.books(name), f"{name} is up again")
    crashes = sum(len(whole.books(name)["crashes"]) for name in whole.engines)
    assert crashes <= 2
    status, body = whole.ask("entry-2", poison)
    assert (status, body["error"]["code"]) == (422, "quarantined")


def test_a_memory_group_whose_lead_dies_is_built_again(whole: system.System) -> None:
    # 120,000 tokens, where an engine has 100,000: two engines are needed, and three are there.
    prompt = "long ledger " * 40_000
    stream = streaming.open_stream(whole, "entry-1", prompt, TOKENS)
    frames = stream.read(3)
    whole.kill(server_of(stream))
    frames += stream.read()
    assert stream.done, stream.error
    check_answer(prompt, frames, TOKENS)
    for engine in whole.engines:
        if whole.is_running(engine):
            system.until(
                lambda engine=engine: not whole.books(engine)["reservations"],
                f"{engine} has no reservation left",
            )


def test_racing_operators_get_one_acceptance(shared: system.System) -> None:
    texts = []
    for weight in (2.0, 3.0, 4.0):
        organisations = {"andrade": {"weight": weight}}
        texts.append({**shared.configuration, "organisations": organisations})
    # Every racer reads the same version before the first append is taken.
    shared.faults("log", match="POST", delay_seconds=1.5)
    base = shared.get("entry-1", "/v1/operator/status")[1]["version"]
    published = shared.publish_all(texts, base)
    accepted = [ended for ended in published if ended.returncode == 0]
    assert len(accepted) == 1
    assert f"accepted as version {base + 1}" in accepted[0].stdout
    for ended in published:
        if ended.returncode != 0:
            assert f"version {base + 1}" in ended.stdout + ended.stderr

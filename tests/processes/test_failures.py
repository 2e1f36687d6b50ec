"""Failures of engines, nodes, the log and connections, each injected into real processes."""

from __future__ import annotations

import json
import signal

import pytest

from dragonflycove.measure import stream_check
from processes import streaming, system

pytestmark = pytest.mark.processes

TOKENS = 60
"""Length of a stream that still runs when its test injects the failure."""


def check_response(prompt: str, frames: list[streaming.Frame], tokens: int) -> None:
    """Assert that the frames are the complete response to the prompt."""
    check = stream_check.StreamCheck(prompt, tokens)
    for frame in frames:
        check.on_token(frame.number, frame.text, frame.finish)
    assert check.faults(answered=True) == ()


def engine_of(stream: streaming.Stream) -> str:
    """Return the engine that the stream's latest resume token names."""
    return stream.token.split("~")[0]


def wait_until_kv_cache_is_free(tested_system: system.System) -> None:
    """Wait until no engine holds KV cache memory."""
    for engine in tested_system.engines:
        system.wait_until(
            lambda engine=engine: tested_system.read_records(engine)["memory_held_tokens"] == 0,
            f"{engine} holds no KV cache memory",
        )


def test_a_stream_loses_no_token_when_its_engine_is_killed(own_system: system.System) -> None:
    stream = streaming.open_stream(own_system, "entry-1", "kill the engine", TOKENS)
    frames = stream.read(10)
    own_system.kill(engine_of(stream))
    frames += stream.read()
    assert stream.done, stream.error
    check_response("kill the engine", frames, TOKENS)


def test_a_resumed_stream_loses_no_token_when_its_node_is_killed(own_system: system.System) -> None:
    stream = streaming.open_stream(own_system, "entry-1", "kill the node", TOKENS)
    frames = stream.read(10)
    own_system.kill("entry-1")
    resumed = streaming.resume(
        own_system.address_by_name["entry-2"], stream.token, frames[-1].number
    )
    frames += resumed.read()
    assert resumed.done, resumed.error
    check_response("kill the node", frames, TOKENS)
    wait_until_kv_cache_is_free(own_system)


def test_a_stream_of_a_killed_node_that_is_not_resumed_is_cancelled(
    own_system: system.System,
) -> None:
    stream = streaming.open_stream(own_system, "entry-1", "nobody comes back", 400)
    stream.read(3)
    server, attempt, _ = stream.token.split("~")
    own_system.kill("entry-1")
    own_system.remove_host("entry-1")
    system.wait_until(
        lambda: own_system.read_records(server)["memory_held_tokens"] == 0,
        "the dead node's stream is gone",
    )
    # The attempt was cancelled, instead of running to its end.
    assert own_system.read_records(server)["attempts"][attempt]["end"] == "cancelled"


def test_a_stream_loses_no_token_when_its_engine_connection_goes_silent(
    shared_system: system.System,
) -> None:
    stream = streaming.open_stream(shared_system, "entry-1", "go silent", TOKENS)
    frames = stream.read(10)
    shared_system.set_faults(engine_of(stream), silence_open_connections=True)
    frames += stream.read()
    assert stream.done, stream.error
    check_response("go silent", frames, TOKENS)


def test_misrouted_duplicated_swapped_and_lost_frames_do_not_change_the_response(
    shared_system: system.System,
) -> None:
    for engine in shared_system.engines:
        shared_system.set_faults(
            engine, duplicate_every=5, swap_every=7, cross_every=3, drop_every=11
        )
    stream = streaming.open_stream(shared_system, "entry-1", "cross the frames", TOKENS)
    frames = stream.read()
    assert stream.done, stream.error
    check_response("cross the frames", frames, TOKENS)


def test_a_graceful_stop_interrupts_no_stream(own_system: system.System) -> None:
    stream = streaming.open_stream(own_system, "entry-1", "stop the node", TOKENS)
    frames = stream.read(5)
    own_system.signal("entry-1", signal.SIGTERM)
    frames += stream.read()
    assert stream.done, stream.error
    check_response("stop the node", frames, TOKENS)
    assert own_system.wait("entry-1") == 0


def test_a_draining_node_hands_a_long_stream_over(own_system: system.System) -> None:
    tokens = 400
    stream = streaming.open_stream(own_system, "entry-1", "hand me over", tokens)
    frames = stream.read(5)
    own_system.signal("entry-1", signal.SIGTERM)
    frames += stream.read()
    assert stream.handover == own_system.address_by_name["entry-2"]
    # The other node took the stream over before this one closed its connection.
    events = own_system.get("entry-2", "/metrics")[1]
    assert 'dragonflycove_events{name="stream_taken_over"} 1' in events
    resumed = streaming.resume(stream.handover, stream.token, frames[-1].number)
    frames += resumed.read()
    assert resumed.done, resumed.error
    check_response("hand me over", frames, tokens)
    assert own_system.wait("entry-1") == 0


def test_a_zone_taken_out_gets_no_new_work_and_its_streams_finish(
    own_system: system.System,
) -> None:
    stream = streaming.open_stream(own_system, "entry-1", "leave the zone", TOKENS)
    frames = stream.read(5)
    zone = own_system.configuration["servers"][engine_of(stream)]["zone"]
    assert (
        own_system.run("zone", "out", "--log", own_system.address_by_name["log"], zone).returncode
        == 0
    )
    for node in own_system.nodes:
        system.wait_until(
            lambda node=node: own_system.get(node, "/v1/operator/status")[1]["zones_out"] == [zone],
            f"{node} knows that the zone is out",
        )
    zone_engines = [
        name
        for name in own_system.engines
        if own_system.configuration["servers"][name]["zone"] == zone
    ]
    attempts_before = {
        name: set(own_system.read_records(name)["attempts"]) for name in zone_engines
    }
    for number in range(12):
        assert own_system.complete(own_system.nodes[number % 2], f"after {number}")[0] == 200
    frames += stream.read()
    assert stream.done, stream.error
    check_response("leave the zone", frames, TOKENS)
    assert {
        name: set(own_system.read_records(name)["attempts"]) for name in zone_engines
    } == attempts_before


def test_a_posting_runs_once_when_its_responses_are_lost(shared_system: system.System) -> None:
    key = system.make_key("lost")
    for name in shared_system.plain:
        shared_system.set_faults(name, match="POST", cut_after=1)
    status, body = shared_system.send_posting("entry-1", key)
    assert (status, body["error"]["code"]) == (504, "outcome_unknown")
    assert body["error"]["ran"] == "may_have_run"
    status, body = shared_system.send_posting("entry-2", key)
    assert body["error"]["ran"] == "may_have_run"
    assert shared_system.executions(key) == 1


def test_a_resent_posting_gets_the_recorded_response(shared_system: system.System) -> None:
    key = system.make_key("twice")
    first_response = shared_system.send_posting("entry-1", key)
    assert first_response[0] == 200
    assert shared_system.send_posting("entry-2", key) == first_response
    status, body = shared_system.send_posting("entry-2", key, b"amount=8")
    assert (status, body["error"]["code"]) == (422, "key_reused")
    assert shared_system.executions(key) == 1


def test_a_log_outage_refuses_postings_but_not_prompts(shared_system: system.System) -> None:
    shared_system.set_faults("log", outage=True)
    key = system.make_key("outage")
    status, body = shared_system.send_posting("entry-1", key)
    assert status == 503
    assert body["error"]["ran"] == "not_run"
    assert shared_system.executions(key) == 0
    assert shared_system.complete("entry-2", "the log is down")[0] == 200
    shared_system.set_faults("log")
    system.wait_until(
        lambda: shared_system.send_posting("entry-1", key)[0] == 200, "the posting succeeds"
    )
    assert shared_system.executions(key) == 1


def test_a_posting_runs_at_most_once_when_its_node_freezes_past_the_claim(
    own_system: system.System,
) -> None:
    key = system.make_key("frozen")
    # The response to the claim's append is delayed, so that the node freezes before it sends.
    own_system.set_faults("log", match="POST", delay_seconds=1.0)
    pending_posting = own_system.send_posting_in_background("entry-1", key)
    try:
        claims = (
            f"{own_system.address_by_name['log']}/v1/streams/claims/records?from=0&limit=9&wait=0"
        )
        system.wait_until(
            lambda: key in json.dumps(system.send_http("GET", claims)[1]), "the claim is in the log"
        )
        own_system.signal("entry-1", signal.SIGSTOP)
        own_system.set_faults("log")
        system.wait_until(
            lambda: own_system.send_posting("entry-2", key)[1]["error"]["ran"] == "may_have_run",
            "the other node reports that the posting may have run",
        )
        own_system.signal("entry-1", signal.SIGCONT)
        assert pending_posting.result()[1]
        assert own_system.executions(key) <= 1
    finally:
        own_system.signal("entry-1", signal.SIGCONT)


def test_a_crashing_prompt_crashes_at_most_two_engines_and_fails_no_other_stream(
    own_system: system.System,
) -> None:
    other_stream = streaming.open_stream(own_system, "entry-1", "stand by", TOKENS)
    frames = other_stream.read(3)
    crash_prompt = "CRASH-ENGINE please"
    for number in range(6):
        own_system.complete(own_system.nodes[number % 2], crash_prompt)
    frames += other_stream.read()
    assert other_stream.done, other_stream.error
    check_response("stand by", frames, TOKENS)
    for name in own_system.engines:
        system.wait_until(lambda name=name: own_system.read_records(name), f"{name} is up again")
    crashes = sum(len(own_system.read_records(name)["crashes"]) for name in own_system.engines)
    assert crashes <= 2
    status, body = own_system.complete("entry-2", crash_prompt)
    assert (status, body["error"]["code"]) == (422, "quarantined")


def test_a_memory_group_is_rebuilt_when_its_lead_engine_is_killed(
    own_system: system.System,
) -> None:
    # The prompt has 120,000 tokens and an engine holds 100,000: two of the three must share it.
    prompt = "long ledger " * 40_000
    stream = streaming.open_stream(own_system, "entry-1", prompt, TOKENS)
    frames = stream.read(3)
    own_system.kill(engine_of(stream))
    frames += stream.read()
    assert stream.done, stream.error
    check_response(prompt, frames, TOKENS)
    for engine in own_system.engines:
        if own_system.is_running(engine):
            system.wait_until(
                lambda engine=engine: not own_system.read_records(engine)["reservations"],
                f"{engine} has no reservation left",
            )


def test_one_of_several_concurrent_publications_is_accepted(shared_system: system.System) -> None:
    configurations = []
    for weight in (2.0, 3.0, 4.0):
        organisations = {"andrade": {"weight": weight}}
        configurations.append({**shared_system.configuration, "organisations": organisations})
    # The delay lets every publisher read the same version before the first append is confirmed.
    shared_system.set_faults("log", match="POST", delay_seconds=1.5)
    base = shared_system.get("entry-1", "/v1/operator/status")[1]["version"]
    completed_processes = shared_system.publish_concurrently(configurations, base)
    accepted_processes = [
        completed_process
        for completed_process in completed_processes
        if completed_process.returncode == 0
    ]
    assert len(accepted_processes) == 1
    assert f"accepted as version {base + 1}" in accepted_processes[0].stdout
    for completed_process in completed_processes:
        if completed_process.returncode != 0:
            assert f"version {base + 1}" in completed_process.stdout + completed_process.stderr

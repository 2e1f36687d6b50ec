"""Tests of the platform's wire formats: decoding, encoding, and malformed input."""

from __future__ import annotations

import json
import math

import pytest
import result
from hypothesis import given
from hypothesis import strategies as st

from dragonflycove.fleet import catalog, forwarding
from dragonflycove.platform import (
    configuration_faults,
    engine_orders,
    header_numbers,
    records,
    requests,
    settings,
)
from dragonflycove.telemetry import logs
from dragonflycove.transport import http1
from tests.fleet import builders
from tests.gateway import deployment

SETTINGS = """
node_name: "edge-z1-1"
some_new_field: {a: 1}
ip: "10.1.0.40"
zone: "z1"
region: "r1"
zones: {z1: "r1", z2: "r1"}
listen_addresses: {frontend: "10.1.0.40:8227", ready: "10.1.0.40:8220"}
internal_port_range: [7340, 7355]
seed_nodes: ["10.1.0.40:8229"]
limits: {cpu_share: 0.537, cpu_cores: 2, memory_mb: 300}
heartbeat_ms: 1200
bounds: {drain_ms: 2000, grace_s: 8, retry_allowance: 102}
platform: {address: "10.200.1.7:8223", writes_per_s: 400, reads_per_s: 2000}
"""


def test_settings_decode_and_unknown_fields_are_ignored() -> None:
    decoded = settings.decode(SETTINGS).unwrap()
    assert decoded.host == "edge-z1-1"
    assert decoded.caller_address == catalog.Address("10.1.0.40", 8227)
    assert decoded.peer_address == catalog.Address("10.1.0.40", 7340)
    assert decoded.directory_address is None
    assert decoded.cores == pytest.approx(1.074)
    assert decoded.bounds.drain_seconds == 2.0
    assert decoded.bounds.retry_allowance == 102
    assert decoded.seed_ips == ("10.1.0.40",)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "a: [",
        "node_name: x",
        SETTINGS.replace("7340", "x"),
        SETTINGS.replace("7340", ".inf"),
        SETTINGS + "limits: {memory_mb: .inf}",
        SETTINGS + "limits: {max_fds: .nan}",
        SETTINGS + "bounds: {grace_s: .nan}",
    ],
)
def test_invalid_settings_are_an_error(text: str) -> None:
    assert isinstance(settings.decode(text), result.Err)


def test_settings_of_any_size_are_read() -> None:
    """A bound of 400 digits ended the process with an exception."""
    digits = "9" * 400
    decoded = settings.decode(
        SETTINGS + f"bounds: {{grace_s: {digits}}}\nlimits: {{memory_mb: {digits}}}"
    ).unwrap()
    assert (decoded.bounds.grace_seconds, decoded.memory_bytes) == (1e15, 10**15)


def test_a_missing_settings_file_is_an_error() -> None:
    assert "No such file" in settings.read_file("/nonexistent/boot.yaml").unwrap_err()


def test_configuration_values_are_converted_to_base_units() -> None:
    value = json.dumps(deployment.configuration(7)).encode()
    decoded = records.decode_configuration(value).unwrap()
    route = decoded.find_route("h.example", "/ask/x")
    engine = decoded.service_by_name["svc"].engine
    assert decoded.version == 7
    assert route is not None
    assert (route.timeout_seconds, route.latency_target_seconds, route.gap_target_seconds) == (
        4.0,
        0.3,
        0.25,
    )
    assert engine is not None
    assert engine.step_seconds == pytest.approx(0.00102)
    assert engine.attention_seconds_per_token_pair == pytest.approx(0.138e-9)
    assert engine.step_seconds_per_context_token == pytest.approx(0.00431e-6)
    assert decoded.organisation_by_key["k1"].name == "org"


def test_a_traffic_split_becomes_weights_by_service() -> None:
    value = deployment.configuration()
    split = [{"service": "svc", "weight": 90}, {"service": "plain", "weight": 10}]
    value["routes"][0]["traffic_split"] = split  # type: ignore[index]
    decoded = records.decode_configuration(json.dumps(value).encode()).unwrap()
    route = decoded.find_route("h.example", "/ask/x")
    assert route is not None
    assert route.weights_by_service == (("svc", 90), ("plain", 10))


@pytest.mark.parametrize(
    "name",
    ["latency_goal_ms", "priority", "max_attempts", "public", "resumable", "gap_target_ms"]
    + ["traffic_split"],
)
def test_null_in_an_optional_field_of_a_route_counts_as_missing(name: str) -> None:
    value, without = deployment.configuration(), deployment.configuration()
    value["routes"][0][name] = None  # type: ignore[index]
    without["routes"][0].pop(name, None)  # type: ignore[index]
    decoded = [
        records.decode_configuration(json.dumps(one).encode()).unwrap() for one in (value, without)
    ]
    assert decoded[0] == decoded[1]


@pytest.mark.parametrize("name", ["max_header_bytes", "max_body_bytes", "idle_timeout_ms"])
def test_null_in_a_limit_counts_as_missing(name: str) -> None:
    value = deployment.configuration(limits={name: None})
    limits = records.decode_configuration(json.dumps(value).encode()).unwrap().limits
    assert limits == catalog.CallerLimits(version=1)


ENTRY = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1700000000123,
}


def test_a_server_record_decodes() -> None:
    server = records.decode_server("i-1", json.dumps(ENTRY).encode()).unwrap()
    assert server.instance == catalog.Instance("i-1", 1700000000123)
    assert server.address == catalog.Address("10.128.0.9", 8080)
    assert server.cold_seconds == 1.5


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"state": 1},
        {"service": None},
        {"service": 5},
        {"address": "nowhere"},
        {"address": 9},
        {"slots": "8"},
        {"born": "x"},
        {"cold_remaining_ms": None},
        {"zone": ["z1"]},
        {"zone": "\ud800"},
        {"service": "\udfff"},
        {"slots": float("inf")},
        {"slots": float("nan")},
        {"born": float("-inf")},
        {"cold_remaining_ms": float("nan")},
        {"born": 10**1_000},
        {"born": 1.5},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:-80"},
        {"address": "a\0b:80"},
    ],
)
def test_a_malformed_server_record_is_an_error(change: dict[str, object]) -> None:
    value = json.dumps(ENTRY | change).encode()
    assert isinstance(records.decode_server("i-1", value), result.Err)


@pytest.mark.parametrize(
    ("text", "version"),
    [
        ("1796669209489878", 1_796_669_209_489_878),
        ("9007199254740993", 2**53 + 1),
        ("9007199254740993.0", 2**53 + 1),
        ('"9007199254740993"', 2**53 + 1),
        ("1e21", 10**21),
        ("9" * 1_000, 10**1_000 - 1),
        ("7.5", None),
        ("9007199254740993.5", None),
        ("1" + "0" * 1_000, None),
        ("1e1000", None),
        ("1e999999999999", None),
        ("1e9999999999999999999999", None),
        ("9" * 4_301, None),
        ("NaN", None),
        ("[7]", None),
    ],
)
def test_a_version_is_read_exactly_or_not_at_all(text: str, version: int | None) -> None:
    """Versions above 2^53 were rounded to others, and 7.5 to 7."""
    value = json.dumps(deployment.configuration()).replace('"version": 1', f'"version": {text}')
    decoded = records.decode_configuration(value.encode())
    assert decoded.map(lambda one: (one.version, one.limits.version)).ok() == (
        None if version is None else (version, version)
    )
    # What nodes can't read is never sent.
    assert isinstance(configuration_faults.find(value), result.Ok) == (version is not None)


@given(st.integers(), st.integers(0, 30))
def test_a_start_is_read_exactly(number: int, shift: int) -> None:
    born = number * 10**shift
    server = records.decode_server("i-1", json.dumps(ENTRY | {"born": born}).encode()).unwrap()
    assert server.instance.started_at_ms == born


@pytest.mark.parametrize("text", ["1e15", "1e16", "9" * 400, "1e400", "1e999999999999999"])
def test_a_quantity_beyond_any_deployment_counts_as_the_greatest(text: str) -> None:
    value = json.dumps(ENTRY).replace("1500", text)
    server = records.decode_server("i-1", value.encode()).unwrap()
    assert server.cold_seconds == 1e12


@pytest.mark.parametrize("server_id", ["a\nb", "a\rb", "a\0b", " a", "a\t", "\ud800"])
def test_a_server_id_that_can_not_be_sent_in_a_header_is_an_error(server_id: str) -> None:
    assert isinstance(records.decode_server(server_id, json.dumps(ENTRY).encode()), result.Err)


def test_values_nested_without_end_are_an_error() -> None:
    assert isinstance(records.decode_server("i", b"[" * 200_000), result.Err)
    assert isinstance(records.decode_configuration(b"[" * 200_000), result.Err)
    assert engine_orders.decode_report(b"[" * 200_000) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"version": float("inf")},
        {"limits": {"idle_timeout_ms": float("nan")}},
        {"limits": {"max_body_bytes": float("inf")}},
        {"tenants": [{"name": 5, "api_keys": ["k1"]}]},
        {"tenants": [{"name": "a\nb", "api_keys": ["k1"]}]},
        {"tenants": [{"name": "\ud800", "api_keys": ["k1"]}]},
        {"tenants": [{"name": "org", "api_keys": ["k1"], "priority": "high"}]},
    ],
)
def test_a_configuration_that_requests_could_not_be_served_by_is_an_error(
    changes: dict[str, object],
) -> None:
    value = json.dumps(deployment.configuration() | changes).encode()
    assert isinstance(records.decode_configuration(value), result.Err)


_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=5,
)


@given(st.sampled_from(sorted(ENTRY)), _JSON)
def test_a_server_record_with_any_value_in_a_field_decodes_or_is_an_error(
    field: str, value: object
) -> None:
    decoded = records.decode_server("i-1", json.dumps(ENTRY | {field: value}).encode())
    if isinstance(decoded, result.Ok):
        server = decoded.ok_value
        assert 0 < server.address.port < 65_536
        assert abs(server.cold_seconds) < float("inf")
        assert server.zone.encode() and server.service.encode() or not server.zone


@given(
    st.sampled_from(("routes", "services", "tenants")),
    st.integers(0, 1),
    st.data(),
    _JSON,
)
def test_a_configuration_with_any_value_in_a_field_decodes_or_is_an_error(
    part: str, position: int, data: st.DataObject, value: object
) -> None:
    fields = deployment.configuration()
    entry = fields[part][position]  # type: ignore[index]
    target = entry["engine"] if "engine" in entry and data.draw(st.booleans()) else entry
    target[data.draw(st.sampled_from(sorted(target)))] = value
    decoded = records.decode_configuration(json.dumps(fields).encode())
    if isinstance(decoded, result.Ok):
        for organisation in decoded.ok_value.organisation_by_key.values():
            assert organisation.priority is None or isinstance(organisation.priority, int)


@given(
    st.binary(max_size=60)
    | st.from_regex(r'\{"[a-z]+": ?[0-9"\[{]', fullmatch=True).map(str.encode)
)
def test_decoders_reject_arbitrary_bytes_without_raising(value: bytes) -> None:
    assert isinstance(records.decode_server("i", value), result.Err)
    assert isinstance(records.decode_configuration(value), result.Err)
    assert engine_orders.decode_report(value) is None


def test_only_evacuation_keys_name_a_zone() -> None:
    assert records.evacuated_zone("evacuate/z1") == "z1"
    assert records.evacuated_zone("config") is None


def _request(**headers: str):  # type: ignore[no-untyped-def]
    listed = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return requests.decode_request(b"POST", b"/ask/x?y", listed, b"body")


def test_a_callers_request_decodes() -> None:
    request = _request(
        host="H.example",
        x_attempt_id="a1",
        x_deadline_ms="1500",
        x_token_counts="1460,80",
        x_length_hint="50",
        last_event_id="12",
        x_api_key="k1",
    )
    assert request.host == "h.example"
    assert request.path == "/ask/x"
    assert request.deadline_seconds == 1.5
    assert (request.prompt_tokens, request.output_tokens) == (1460, 50)
    assert request.last_event_id == b"12"


def test_malformed_numeric_headers_count_as_missing() -> None:
    request = _request(x_deadline_ms="soon", x_token_counts="many")
    assert request.deadline_seconds is None
    assert request.prompt_tokens == 0


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "", "1e9999999999999999999999"])
def test_a_deadline_that_is_no_finite_number_counts_as_missing(value: str) -> None:
    assert _request(x_deadline_ms=value).deadline_seconds is None


@pytest.mark.parametrize("value", ["1e15", "1e16", "1e400", "9" * 400, "9" * 5_000])
def test_a_deadline_of_any_size_is_one(value: str) -> None:
    """A deadline of 400 digits counted as missing, and was replaced by one of 10 s."""
    assert _request(x_deadline_ms=value).deadline_seconds == 1e12


@pytest.mark.parametrize("value", ["1e400", "1e300", "9" * 13, "9" * 5_000])
def test_more_tokens_than_any_fleet_has_memory_for_count_as_the_most(value: str) -> None:
    """They counted as none, so that the request was placed as a small one."""
    most = header_numbers.MAX_TOKENS
    request = _request(x_token_counts=f"{value},{value}", x_length_hint=value)
    assert (request.prompt_tokens, request.output_tokens) == (most, most)
    assert _request(x_token_counts="5,80", x_length_hint=value).output_tokens == 80


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "", "many"])
def test_a_count_that_is_no_number_counts_as_missing(value: str) -> None:
    request = _request(x_token_counts=f"{value},{value}", x_length_hint=value)
    assert (request.prompt_tokens, request.output_tokens) == (0, 0)


def test_parts_of_a_prompt_that_are_not_told_apart_are_logged() -> None:
    """They were left out without a line, and could crash servers unseen."""
    count = requests.MAX_SHARED_PARTS + 3
    before = logs.counts_by_event().get(("prompt_parts_ignored", ""), 0)
    request = _request(x_prompt_prefix=",".join(f"{n:x}:10" for n in range(count + 1)))
    assert len(request.shared_parts) == requests.MAX_SHARED_PARTS
    assert logs.counts_by_event()["prompt_parts_ignored", ""] == before + 1


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("x-deadline-ms", b"soon"),
        ("x-token-counts", b"5,many"),
        ("x-length-hint", b"-1"),
        ("keep-alive", b"timeout=x"),
    ],
)
def test_a_number_that_can_not_be_read_is_logged_and_counted(name: str, value: bytes) -> None:
    key = ("header_unreadable", name)
    before = logs.counts_by_event().get(key, 0)
    headers = ((name.encode(), value),)
    if name == "keep-alive":
        requests.decode_response_head(http1.Head(200, headers))
    else:
        requests.decode_request(b"POST", b"/", headers, b"")
    assert logs.counts_by_event()[key] == before + 1


def test_a_negative_count_counts_as_missing() -> None:
    request = _request(x_token_counts="-5,80")
    assert (request.prompt_tokens, request.output_tokens) == (0, 0)
    assert _request(x_token_counts="5,80", x_length_hint="-1").output_tokens == 80


NUMBERS = (
    st.binary(max_size=20)
    | st.from_regex(rb"[-+]?[0-9_]{0,400}(\.[0-9]{0,3})?([eE][-+]?[0-9]{1,4})?", fullmatch=True)
    | st.sampled_from([b"nan", b"-inf", b"1_0", b"1e999", b"9" * 4_300, b"9" * 4_301])
)


@given(st.binary(min_size=1, max_size=30) | NUMBERS.filter(bool))
def test_the_id_of_the_last_event_is_kept_as_it_was_sent(value: bytes) -> None:
    request = requests.decode_request(b"POST", b"/", [(b"last-event-id", value)], b"")
    parameters = requests.AttemptParameters(
        builders.server("e1"), 0.5, None, 3, (), request.last_event_id
    )
    sent = [
        requests.encode_for_server(request, parameters),
        requests.encode_for_node(request, 0.5, request.last_event_id, (b"x", b"")),
    ]
    assert [dict(one.headers)[b"last-event-id"] for one in sent] == [value, value]


@given(
    st.fixed_dictionaries(
        {},
        optional={
            b"x-deadline-ms": NUMBERS,
            b"x-length-hint": NUMBERS,
            b"x-token-counts": NUMBERS | st.tuples(NUMBERS, NUMBERS).map(b",".join),
            b"x-attempt-id": st.binary(max_size=20),
            b"x-api-key": st.binary(max_size=20),
            b"x-prompt-prefix": st.binary(max_size=40),
            b"host": st.binary(max_size=20),
        },
    ),
    st.binary(max_size=20),
)
def test_arbitrary_header_values_decode_to_numbers_in_range(
    headers: dict[bytes, bytes], target: bytes
) -> None:
    request = requests.decode_request(b"POST", target, headers.items(), b"")
    counts = (request.prompt_tokens, request.output_tokens)
    assert all(isinstance(one, int) and 0 <= one < 10**12 for one in counts)
    assert request.deadline_seconds is None or math.isfinite(request.deadline_seconds)


def test_headers_sent_to_a_server_replace_forged_and_hop_by_hop_ones() -> None:
    request = _request(
        host="h.example",
        x_api_key="k1",
        x_tenant="forged",
        x_attempt_id="a1",
        connection="keep-alive",
        transfer_encoding="chunked",
        x_token_counts="100,10",
        x_model="m",
    )
    attempt = requests.AttemptParameters(
        builders.server("e1"), 0.5, "org", 3, ("1.2.3.4:5/t",), b"7"
    )
    encoded = dict(requests.encode_for_server(request, attempt).headers)
    assert encoded == {
        b"host": b"h.example",
        b"x-attempt-id": b"a1",
        b"x-token-counts": b"100,10",
        b"x-model": b"m",
        b"x-deadline-ms": b"500",
        b"x-expect-instance": b"e1",
        b"x-tenant": b"org",
        b"x-request-priority": b"3",
        b"x-helpers": b"1.2.3.4:5/t",
        b"last-event-id": b"7",
        b"content-length": b"4",
    }


@pytest.mark.parametrize(
    ("status", "headers", "is_not_executed"),
    [
        (503, {b"x-not-executed": b"1"}, True),
        (421, {}, True),
        (503, {}, False),
        (429, {}, False),
        (500, {}, False),
    ],
)
def test_only_x_not_executed_or_421_means_that_nothing_ran(
    status: int, headers: dict[bytes, bytes], is_not_executed: bool
) -> None:
    response = requests.decode_response_head(http1.Head(status, tuple(headers.items())))
    assert response.is_not_executed == is_not_executed


def test_a_response_head_decodes_without_hop_by_hop_headers() -> None:
    head = http1.Head(
        200,
        (
            (b"x-attempt-id", b"a1"),
            (b"x-server-stamp", b"s"),
            (b"connection", b"Close"),
            (b"keep-alive", b"timeout=5, max=9"),
            (b"x-own", b"v"),
            (b"content-length", b"3"),
        ),
    )
    response = requests.decode_response_head(head)
    assert (response.attempt_id, response.is_signed, response.closes) == ("a1", True, True)
    assert response.idle_seconds == 5.0
    assert (b"x-own", b"v") in response.headers
    assert b"content-length" not in dict(response.headers)


@pytest.mark.parametrize(
    ("value", "limit", "is_readable"),
    [
        (b"1.5", 1.5, True),
        (b" 12 ", 12.0, True),
        (b"0", 0.0, True),
        (b".25", 0.25, True),
        (b"-1", None, False),
        (b"nan", None, False),
        (b"inf", None, False),
        (b"1e9", None, False),
        (b"", None, False),
        (b"9" * 400, 1e15, True),
        (b"0." + b"0" * 400 + b"1", 0.0, True),
        (b"1234567890123.1234567890123", 1234567890123.1234567890123, True),
        (b"1, 2", None, False),
    ],
)
def test_a_rate_limit_is_a_decimal_number_or_unreadable(
    value: bytes, limit: float | None, is_readable: bool
) -> None:
    head = requests.decode_response_head(http1.Head(200, ((b"server-limit", value),)))
    assert head.rate_limit == forwarding.RateLimit(limit, is_readable)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"0.1234567890123456789", 0.1234567890123456789),
        (b"2.", 2.0),
        (b"1234567890123", 1234567890123.0),
        (b"9" * 400, 1e15),
        (b"-1", None),
        (b"soon", None),
    ],
)
def test_a_time_of_rest_may_have_any_number_of_digits(value: bytes, seconds: float | None) -> None:
    """One with more than twelve decimals was unreadable, and the server got requests at once."""
    head = requests.decode_response_head(http1.Head(503, ((b"retry-after", value),)))
    assert head.retry_after_seconds == seconds


def test_a_load_report_with_numbers_of_any_size_decodes() -> None:
    born = 2**64 + 1
    report = engine_orders.decode_report(
        json.dumps({"waiting": 10**400, "running": 2, "kv_used": 1e300, "born": born}).encode()
    )
    assert report is not None
    assert (report.waiting, report.used_kv_cache_tokens) == (10**15, 10**15)
    assert report.started_at_ms == born
    assert engine_orders.decode_report(b'{"waiting":1,"running":2,"kv_used":3,"pace":NaN}') is None


def test_a_reservation_order_encodes_and_a_load_report_decodes() -> None:
    order = engine_orders.reserve(catalog.Address("1.2.3.4", 5), "t1", 60_000, 3.0)
    assert json.loads(order.body) == {
        "operation": "reserve",
        "id": "t1",
        "token_count": 60_000,
        "hold_ms": 3_000,
        "wait": False,
    }
    report = engine_orders.decode_report(
        b'{"waiting":1,"running":2,"kv_used":3,"tickets":[{"id":"t1"}]}'
    )
    assert report is not None
    assert (report.slowdown, report.reservation_ids) == (1.0, ("t1",))


@pytest.mark.parametrize(
    ("named", "address"),
    [(b"10.3.64.34:8304", catalog.Address("10.3.64.34", 8304)), (b"i-1", None), (b"", None)],
)
def test_at_server_header_holds_the_address_of_the_faulty_server(
    named: bytes, address: catalog.Address | None
) -> None:
    head = http1.Head(503, ((b"x-not-executed", b"1"), (b"at-server", named)))
    assert requests.decode_response_head(head).faulty_address == address

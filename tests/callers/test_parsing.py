"""Tests of parsing and validating callers' requests."""

from __future__ import annotations

import json

import pytest
import result

from dragonflycove.callers import parsing
from dragonflycove.configuration import schema
from dragonflycove.values import outcomes, requests

SERVICES = {
    "advice": schema.Service("advice", schema.ServiceKind.MODEL, (), ("herder-7",), ()),
    "orders": schema.Service(
        "orders",
        schema.ServiceKind.PLAIN,
        (),
        (),
        (
            schema.CallRule("GET", "/stock/*", True),
            schema.CallRule("POST", "/postings", False),
            schema.CallRule("*", "/quotes", True),
        ),
    ),
}
CONFIGURATION = schema.EMPTY._replace(
    version=1,
    services_by_name=SERVICES,
    organisations_by_name={"andrade": schema.Organisation("andrade", 1.0, 0.0)},
)
HEADERS = parsing.CallHeaders("andrade", 10.0, requests.Urgency.INTERACTIVE)


def parse(body: object, is_chat: bool = False, headers: parsing.CallHeaders = HEADERS):
    data = json.dumps(body).encode() if not isinstance(body, bytes) else body
    return parsing.parse_model_call(data, is_chat, headers, CONFIGURATION, "r1", 100.0)


def test_a_model_call_is_parsed() -> None:
    call = parse({"model": "herder-7", "prompt": "x" * 4100, "stream": True, "user": "u"}).unwrap()
    assert call.stream
    assert call.request.prompt_tokens == 1025
    assert len(call.request.prefix_hashes) == 2
    assert call.request.deadline == 110.0
    assert call.request.service == "advice"


def test_chat_messages_are_joined_into_one_prompt() -> None:
    messages = [{"role": "system", "content": "a"}, {"role": "user", "content": "b"}]
    call = parse({"model": "herder-7", "messages": messages}, is_chat=True).unwrap()
    assert call.prompt == "system: a\nuser: b\n"


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"{", outcomes.Reason.BAD_REQUEST),
        (b"\xff", outcomes.Reason.BAD_REQUEST),
        ({"prompt": "x"}, outcomes.Reason.BAD_REQUEST),
        ({"model": "herder-7"}, outcomes.Reason.BAD_REQUEST),
        ({"model": "herder-7", "prompt": ""}, outcomes.Reason.BAD_REQUEST),
        ({"model": "herder-7", "prompt": "x", "max_tokens": 0}, outcomes.Reason.BAD_REQUEST),
        ({"model": "herder-7", "prompt": "x", "max_tokens": 10**9}, outcomes.Reason.BAD_REQUEST),
        ({"model": "other", "prompt": "x"}, outcomes.Reason.UNKNOWN_SERVICE),
    ],
)
def test_bad_model_calls_are_refused(body: object, reason: outcomes.Reason) -> None:
    refused = parse(body).unwrap_err()
    assert refused.reason is reason
    assert refused.detail


def test_an_unknown_organisation_is_refused() -> None:
    headers = HEADERS._replace(organisation="nobody")
    refused = parse({"model": "herder-7", "prompt": "x"}, headers=headers).unwrap_err()
    assert refused.reason is outcomes.Reason.UNKNOWN_ORGANISATION
    assert "nobody" in refused.detail


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"x-organisation": "a"}, "a"),
        ({"openai-organization": "b"}, "b"),
        ({"authorization": "Bearer c"}, "c"),
        ({"x-organisation": "a", "authorization": "Bearer c"}, "a"),
        ({}, ""),
    ],
)
def test_the_organisation_is_taken_from_the_first_header_present(
    headers: dict[str, str], expected: str
) -> None:
    assert parsing.parse_headers(headers, 5.0).unwrap().organisation == expected


@pytest.mark.parametrize(
    "headers",
    [
        {"x-deadline-seconds": "soon"},
        {"x-deadline-seconds": "0"},
        {"x-deadline-seconds": "nan"},
        {"x-deadline-seconds": "99999"},
        {"x-urgency": "now"},
    ],
)
def test_bad_headers_are_refused(headers: dict[str, str]) -> None:
    refused = parsing.parse_headers(headers, 5.0)
    assert isinstance(refused, result.Err)
    assert refused.err_value.reason is outcomes.Reason.BAD_REQUEST


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/stock/7?x=1", True),
        ("PUT", "/stock/7", False),
        ("POST", "/postings", False),
        ("POST", "/postings/7", False),
        ("PATCH", "/quotes", True),
        ("GET", "/else", False),
    ],
)
def test_only_calls_with_an_idempotent_rule_may_be_retried(
    method: str, path: str, expected: bool
) -> None:
    assert parsing.is_idempotent(SERVICES["orders"], method, path) is expected


def test_a_call_that_is_not_idempotent_needs_a_key() -> None:
    def call(key: str):
        return parsing.parse_service_call(
            "POST", "/postings", "orders", b"b", key, HEADERS, CONFIGURATION, "r1", 0.0
        )

    assert call("").unwrap_err().reason is outcomes.Reason.KEY_MISSING
    assert call("k").unwrap().idempotency_key == "k"

"""The check of a configuration before it is sent: faults, advice and changes."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
import result
from hypothesis import given, settings, strategies

from dragonflycove.cli import config_commands, exit_codes
from dragonflycove.platform import (
    configuration_advice,
    configuration_changes,
    configuration_faults,
    records,
)

NAMES = strategies.text("abcdefghijklmnop0123456789-", min_size=1, max_size=8)
NUMBERS = strategies.one_of(strategies.integers(0, 10**9), strategies.floats(0.0, 1e9))


@strategies.composite
def configurations(draw: strategies.DrawFn) -> dict[str, Any]:
    """Generate configurations that the store would take, with contradictions or without."""
    names = draw(strategies.lists(NAMES, min_size=1, max_size=4, unique=True))
    service = strategies.sampled_from(names)
    engine = {"slots": NUMBERS, "kv_capacity": NUMBERS, "step_ms": NUMBERS, "read_per_s": NUMBERS}
    services = [
        draw(
            strategies.fixed_dictionaries(
                {"name": strategies.just(name)},
                optional={
                    "max_connections": NUMBERS,
                    "cold_start_s": NUMBERS,
                    "cold_per_s": NUMBERS,
                    "tls": strategies.booleans(),
                    "engine": strategies.fixed_dictionaries(engine, optional={"stride": NUMBERS}),
                },
            )
        )
        for name in names
    ]
    part = strategies.fixed_dictionaries({"service": service, "weight": NUMBERS})
    plain = {
        "name": NAMES,
        "host": NAMES,
        "path_prefix": NAMES.map(lambda name: f"/{name}/"),
        "route_type": strategies.sampled_from(["streaming", "idempotent", "non_idempotent"]),
        "timeout_ms": NUMBERS,
    }
    optional = {"latency_goal_ms": NUMBERS, "gap_target_ms": NUMBERS, "max_attempts": NUMBERS}
    optional |= {"priority": NUMBERS, "public": strategies.booleans(), "x": strategies.none()}
    route = strategies.one_of(
        strategies.fixed_dictionaries({**plain, "service": service}, optional=optional),
        strategies.fixed_dictionaries(
            {**plain, "traffic_split": strategies.lists(part, min_size=1, max_size=3)},
            optional=optional,
        ),
    )
    limit = strategies.sampled_from(
        ["max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"]
    )
    tenant = strategies.fixed_dictionaries(
        {"name": NAMES, "api_keys": strategies.lists(NAMES, max_size=3)},
        optional={"priority": NUMBERS},
    )
    document = {
        "version": draw(strategies.integers(1, 10**6)),
        "routes": draw(strategies.lists(route, max_size=4)),
        "services": services,
    }
    if draw(strategies.booleans()):
        document["limits"] = draw(strategies.dictionaries(limit, NUMBERS))
    if draw(strategies.booleans()):
        document["tenants"] = draw(strategies.lists(tenant, max_size=3))
    return document


@settings(max_examples=60, deadline=None)
@given(configurations(), configurations())
def test_no_valid_configuration_has_a_fault(
    document: dict[str, Any], other: dict[str, Any]
) -> None:
    read = configuration_faults.find(json.dumps(document))
    assert read == result.Ok(document)
    configuration_advice.find(document)
    assert configuration_changes.find(other, document)
    same = configuration_changes.find(document, {**document, "version": document["version"] + 1})
    assert same == []


JUNK: tuple[object, ...] = (None, "x y", [], {}, -1, [1], {"a": 1}, True, float("inf"), "1e99")


def _places(value: object, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value if isinstance(value, list) else ())
    )
    return [path] * bool(path) + [one for key, part in items for one in _places(part, (*path, key))]


@settings(max_examples=150, deadline=None)
@given(configurations(), strategies.data())
def test_what_nodes_cannot_read_is_found_at_its_place(
    document: dict[str, Any], data: strategies.DataObject
) -> None:
    """Whatever else is put in one place, faults are found if nodes can't read it."""
    changed = copy.deepcopy(document)
    *path, key = data.draw(strategies.sampled_from(_places(changed)))
    target: Any = changed
    for step in path:
        target = target[step]
    target[key] = data.draw(strategies.sampled_from(JUNK))
    text = json.dumps(changed)
    read = configuration_faults.find(text)
    if isinstance(read, result.Ok):
        configuration_advice.find(read.ok_value)
        configuration_changes.find(document, read.ok_value)
        assert isinstance(records.decode_configuration(text.encode()), result.Ok)
    elif isinstance(records.decode_configuration(text.encode()), result.Err):
        place = ".".join(str(step) for step in (*path, key))
        # Something may be missing inside of what was put there, or the whole part is faulty.
        assert any(
            f"{place}.".startswith(f"{fault.path}.") or f"{fault.path}.".startswith(f"{place}.")
            for fault in read.err_value
        )


ROUTE = {
    "name": "r",
    "host": "H",
    "path_prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 1_000,
    "latency_goal_ms": 300,
    "service": "s",
}
VALID: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s"}],
    "tenants": [{"name": "t", "api_keys": ["secret-key-1"]}],
}


@pytest.mark.parametrize(
    ("section", "name"),
    [
        *(("routes", name) for name in ("latency_goal_ms", "gap_target_ms", "max_attempts")),
        *(("routes", name) for name in ("priority", "traffic_split", "public", "resumable")),
        *(("services", name) for name in ("max_connections", "cold_start_s", "cold_per_s")),
        ("services", "engine"),
        *(("tenants", name) for name in ("priority",)),
        *(("limits", name) for name in ("max_header_bytes", "idle_timeout_ms")),
    ],
)
def test_null_in_an_optional_field_gets_the_advice_of_a_missing_one(
    section: str, name: str
) -> None:
    """The check ended with an exception, though nodes read such a configuration."""
    document = copy.deepcopy({**VALID, "limits": {}})
    target = document[section] if section == "limits" else document[section][0]
    target.pop(name, None)
    without = configuration_advice.find(document)
    target[name] = None
    assert configuration_faults.find(json.dumps(document)) == result.Ok(document)
    assert configuration_advice.find(document) == without


def test_a_configuration_without_contradictions_gets_no_advice() -> None:
    assert configuration_advice.find(VALID) == []


SPLIT = [{"service": "s", "weight": 9}, {"service": "s2", "weight": 0}]


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"routes": [ROUTE, {**ROUTE, "name": "r2", "host": "h"}]}, "routes.0"),
        ({"routes": [{**ROUTE, "timeout_ms": 200}]}, "routes.0.timeout_ms"),
        ({"routes": [{**ROUTE, "gap_target_ms": 2_000}]}, "routes.0.gap_target_ms"),
        ({"routes": [{**ROUTE, "max_attempts": 0}]}, "routes.0.max_attempts"),
        (
            {
                "routes": [{**ROUTE, "traffic_split": SPLIT}],
                "services": [{"name": "s"}, {"name": "s2"}],
            },
            "routes.0.traffic_split.1.weight",
        ),
        ({"services": [{"name": "s"}, {"name": "unused"}]}, "services.1"),
        ({"services": [{"name": "s", "cold_per_s": 5}]}, "services.0.cold_per_s"),
        ({"services": [{"name": "s", "cold_start_s": 5}]}, "services.0.cold_per_s"),
        (
            {
                "tenants": [
                    {"name": "t", "api_keys": ["k", "own"]},
                    {"name": "u", "api_keys": ["k"]},
                ]
            },
            "tenants.0.api_keys.0",
        ),
        ({"limits": {"idle_timeout_ms": 1_000}}, "limits.idle_timeout_ms"),
        ({"limits": {"max_header_bytes": 0}}, "limits.max_header_bytes"),
        ({"limits": {"max_body_bytes": 2**63 - 1}}, "limits.max_body_bytes"),
        ({"routes": [{**ROUTE, "max_attempts": 1.5}]}, "routes.0.max_attempts"),
        ({"services": [{"name": "s", "max_connections": 7.5}]}, "services.0.max_connections"),
        (
            {"tenants": [{"name": "t", "api_keys": ["k"], "priority": 0.5}]},
            "tenants.0.priority",
        ),
    ],
)
def test_entries_without_effect_and_contradictions_are_told(
    changes: dict[str, Any], place: str
) -> None:
    document = {**VALID, **changes}
    assert configuration_faults.find(json.dumps(document)) == result.Ok(document)
    assert place in [one.path for one in configuration_advice.find(document)]


@pytest.mark.parametrize("version", [2**53 + 1, 1_796_669_209_489_878_123, 10**40])
def test_a_version_is_above_one_that_differs_in_the_last_digit(version: int) -> None:
    """Rounded to a float, both were equal, and operators were told that nodes don't take it."""
    before, after = ({**VALID, "version": one} for one in (version - 1, version))
    assert configuration_changes.find(before, after) == []
    assert [one.path for one in configuration_changes.find(after, before)] == ["version"]


def test_changes_are_told_in_words_without_whole_keys() -> None:
    after = {
        **VALID,
        "version": 6,
        "routes": [{**ROUTE, "timeout_ms": 900}, {**ROUTE, "name": "r2", "path_prefix": "/b/"}],
        "tenants": [{"name": "t", "api_keys": ["other-key-22"]}],
    }
    told = "\n".join(str(one) for one in configuration_changes.find(VALID, after))
    for words in (
        "version 6 isn't above 7",
        "route h/a/: longest wait, ms: 1000 -> 900",
        "route h/b/ is new",
        "key secr... of t is taken away",
        "key othe... is given to t",
    ):
        assert words in told
    assert "secret-key-1" not in told


def test_the_command_prints_and_exits_as_the_others(
    tmp_path: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(json.dumps(VALID))
    bad.write_text(
        json.dumps({**VALID, "routes": [{**ROUTE, "service": "none", "timeout_ms": []}]})
    )
    assert config_commands.run_check([str(good), f"--against={good}", "--json"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert config_commands.run_check([str(good)]) == 0
    assert "0 warnings: 1 routes, 1 services, 1 tenants" in capsys.readouterr().out
    assert [told["faults"], told["warnings"]] == [[], []]
    assert [one["path"] for one in told["changes"]] == ["version"]
    assert config_commands.run_check([str(bad)]) == exit_codes.ExitCode.FAULTY_TEXT
    assert "routes.0.timeout_ms: can't be read: []" in capsys.readouterr().err
    for keys in (["secret-key-1", []], {"secret-key-1": [[]]}, [["secret-key-1"]]):
        bad.write_text(json.dumps({**VALID, "tenants": [{"name": "t", "api_keys": keys}, None]}))
        assert config_commands.run_check([str(bad)]) == exit_codes.ExitCode.FAULTY_TEXT
        assert "secret-key-1" not in capsys.readouterr().err
    bad.write_text("{")
    checked = config_commands.run_check([str(bad), "--platform", "--json"])
    assert checked == exit_codes.ExitCode.FAULTY_TEXT
    assert "line 1, column 2" in json.loads(capsys.readouterr().out)["faults"][0]["reason"]
    missing = str(tmp_path / "missing.json")
    assert config_commands.run_check([str(good), f"--against={missing}"]) == 1

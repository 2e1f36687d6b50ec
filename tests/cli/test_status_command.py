"""Tests of the operators' HTTP API and of the commands' exit statuses, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp
import ports
import pytest
import pytest_asyncio
from starlette import applications

from dragonflycove.cli import exit_codes, main, status_command
from dragonflycove.configuration import acceptance, records
from dragonflycove.node import http_server
from dragonflycove.operators import app, status

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TEXT = '{"zones": ["cayambe"]}'


def find_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{ports.free_port()}"


class FakeNode:
    """A node that only serves its status and its configuration."""

    def __init__(self, host: str, address: str, others: tuple[status.MemberStatus, ...]) -> None:
        self.status = status.NodeStatus(
            host, "start-1", "cayambe", address, "127.0.0.1:9", 1, "fresh", True, False,
            ("riobamba",), others, (status.ServerStatus("engine-1", "cayambe", "cold"),),
            {"overloaded": 2.0}, {"backend_silent": 1.0}, {},
        )  # fmt: skip

    def describe(self) -> status.NodeStatus:
        """Return the fixed status."""
        return self.status

    def acceptance_state(self) -> acceptance.AcceptanceState:
        """Return an acceptance state with one version."""
        proposed = records.TextProposed("op-0", 0, "ana", TEXT)
        return acceptance.apply(acceptance.initial_state(), 0, proposed).state


@pytest_asyncio.fixture
async def addresses() -> AsyncIterator[list[str]]:
    """Yield the addresses of two running nodes and of a dead one; the first node knows both."""
    found = [find_address() for _ in range(3)]
    members = tuple(
        status.MemberStatus(f"host-{index}", "cayambe", found[index], "live", "start-1", 1)
        for index in (1, 2)
    )
    nodes = [FakeNode("host-0", found[0], members), FakeNode("host-1", found[1], ())]
    servers = [
        http_server.HttpServer(
            applications.Starlette(routes=app.build_routes(node)), node.status.address
        )
        for node in nodes
    ]
    running = [asyncio.create_task(server.run()) for server in servers]
    yield found
    for server in servers:
        server.stop()
    await asyncio.gather(*running)


@pytest.mark.asyncio
async def test_status_covers_all_known_nodes(
    addresses: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """All nodes that the first one knows are asked; one that does not respond is listed."""
    async with aiohttp.ClientSession() as session:
        fleet = await status_command.fetch_fleet_status(session, addresses[0])
    assert status_command.report(fleet, as_json=True) == exit_codes.ExitCode.UNREACHABLE
    printed = json.loads(capsys.readouterr().out)
    assert set(printed["nodes"]) == set(addresses[:2])
    assert set(printed["faults"]) == {addresses[2]}
    assert printed["nodes"][addresses[0]]["refusals_by_reason"] == {"overloaded": 2.0}
    status_command.report(fleet, as_json=False)
    table = capsys.readouterr().out
    for words in ("host-0", "host-1", "riobamba", "engine-1", "overloaded", "no status"):
        assert words in table


@pytest.mark.asyncio
async def test_configuration_route_returns_version_text_and_operations(
    addresses: list[str],
) -> None:
    """The configuration route returns the version, the text and the latest operations."""
    url = f"http://{addresses[0]}/v1/operator/configuration"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        configuration = await response.json()
    assert (configuration["version"], configuration["text"], configuration["anchored"]) == (
        1,
        TEXT,
        True,
    )
    assert [operation["operation_id"] for operation in configuration["operations"]] == ["op-0"]


@pytest.mark.parametrize(
    ("argv", "code", "words"),
    [
        ([], 2, "usage: dragonflycove COMMAND"),
        (["help"], 0, "config publish"),
        (["config", "check"], 2, "takes FILE"),
        (["config", "check", "--help"], 0, "usage: dragonflycove config check FILE"),
        (["config", "check", "nowhere.jsonc"], 1, "No such file"),
        (["config", "history", "--nonsense"], 2, "nonsense"),
        (["config", "show"], 2, "name the log service with --log"),
        (["config", "show", "--log=127.0.0.1:1"], 5, "the log can't be read"),
        (["zone", "out", "cayambe", "--log=127.0.0.1:1", "--timeout=0.3"], 5, "nothing was"),
        (["zone", "back", "cayambe", "--node=127.0.0.1:1"], 7, "request to 127.0.0.1:1 failed"),
        (["status"], 2, "name a node"),
        (["status", "--node=127.0.0.1:1"], 7, "no status"),
        (["lookup", "--node=127.0.0.1:1"], 7, "request to 127.0.0.1:1 failed"),
        (["ask", "hello", "--node=127.0.0.1:1"], 2, "missing --model, --organisation"),
        (
            ["ask", "x", "--node=127.0.0.1:1", "--model=m", "--organisation=o"],
            7,
            "the request to the node failed",
        ),
    ],
)
def test_commands_exit_with_documented_status(
    argv: list[str], code: int, words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Each kind of failure has its own exit status and a message with the reason."""
    assert main.dispatch(argv) == code
    captured = capsys.readouterr()
    assert words in captured.out + captured.err


def test_check_lists_all_faults_of_a_file(
    tmp_path: object, capsys: pytest.CaptureFixture[str]
) -> None:
    """`config check` prints each fault with file, path and reason; a valid file passes."""
    path = f"{tmp_path}/text.jsonc"
    with open(path, "w") as file:
        file.write('{"zones": ["a", "a"], "bogus": 1}')
    assert main.dispatch(["config", "check", path]) == exit_codes.ExitCode.FAULTY_TEXT
    printed = capsys.readouterr().err
    assert f"{path}: bogus: unknown key" in printed
    assert f"{path}: zones: duplicate zone 'a'" in printed
    with open(path, "w") as file:
        file.write("// dragonflycove version 3\n" + TEXT)
    assert main.dispatch(["config", "check", path]) == exit_codes.ExitCode.OK

"""Tests of what `config publish` and `zone` say of races, lost answers and a log that is down."""

from __future__ import annotations

import json
import random

import fake_log
import pytest

from dragonflycove.cli import config_commands, exit_codes, zone_commands
from dragonflycove.configuration import records
from dragonflycove.operators import publishing

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

TEXT = json.dumps({"zones": ["cayambe"], "organisations": {"herders": {}}})


@pytest.fixture
def log() -> fake_log.FakeLog:
    """Return a log with version 1 in it."""
    made = fake_log.FakeLog()
    made.put(records.TextProposed("op-first", 0, "inti", TEXT))
    return made


def make_publisher(log: fake_log.FakeLog) -> publishing.Publisher:
    """Return a publisher that gives up after 20 seconds."""
    return publishing.Publisher(log, random.Random(1), 20.0)


def edit(base: int | None, operation_id: str = "") -> config_commands.Edit:
    """Return an edit of the text."""
    return config_commands.Edit(TEXT + "\n", base, "ana", operation_id)


async def test_accepted_is_said_once_read_back(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """A publication in quiet times names its version."""
    code = await config_commands.publish(make_publisher(log), edit(1))
    assert code == exit_codes.ExitCode.OK
    assert "accepted as version 2" in capsys.readouterr().out


async def test_race_names_the_winner(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """Of two operators who edited one version, one is accepted and one told of the other."""
    winner = records.TextProposed("op-winner", 1, "sisa", TEXT)
    log.before_append = lambda: log.put(winner) if log.appends == 1 else None
    code = await config_commands.publish(make_publisher(log), edit(1))
    assert code == exit_codes.ExitCode.REJECTED
    told = capsys.readouterr().err
    assert "version 2 by sisa came first" in told


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_answers_publish_once(
    log: fake_log.FakeLog, lost: int, capsys: pytest.CaptureFixture[str]
) -> None:
    """An append whose answer was lost is found in the log and not repeated."""
    log.answers_to_lose = lost
    code = await config_commands.publish(make_publisher(log), edit(1))
    assert code == exit_codes.ExitCode.OK
    assert "accepted as version 2" in capsys.readouterr().out
    assert log.appends == 1


async def test_log_down_says_that_nothing_was_published(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """With the log down, the message and the exit status say that nothing happened."""
    log.down = True
    code = await config_commands.publish(make_publisher(log), edit(1))
    assert code == exit_codes.ExitCode.NOT_SENT
    assert "nothing was published: the log can't be read" in capsys.readouterr().err


async def test_unconfirmed_publication_is_found_later(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """An append taken while reads fail is not confirmed; the same operation finds it."""
    log.answers_to_lose = 1
    log.before_append = lambda: setattr(log, "reads_down", True)
    code = await config_commands.publish(make_publisher(log), edit(1))
    assert code == exit_codes.ExitCode.NOT_CONFIRMED
    told = capsys.readouterr().err
    operation_id = told.split("--operation=")[1].split(";")[0]
    code = await config_commands.publish(make_publisher(log), edit(1, operation_id))
    assert code == exit_codes.ExitCode.NOT_CONFIRMED
    log.reads_down = False
    code = await config_commands.publish(make_publisher(log), edit(1, operation_id))
    assert code == exit_codes.ExitCode.OK
    assert "it was not sent again" in capsys.readouterr().out
    assert log.appends == 1


@pytest.mark.parametrize(
    ("base", "code", "words"),
    [
        (0, exit_codes.ExitCode.REJECTED, "Version 1 by inti came first. Nothing was sent."),
        (None, exit_codes.ExitCode.USAGE, "version 1 is in force"),
    ],
)
async def test_wrong_base_is_told_before_sending(
    log: fake_log.FakeLog,
    base: int | None,
    code: exit_codes.ExitCode,
    words: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A text edited from another version is not even sent."""
    assert await config_commands.publish(make_publisher(log), edit(base)) == code
    assert words in capsys.readouterr().err
    assert log.appends == 0


async def test_zone_change_does_not_race_with_a_text(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """A zone is taken out even if a text is accepted in between."""
    winner = records.TextProposed("op-winner", 1, "sisa", TEXT)
    log.before_append = lambda: log.put(winner) if log.appends == 1 else None
    out = zone_commands.ZoneEdit("cayambe", True, "ana", "")
    assert await zone_commands.change(make_publisher(log), out) == exit_codes.ExitCode.OK
    assert "accepted as version 3: zone cayambe out" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("zone", "code", "words"),
    [
        ("cayambe", exit_codes.ExitCode.OK, "was back already"),
        ("nowhere", exit_codes.ExitCode.REJECTED, "unknown zone 'nowhere'"),
    ],
)
async def test_zone_messages(
    log: fake_log.FakeLog,
    zone: str,
    code: exit_codes.ExitCode,
    words: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A zone that is back already, or unknown, is told so."""
    back = zone_commands.ZoneEdit(zone, False, "ana", "")
    assert await zone_commands.change(make_publisher(log), back) == code
    captured = capsys.readouterr()
    assert words in captured.out + captured.err


async def test_expired_and_never_restated_log_is_told(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """Nothing is published on a log whose state can't be known."""
    log.first_retained = 1
    code = await config_commands.publish(make_publisher(log), edit(1))
    assert code == exit_codes.ExitCode.NOT_SENT
    assert "no node has restated" in capsys.readouterr().err


async def test_long_text_is_sent_as_an_edit(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """Of a long text only the difference goes into the log, and it is accepted as the whole is."""
    publisher = make_publisher(log)
    document = {"zones": ["cayambe"], "organisations": {f"o{index}": {} for index in range(3000)}}
    whole = config_commands.Edit(json.dumps(document, indent=1), 1, "ana", "")
    assert await config_commands.publish(publisher, whole) == exit_codes.ExitCode.OK
    document["organisations"]["o7"] = {"weight": 3}
    changed = whole._replace(text=json.dumps(document, indent=1), base_version=2)
    assert await config_commands.publish(publisher, changed) == exit_codes.ExitCode.OK
    assert [type(record) for record in log.read_back()[1:]] == [
        records.TextProposed,
        records.TextEdited,
    ]
    assert "accepted as version 3: text, 1 entries" in capsys.readouterr().out

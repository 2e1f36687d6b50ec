"""Tests of `config publish` and `zone` with races, lost responses and a failing log service."""

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
    """Return a fake log that holds version 1 of the configuration."""
    made = fake_log.FakeLog()
    made.put(records.TextProposed("op-first", 0, "inti", TEXT))
    return made


def make_publisher(log: fake_log.FakeLog) -> publishing.Publisher:
    """Return a publisher with a timeout of 20 seconds."""
    return publishing.Publisher(log, random.Random(1), 20.0)


def make_text(base: int | None, operation_id: str = "") -> config_commands.TextToPublish:
    """Return a text that differs from version 1, with a base version."""
    return config_commands.TextToPublish(TEXT + "\n", base, "ana", operation_id)


async def test_accepted_version_is_printed(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """A publication without faults or races prints its new version."""
    code = await config_commands.publish(make_publisher(log), make_text(1))
    assert code == exit_codes.ExitCode.OK
    assert "accepted as version 2" in capsys.readouterr().out


async def test_rejection_after_race_names_the_accepted_operation(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """Of two texts based on one version, the second is rejected and the first author is named."""
    winner = records.TextProposed("op-winner", 1, "sisa", TEXT)
    log.before_append = lambda: log.put(winner) if log.append_count == 1 else None
    code = await config_commands.publish(make_publisher(log), make_text(1))
    assert code == exit_codes.ExitCode.REJECTED
    printed = capsys.readouterr().err
    assert "version 2 by sisa came first" in printed


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_lost_append_responses_publish_once(
    log: fake_log.FakeLog, lost: int, capsys: pytest.CaptureFixture[str]
) -> None:
    """An append whose response was lost is found in the log and not sent again."""
    log.responses_to_lose = lost
    code = await config_commands.publish(make_publisher(log), make_text(1))
    assert code == exit_codes.ExitCode.OK
    assert "accepted as version 2" in capsys.readouterr().out
    assert log.append_count == 1


async def test_unavailable_log_reports_nothing_published(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """With the log down, the message and the exit status report that nothing was published."""
    log.is_down = True
    code = await config_commands.publish(make_publisher(log), make_text(1))
    assert code == exit_codes.ExitCode.NOT_SENT
    assert "nothing was published: the log can't be read" in capsys.readouterr().err


async def test_unconfirmed_publication_is_found_by_operation_id(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """An append that can't be read back is not confirmed; a retry by operation id finds it."""
    log.responses_to_lose = 1
    log.before_append = lambda: setattr(log, "is_reading_down", True)
    code = await config_commands.publish(make_publisher(log), make_text(1))
    assert code == exit_codes.ExitCode.NOT_CONFIRMED
    printed = capsys.readouterr().err
    operation_id = printed.split("--operation=")[1].split(";")[0]
    code = await config_commands.publish(make_publisher(log), make_text(1, operation_id))
    assert code == exit_codes.ExitCode.NOT_CONFIRMED
    log.is_reading_down = False
    code = await config_commands.publish(make_publisher(log), make_text(1, operation_id))
    assert code == exit_codes.ExitCode.OK
    assert "it was not sent again" in capsys.readouterr().out
    assert log.append_count == 1


@pytest.mark.parametrize(
    ("base", "code", "words"),
    [
        (0, exit_codes.ExitCode.REJECTED, "Version 1 by inti came first. Nothing was sent."),
        (None, exit_codes.ExitCode.USAGE, "version 1 is in force"),
    ],
)
async def test_outdated_or_missing_base_is_rejected_before_sending(
    log: fake_log.FakeLog,
    base: int | None,
    code: exit_codes.ExitCode,
    words: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A text that is not based on the version in force is not sent."""
    assert await config_commands.publish(make_publisher(log), make_text(base)) == code
    assert words in capsys.readouterr().err
    assert log.append_count == 0


async def test_zone_change_is_accepted_after_concurrent_text(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """A zone change is accepted even if a text is accepted before it is appended."""
    winner = records.TextProposed("op-winner", 1, "sisa", TEXT)
    log.before_append = lambda: log.put(winner) if log.append_count == 1 else None
    out = zone_commands.ZoneChange("cayambe", True, "ana", "")
    assert await zone_commands.change_zone(make_publisher(log), out) == exit_codes.ExitCode.OK
    assert "accepted as version 3: zone cayambe out" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("zone", "code", "words"),
    [
        ("cayambe", exit_codes.ExitCode.OK, "was back already"),
        ("nowhere", exit_codes.ExitCode.REJECTED, "unknown zone 'nowhere'"),
    ],
)
async def test_zone_back_without_effect_states_why(
    log: fake_log.FakeLog,
    zone: str,
    code: exit_codes.ExitCode,
    words: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Bringing back a zone that is in service or unknown prints that."""
    back = zone_commands.ZoneChange(zone, False, "ana", "")
    assert await zone_commands.change_zone(make_publisher(log), back) == code
    captured = capsys.readouterr()
    assert words in captured.out + captured.err


async def test_expired_log_without_restatement_is_not_published_to(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """Nothing is published if expired records make the log's state unknown."""
    log.first_retained = 1
    code = await config_commands.publish(make_publisher(log), make_text(1))
    assert code == exit_codes.ExitCode.NOT_SENT
    assert "no node has restated" in capsys.readouterr().err


async def test_long_text_is_sent_as_edit(
    log: fake_log.FakeLog, capsys: pytest.CaptureFixture[str]
) -> None:
    """Of a changed long text only an edit is appended, and it is accepted."""
    publisher = make_publisher(log)
    document = {"zones": ["cayambe"], "organisations": {f"o{index}": {} for index in range(3000)}}
    whole = config_commands.TextToPublish(json.dumps(document, indent=1), 1, "ana", "")
    assert await config_commands.publish(publisher, whole) == exit_codes.ExitCode.OK
    document["organisations"]["o7"] = {"weight": 3}
    changed = whole._replace(text=json.dumps(document, indent=1), base_version=2)
    assert await config_commands.publish(publisher, changed) == exit_codes.ExitCode.OK
    assert [type(record) for record in log.all_records()[1:]] == [
        records.TextProposed,
        records.TextEdited,
    ]
    assert "accepted as version 3: text, 1 entries" in capsys.readouterr().out

"""Servers that have said in their responses that they leave."""

from __future__ import annotations

from dragonflycove.fleet import catalog, leaving_servers, store_view
from tests.fleet import builders

SERVER = catalog.Instance("s1", 1)


def test_the_digest_depends_on_the_servers_alone() -> None:
    first, second = leaving_servers.LeavingServers(), leaving_servers.LeavingServers()
    other = catalog.Instance("s2", 7)
    assert first.digest() == 0
    for number, instance in enumerate((SERVER, other)):
        assert first.add(instance, float(number))
    for number, instance in enumerate((other, SERVER, other)):
        second.add(instance, 10.0 + number)
    assert first.digest() == second.digest() != 0


def test_a_server_is_told_once_and_forgotten_long_after_it_last_said_so() -> None:
    leaving = leaving_servers.LeavingServers()
    assert leaving.add(SERVER, 0.0)
    assert not leaving.add(SERVER, 100.0)
    leaving.discard_expired(90.0 + leaving_servers.RETENTION_SECONDS)
    assert leaving.is_leaving(SERVER)
    assert not leaving.is_leaving(SERVER._replace(started_at_ms=2))
    leaving.discard_expired(100.0 + leaving_servers.RETENTION_SECONDS)
    assert not leaving.is_leaving(SERVER)


def test_a_leaving_server_is_not_usable_until_its_record_states_another_start() -> None:
    leaving = leaving_servers.LeavingServers()
    view = store_view.StoreView(leaving)
    server = builders.server("s1")
    view.apply_server("s1", server, 1, 0.0)
    assert view.usable_servers(server.service, 0.0) == [server]
    leaving.add(server.instance, 0.0)
    assert view.usable_servers(server.service, 0.0) == []
    assert not view.is_usable(server.instance, 0.0)
    restarted = server._replace(
        instance=server.instance._replace(started_at_ms=server.instance.started_at_ms + 1)
    )
    view.apply_server("s1", restarted, 2, 1.0)
    assert view.usable_servers(server.service, 1.0) == [restarted]

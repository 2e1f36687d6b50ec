"""A whole system of real processes on loopback sockets, for tests of failures."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from concurrent import futures
from typing import Any

import ports

ROOT = pathlib.Path(__file__).parents[2]
"""Folder of the project."""

WAIT_SECONDS = 30.0
"""Time after which a test fails that waits for a condition."""

ZONES = ("cayambe", "latacunga")
"""Availability zones of the system."""

ENGINE = {
    "models": ["herder-7"],
    "memory_tokens": 100_000,
    "prefill_tokens_per_second": 200_000.0,
    "concurrency": 16,
    "cold_concurrency": 4,
    "warm_after_requests": 1,
    "step_seconds": 0.02,
    "restart_seconds": 1.0,
    "keep_seconds": 5.0,
    "load_lag_seconds": 0.1,
}
"""Parameters of each engine."""


def free_address() -> str:
    """Return a loopback address whose port nobody uses now."""
    return f"127.0.0.1:{ports.free_port()}"


def http(
    method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Send a request and return the status and the JSON, or the text where it is none."""
    data = json.dumps(body).encode() if body is not None and not isinstance(body, bytes) else body
    request = urllib.request.Request(f"http://{url}", data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except json.JSONDecodeError:
        return status, text


def until(condition: Any, what: str) -> None:
    """Wait until a condition holds; the bound only ends a test that fails."""
    ends_at = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.05)
    raise AssertionError(f"never came: {what}")


class System:
    """The processes of one system."""

    def __init__(
        self,
        folder: pathlib.Path,
        nodes: int,
        engines: int,
        plain: int,
        report_seconds: float = 0.1,
    ) -> None:
        self._folder = folder
        self._report_seconds = report_seconds
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._files: list[Any] = []
        self._pool = futures.ThreadPoolExecutor(4)
        names = ["log", "hosts"]
        names += [f"engine-{number}" for number in range(1, engines + 1)]
        names += [f"orders-{number}" for number in range(1, plain + 1)]
        self.nodes = [f"entry-{number}" for number in range(1, nodes + 1)]
        self.engines = [name for name in names if name.startswith("engine")]
        self.plain = [name for name in names if name.startswith("orders")]
        self.address_by_name = {name: free_address() for name in [*names, *self.nodes]}
        self.peer_address_by_node = {name: free_address() for name in self.nodes}
        self.configuration = self._make_configuration()

    def _make_configuration(self) -> dict[str, Any]:
        servers: dict[str, Any] = {}
        for number, name in enumerate(self.engines):
            servers[name] = {
                "service": "advice",
                "zone": ZONES[number % 2],
                "address": self.address_by_name[name],
                "models": ["herder-7"],
                "memory_tokens": ENGINE["memory_tokens"],
                "prefill_tokens_per_second": ENGINE["prefill_tokens_per_second"],
                "concurrency": ENGINE["concurrency"],
                "cold_concurrency": ENGINE["cold_concurrency"],
                "warm_after_requests": ENGINE["warm_after_requests"],
            }
        for number, name in enumerate(self.plain):
            servers[name] = {
                "service": "orders",
                "zone": ZONES[number % 2],
                "address": self.address_by_name[name],
                "concurrency": 64,
            }
        calls = [
            {"method": "POST", "path": "/postings", "idempotent": False},
            {"method": "GET", "path": "/stock/*", "idempotent": True},
        ]
        return {
            "services": {
                "advice": {"kind": "model", "models": ["herder-7"]},
                "orders": {"kind": "plain", "calls": calls},
            },
            "zones": list(ZONES),
            "servers": servers,
            "organisations": {"andrade": {"weight": 1.0}},
        }

    def start(self) -> None:
        """Start everything and wait until each node takes work."""
        self.start_standin("log", "log", {})
        self.start_standin("hosts", "hosts", {"lag_seconds": 0.1})
        for name in self.engines:
            self.start_standin(name, "engine", ENGINE)
        for name in self.plain:
            self.start_standin(name, "plain", {})
        for name in self.address_by_name:
            if name not in self.nodes:
                until(lambda name=name: self.books(name) is not None, f"{name} is up")
        for number, name in enumerate(self.nodes):
            self.list_host(name, ZONES[number % 2], "live")
        assert self.publish(self.configuration).returncode == 0
        for number, name in enumerate(self.nodes):
            self.start_node(name, ZONES[number % 2])
        for name in self.nodes:
            until(lambda name=name: self.get(name, "/readyz")[0] == 200, f"{name} is ready")
        until(lambda: self.ask(self.nodes[0], "warm up")[0] == 200, "a first answer")

    def start_standin(self, name: str, kind: str, parameters: dict[str, Any]) -> None:
        """Start a stand-in."""
        settings = {"listen": self.address_by_name[name], "parameters": parameters}
        path = self._write(name, settings)
        self._start(name, ["standin", "--kind", kind, "--settings", path])

    def start_node(self, name: str, zone: str) -> None:
        """Start a node."""
        settings = {
            "host": name,
            "zone": zone,
            "caller_address": self.address_by_name[name],
            "peer_address": self.peer_address_by_node[name],
            "log_address": self.address_by_name["log"],
            "host_list_address": self.address_by_name["hosts"],
            "lookup_ttl_seconds": 0.5,
            "heartbeat_seconds": 0.5,
            "report_seconds": self._report_seconds,
            "silence_seconds": 1.5,
            "host_list_lag_seconds": 0.8,
            "reclaim_seconds": 2.5,
            "drain_seconds": 3.0,
        }
        self._start(name, ["node", "--settings", self._write(name, settings)])

    def _write(self, name: str, settings: dict[str, Any]) -> str:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def _start(self, name: str, arguments: list[str]) -> None:
        output = (self._folder / f"{name}.log").open("ab")
        self._files.append(output)
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        self._processes_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", "dragonflycove", *arguments],
            stdout=output,
            stderr=output,
            cwd=self._folder,
            env=environment,
        )

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of the command line to its end."""
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        return subprocess.run(
            [sys.executable, "-m", "dragonflycove", *arguments],
            capture_output=True,
            text=True,
            env=environment,
            cwd=self._folder,
            timeout=WAIT_SECONDS,
            check=False,
        )

    def publish_all(
        self, configurations: list[dict[str, Any]], base: int
    ) -> list[subprocess.CompletedProcess[str]]:
        """Publish several configurations, each edited from a version, at the same time."""
        paths = [
            self._write(f"racer-{number}", configuration)
            for number, configuration in enumerate(configurations)
        ]
        log = self.address_by_name["log"]
        with futures.ThreadPoolExecutor(len(paths)) as pool:
            return list(
                pool.map(
                    lambda path: self.run(
                        "config", "publish", "--base", str(base), "--log", log, path
                    ),
                    paths,
                )
            )

    def begin_post(self, node: str, key: str) -> futures.Future[tuple[int, Any]]:
        """Make a posting without waiting for its answer."""
        return self._pool.submit(self.post, node, key)

    def publish(self, configuration: dict[str, Any]) -> subprocess.CompletedProcess[str]:
        """Publish a configuration by the command line."""
        path = self._write("configuration", configuration)
        return self.run("config", "publish", "--log", self.address_by_name["log"], path)

    def list_host(self, name: str, zone: str, state: str) -> None:
        """Put a host into the host list."""
        entry = {
            "zone": zone,
            "address": self.address_by_name[name],
            "peer_address": self.peer_address_by_node[name],
            "state": state,
        }
        http("PUT", f"{self.address_by_name['hosts']}/v1/hosts/{name}", entry)

    def unlist_host(self, name: str) -> None:
        """Take a host out of the host list."""
        http("DELETE", f"{self.address_by_name['hosts']}/v1/hosts/{name}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this system started."""
        self._processes_by_name[name].send_signal(number)

    def wait(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        return self._processes_by_name[name].wait(WAIT_SECONDS)

    def pid(self, name: str) -> int:
        """Return the identifier of a process."""
        return self._processes_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Tell whether a process was not ended."""
        return self._processes_by_name[name].poll() is None

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def faults(self, name: str, **switches: Any) -> None:
        """Set a stand-in's fault switches; none named switches all off."""
        status, _ = http("PUT", f"{self.address_by_name[name]}/_standin/faults", switches)
        assert status == 200

    def clear_faults(self) -> None:
        """Switch all faults of all stand-ins off."""
        for name in self.address_by_name:
            if name not in self.nodes:
                self.faults(name)

    def books(self, name: str) -> dict[str, Any]:
        """Return a stand-in's own records."""
        books: dict[str, Any] = http("GET", f"{self.address_by_name[name]}/_standin/books")[1]
        return books

    def get(self, node: str, path: str) -> tuple[int, Any]:
        """Get a page of a node."""
        return http("GET", self.address_by_name[node] + path)

    def ask(self, node: str, prompt: str, tokens: int = 4, **headers: str) -> tuple[int, Any]:
        """Ask the model for an answer that is not streamed."""
        body = {"model": "herder-7", "prompt": prompt, "max_tokens": tokens}
        sent = {"X-Organisation": "andrade", "X-Deadline-Seconds": "20", **headers}
        return http("POST", f"{self.address_by_name[node]}/v1/completions", body, sent)

    def post(self, node: str, key: str, body: bytes = b"amount=7") -> tuple[int, Any]:
        """Make a posting, which may not be repeated."""
        headers = {
            "X-Organisation": "andrade",
            "Idempotency-Key": key,
            "X-Deadline-Seconds": "10",
        }
        url = f"{self.address_by_name[node]}/v1/services/orders/postings"
        return http("POST", url, body, headers)

    def executions(self, key: str) -> int:
        """Return how often a key ran, by the plain services' own records."""
        return sum(self.books(name)["executions_by_key"].get(key, 0) for name in self.plain)

    def stop(self) -> None:
        """End every process that this system started."""
        for process in self._processes_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes_by_name.values():
            process.wait(WAIT_SECONDS)
        for file in self._files:
            file.close()
        self._pool.shutdown(wait=False)


def new_key(word: str) -> str:
    """Return a key that is good now."""
    return f"{int(time.time())}-test-{word:0>8}"

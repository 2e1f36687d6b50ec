"""Starts nodes and stand-ins as processes on loopback sockets, and controls their faults."""

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
"""Root folder of the repository."""

WAIT_SECONDS = 30.0
"""Timeout of every wait and HTTP request of a test."""

ZONES = ("cayambe", "latacunga")
"""Availability zones; nodes and servers are assigned to them in turn."""

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
"""Parameters of each engine stand-in; the configuration repeats some of them."""


def unused_address() -> str:
    """Return a loopback address with a port that nothing listens on."""
    return f"127.0.0.1:{ports.free_port()}"


def send_http(
    method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Send a request and return its status and body, parsed if it is JSON, else as text."""
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


def wait_until(condition: Any, description: str) -> None:
    """Wait until a condition holds, where OSError counts as not yet.

    The timeout only ends a test that would otherwise hang.
    """
    ends_at = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.05)
    raise AssertionError(f"timeout waiting for: {description}")


class System:
    """The processes of one system: log, host list, engines, plain services and nodes."""

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
        self._executor = futures.ThreadPoolExecutor(4)
        names = ["log", "hosts"]
        names += [f"engine-{number}" for number in range(1, engines + 1)]
        names += [f"orders-{number}" for number in range(1, plain + 1)]
        self.nodes = [f"entry-{number}" for number in range(1, nodes + 1)]
        self.engines = [name for name in names if name.startswith("engine")]
        self.plain = [name for name in names if name.startswith("orders")]
        self.address_by_name = {name: unused_address() for name in [*names, *self.nodes]}
        self.peer_address_by_node = {name: unused_address() for name in self.nodes}
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
        """Start all processes and wait until each node is ready and a prompt succeeds."""
        self.start_standin("log", "log", {})
        self.start_standin("hosts", "hosts", {"lag_seconds": 0.1})
        for name in self.engines:
            self.start_standin(name, "engine", ENGINE)
        for name in self.plain:
            self.start_standin(name, "plain", {})
        for name in self.address_by_name:
            if name not in self.nodes:
                wait_until(lambda name=name: self.read_records(name) is not None, f"{name} is up")
        for number, name in enumerate(self.nodes):
            self.add_host(name, ZONES[number % 2], "live")
        assert self.publish(self.configuration).returncode == 0
        for number, name in enumerate(self.nodes):
            self.start_node(name, ZONES[number % 2])
        for name in self.nodes:
            wait_until(lambda name=name: self.get(name, "/readyz")[0] == 200, f"{name} is ready")
        wait_until(lambda: self.complete(self.nodes[0], "warm up")[0] == 200, "a first response")

    def start_standin(self, name: str, kind: str, parameters: dict[str, Any]) -> None:
        """Start a stand-in of a kind with its parameters."""
        settings = {"listen": self.address_by_name[name], "parameters": parameters}
        path = self._write(name, settings)
        self._start(name, ["standin", "--kind", kind, "--settings", path])

    def start_node(self, name: str, zone: str) -> None:
        """Start a node on its addresses, with short timeouts."""
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
        """Run the command line with these arguments and wait until it exits."""
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

    def publish_concurrently(
        self, configurations: list[dict[str, Any]], base: int
    ) -> list[subprocess.CompletedProcess[str]]:
        """Publish several configurations, all edited from version `base`, at the same time."""
        paths = [
            self._write(f"configuration-{number}", configuration)
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

    def send_posting_in_background(self, node: str, key: str) -> futures.Future[tuple[int, Any]]:
        """Send a posting in another thread and return the future response."""
        return self._executor.submit(self.send_posting, node, key)

    def publish(self, configuration: dict[str, Any]) -> subprocess.CompletedProcess[str]:
        """Publish a configuration with the command line's `config publish`."""
        path = self._write("configuration", configuration)
        return self.run("config", "publish", "--log", self.address_by_name["log"], path)

    def add_host(self, name: str, zone: str, state: str) -> None:
        """Add a host to the host list, or replace its entry."""
        entry = {
            "zone": zone,
            "address": self.address_by_name[name],
            "peer_address": self.peer_address_by_node[name],
            "state": state,
        }
        send_http("PUT", f"{self.address_by_name['hosts']}/v1/hosts/{name}", entry)

    def remove_host(self, name: str) -> None:
        """Remove a host from the host list."""
        send_http("DELETE", f"{self.address_by_name['hosts']}/v1/hosts/{name}")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this system started."""
        self._processes_by_name[name].send_signal(number)

    def wait(self, name: str) -> int:
        """Wait for the end of a process and return its exit status."""
        return self._processes_by_name[name].wait(WAIT_SECONDS)

    def pid(self, name: str) -> int:
        """Return the process ID."""
        return self._processes_by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process that this system started has not exited."""
        return self._processes_by_name[name].poll() is None

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has exited."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def set_faults(self, name: str, **switches: Any) -> None:
        """Replace all fault switches of a stand-in; those that aren't given are off."""
        status, _ = send_http("PUT", f"{self.address_by_name[name]}/_standin/faults", switches)
        assert status == 200

    def clear_faults(self) -> None:
        """Switch off all faults of all stand-ins."""
        for name in self.address_by_name:
            if name not in self.nodes:
                self.set_faults(name)

    def read_records(self, name: str) -> dict[str, Any]:
        """Return what a stand-in recorded of its work, such as attempts and executions."""
        standin_records: dict[str, Any] = send_http(
            "GET", f"{self.address_by_name[name]}/_standin/books"
        )[1]
        return standin_records

    def get(self, node: str, path: str) -> tuple[int, Any]:
        """Send a GET request to a node's caller address."""
        return send_http("GET", self.address_by_name[node] + path)

    def complete(self, node: str, prompt: str, tokens: int = 4, **headers: str) -> tuple[int, Any]:
        """Send a completion request without streaming."""
        body = {"model": "herder-7", "prompt": prompt, "max_tokens": tokens}
        all_headers = {"X-Organisation": "andrade", "X-Deadline-Seconds": "20", **headers}
        return send_http("POST", f"{self.address_by_name[node]}/v1/completions", body, all_headers)

    def send_posting(self, node: str, key: str, body: bytes = b"amount=7") -> tuple[int, Any]:
        """Send a posting, a call that isn't idempotent, and return the status and body."""
        headers = {
            "X-Organisation": "andrade",
            "Idempotency-Key": key,
            "X-Deadline-Seconds": "10",
        }
        url = f"{self.address_by_name[node]}/v1/services/orders/postings"
        return send_http("POST", url, body, headers)

    def executions(self, key: str) -> int:
        """Return how often the plain services executed a call with a key."""
        return sum(self.read_records(name)["executions_by_key"].get(key, 0) for name in self.plain)

    def stop(self) -> None:
        """Kill every process that this system started, also those stopped by a signal."""
        for process in self._processes_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes_by_name.values():
            process.wait(WAIT_SECONDS)
        for file in self._files:
            file.close()
        self._executor.shutdown(wait=False)


def make_key(word: str) -> str:
    """Return an idempotency key that is valid now; `word` makes it distinct."""
    return f"{int(time.time())}-test-{word:0>8}"

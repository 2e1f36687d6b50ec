"""Streams whose ids are times: a node is killed, and its callers resume at another one."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import review_platform as stand  # noqa: E402

FIRST_ID = int(os.environ.get("FIRST_ID", time.time() * 1000))
"""Id of the first event of each stream, by default the Unix milliseconds of the start."""

STREAMS = 6


def configuration() -> dict[str, object]:
    """Return a configuration with one route for streams that may be resumed."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-query",
                "host": "h.example",
                "path_prefix": "/query/",
                "route_type": "streaming",
                "timeout_ms": 10000,
                "latency_goal_ms": 300,
                "priority": 1,
                "service": "model",
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 250,
            }
        ],
        "services": [
            {
                "name": "model",
                "health_path": "/healthz",
                "max_connections": 294,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
                "engine": {
                    "slots": 8,
                    "kv_capacity": 232000,
                    "stride": 43,
                    "step_ms": 1.02,
                    "per_seq_ms": 0.00452,
                    "context_per_k": 0.00431,
                    "read_per_s": 206000.0,
                    "pairs_per_m": 0.138,
                    "chunk": 2048,
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t1", "api_keys": ["key-1"], "priority": 1}],
    }


async def main(record: stand.Record, scratch: pathlib.Path, has_trouble: bool) -> int:
    """Play the case; returns 1 if a caller that resumed its stream got an event twice."""
    topics = stand.Topics()
    store = stand.Store(topics)
    ip = "127.0.0.1"
    store_address = f"{ip}:{stand.free_port(ip)}"
    await store.listen(ip, int(store_address.rpartition(":")[2]))
    topics.put("keyed.op", "config", configuration())
    servers = [stand.StreamServer(f"i-{number}", "model", record) for number in (1, 2, 3)]
    for server in servers:
        server.first_id = FIRST_ID
        server.event_seconds = 0.15
        server.events = 12
        await server.start(ip)
    nodes = [stand.Node(number, scratch, store_address) for number in range(1, 8)]

    async def beat() -> None:
        while True:
            for server in servers:
                topics.put("keyed.servers", server.server_id, server.entry() | {"slots": 8})
            await asyncio.sleep(1.2)

    async def read_whole(number: int) -> tuple[list[int], bool]:
        """Read a stream as a client does: once more, after its last event, if it was cut."""
        target = f"/query/{number}"
        _, _, ids, is_complete = await stand.call_stream(
            record, nodes[0].frontend, target, "key-1"
        )
        if is_complete or not ids:
            return ids, is_complete
        _, _, more, is_complete = await stand.call_stream(
            record, nodes[1].frontend, target, "key-1", last_event_id=ids[-1]
        )
        return [*ids, *more], is_complete

    beats = asyncio.create_task(beat())
    try:
        for node in nodes:
            await node.start()
        if not all([await node.wait_ready() for node in nodes]):
            record.write("a node did not get ready")
            return 2
        await asyncio.sleep(1.0)
        calls = [asyncio.create_task(read_whole(number)) for number in range(STREAMS)]
        await asyncio.sleep(0.8)
        if has_trouble:
            nodes[0].send(signal.SIGKILL)
            record.write("SIGKILL to the node that took the requests")
        results = await asyncio.gather(*calls)
        wanted = [FIRST_ID + number for number in range(12)]
        doubled = [ids for ids, _ in results if len(set(ids)) < len(ids)]
        whole = [ids for ids, is_complete in results if is_complete and ids == wanted]
        record.write(
            f"{len(results)} streams, {len(whole)} with each event once,"
            f" {len(doubled)} with events that came twice"
        )
        return 1 if doubled else 0
    finally:
        beats.cancel()
        for node in nodes:
            await node.end()
        for listener in (store, *servers):
            await listener.close()


stand.run_case(main, FOLDER)

#!/usr/bin/env python3
"""Compares entry and agent with a plain relay of two hops in the same run, by
requests and streamed bytes per second of CPU time, and measures their memory."""
import argparse
import json
import pathlib
import subprocess
import sys
import time
import socket

from fleet import BUILD, Fleet

REQUESTS_PER_SECOND = 1500
STREAMS_PER_SECOND = 60
SECONDS = 3
ROUNDS = 3
OPEN_STREAMS = 1000

DOCUMENT = {
    "environment": "bench", "models": {}, "adapters": {}, "workspaces": {}, "keys": {},
    "upstreams": {"source-01": {"deployment": "source", "host": "source-1", "kind": "service", "concurrency": 4096}},
    "routes": {"small": {"path_prefix": "/small", "deployment": "source", "open": True, "repeatable": True,
                         "class": "interactive", "deadline_ms": 10000}},
}


def figure(metric, value, bound, ok):
    print(json.dumps({"bench": "speed", "metric": metric, "value": round(value, 3), "bound": bound, "ok": ok}), flush=True)


def load(fleet, target, path, rate, seed):
    plan = {"seconds": SECONDS, "streams": [
        {"workspace": "open", "class": "interactive", "path": path, "requests_per_second": rate}]}
    file = pathlib.Path(fleet.folder.name) / "plan.json"
    file.write_text(json.dumps(plan))
    result = subprocess.run([str(BUILD / "sardinefold-load"), f"--targets={fleet.address(target)}", f"--plan={file}",
                             f"--seed={seed}"], capture_output=True, text=True)
    line = json.loads(result.stdout.splitlines()[0])
    if line["answered"] != line["sent"]:
        raise RuntimeError(f"{target}: {line}")
    return line


def cpu_seconds_of(fleet, names):
    return sum(fleet.processes[name].cpu_seconds() for name in names)


def ratio(fleet, path, rate, unit, seed):
    chains = {"relay": (["relay-1", "relay-2"], "relay-1"), "sardinefold": (["entry-1", "source-01"], "entry-1")}
    work = dict.fromkeys(chains, 0.0)
    cpu_seconds_used = dict.fromkeys(chains, 0.0)
    for round_number in range(ROUNDS):
        for chain, (names, target) in chains.items():
            cpu_seconds_before = cpu_seconds_of(fleet, names)
            line = load(fleet, target, path, rate, seed + round_number)
            cpu_seconds_used[chain] += cpu_seconds_of(fleet, names) - cpu_seconds_before
            work[chain] += line[unit]
    rates = {chain: work[chain] / cpu_seconds_used[chain] for chain in chains}
    print(f"{unit} per processor second: {rates}", file=sys.stderr)
    return rates["sardinefold"] / rates["relay"]


def hold_streams(fleet):
    open_sockets = []
    request = b"POST /small/hold HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    for _ in range(OPEN_STREAMS):
        connection = socket.create_connection(("127.0.0.1", fleet.ports["entry-1"]))
        connection.sendall(request)
        open_sockets.append(connection)
    for connection in open_sockets:
        connection.settimeout(20)
        connection.recv(1)
    memory = {name: fleet.processes[name].resident_bytes() / 1e6 for name in ("entry-1", "source-01")}
    for connection in open_sockets:
        connection.close()
    return memory


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only")
    options = parser.parse_args()
    with Fleet("warning") as fleet:
        fleet.start_platform()
        fleet.start("source", "bench-source")
        fleet.start("relay-2", "baseline-relay", next=fleet.address("source"))
        fleet.start("relay-1", "baseline-relay", next=fleet.address("relay-2"))
        document = pathlib.Path(fleet.folder.name) / "document.json"
        document.write_text(json.dumps(DOCUMENT))
        fleet.start_agent("source-01", "source-1", "service", "here", fleet.address("source"), concurrency=4096)
        fleet.start_entry("entry-1", "here", "bench", document=document)
        fleet.publish_hosts()
        fleet.wait_listening(["entry-1"])
        time.sleep(3)
        idle = {name: fleet.processes[name].resident_bytes() / 1e6 for name in ("entry-1", "source-01")}
        figure("idle_entry_MB", idle["entry-1"], 24, idle["entry-1"] < 24)
        figure("idle_agent_MB", idle["source-01"], 24, idle["source-01"] < 24)
        value = ratio(fleet, "/small/request", REQUESTS_PER_SECOND, "answered", options.seed)
        figure("requests_per_cpu_second_over_relay", value, 0.6, value >= 0.6)
        value = ratio(fleet, "/small/stream", STREAMS_PER_SECOND, "bytes", options.seed)
        figure("streamed_bytes_per_cpu_second_over_relay", value, 0.8, value >= 0.8)
        memory = hold_streams(fleet)
        figure("entry_MB_with_1000_streams", memory["entry-1"], 64, memory["entry-1"] < 64)
        figure("agent_MB_with_1000_streams", memory["source-01"], 64, memory["source-01"] < 64)
    return 0


if __name__ == "__main__":
    sys.exit(main())

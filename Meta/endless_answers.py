#!/usr/bin/env python3
"""Tests the real programs on loopback against a faulty engine whose answers never end.

Each case lets a faulty engine answer many requests of one gateway, the orders and report
requests of one loader, or many orders through an entry and an agent, with one kind of
bytes without end. Checked are only that the process lives, that its resident memory and its open descriptors stay under the
limits in its settings, and that an ordinary request is answered with 200 afterwards.
Nothing depends on time. Prints one line per case; `--only TEXT` runs the cases whose
name contains it.
"""
import argparse
import contextlib
import http.client
import json
import os
import socketserver
import sys
import threading
import time

import demo
from hostile_callers import (DESCRIPTORS, MEMORY_MB, STORE, Crowd, Site, Watch, chunk, head, peak_bytes,
                             wait_until_settled)
from process_faults import Trial

FAULTY = "127.0.5.1"
# Limit of an entry and an agent, which hold responses of up to 8 MiB.
FLEET_MEMORY_MB = 64
# As many as the gateway serves at once with its descriptors.
CALLERS = 240
CHUNKED = b"Server-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"


class Answer:
    """The start of an answer and the part that follows it without end. With a pause the
    part is sent after each pause, else as fast as it is read."""

    def __init__(self, status, fields, start, part, pause=0.0):
        self.status, self.fields, self.start, self.part, self.pause = status, fields, start, part, pause

    def head(self, request_id):
        return b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s" % (self.status, request_id, self.fields)


LONG = b"x" * 30_000
# A report that takes many times its size when parsed, as large as a process reads.
REPORT = b'{"models":[0' + b",0" * 4_000_000 + b"]}"
ANSWERS = {
    "head": Answer(200, b"", b"", b"Field: " + LONG + b"\r\n"),
    "long_head": Answer(200, CHUNKED, b"Field: " + LONG + b"\r\n\r\n", chunk(b"x"), 1.0),
    "body": Answer(200, CHUNKED, b"\r\n", chunk(LONG)),
    "body_of_failure": Answer(500, CHUNKED, b"\r\n", chunk(LONG)),
    "body_of_refusal": Answer(503, b"Not-Executed: 1\r\n" + CHUNKED, b"\r\n", chunk(LONG)),
    "unframed_body": Answer(200, b"Server-Seal: 1.2.3\r\nConnection: close\r\n", b"\r\n", LONG),
    "long_event": Answer(200, CHUNKED, b"\r\n" + chunk(b"x" * 240_000), chunk(b"x"), 1.0),
    "empty_events": Answer(200, CHUNKED, b"\r\n", chunk(b"\n" * 10_000)),
    "extension": Answer(200, CHUNKED, b"\r\n1;extension=" + LONG, b"x", 1.0),
    "report": Answer(200, b"Content-Length: %d\r\n" % len(REPORT), b"\r\n" + REPORT, b""),
}
# A loader has one request to its engine at a time, so that few kinds differ for it.
KINDS = {"gateway": [kind for kind in ANSWERS if kind != "report"], "loader": ["head", "body", "report"],
         "fleet": ["long_head", "body", "unframed_body"]}


class FaultyEngine(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = CALLERS

    def __init__(self, address, answer):
        super().__init__(address, self.respond)
        self.answer, self.requests = answer, 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def respond(self, connection, _address, _server):
        with contextlib.suppress(OSError):
            connection.settimeout(10)
            request = b""
            while b"\r\n\r\n" not in request:
                data = connection.recv(65536)
                if not data:
                    return
                request += data
            self.requests += 1
            names = [line.partition(b": ") for line in request.split(b"\r\n")]
            request_id = next((value for name, _, value in names if name == b"Request-Id"), b"none")
            connection.sendall(self.answer.head(request_id) + self.answer.start)
            while self.answer.part:
                time.sleep(self.answer.pause)
                connection.sendall(self.answer.part)


class FaultySite(Site):
    """The stand-in site, whose loader stands beside the faulty engine."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer

    def launch_node(self, program, address, lines):
        if program == "sardinefold-loader":
            lines = [f'app: "{FAULTY}:{self.ports["engine"]}"' if line.startswith("app:") else line for line in lines]
        return super().launch_node(program, address, lines)

    def start(self):
        self.engine = FaultyEngine((FAULTY, self.ports["engine"]), self.answer)
        super().start()
        spec = {"service": "llm", "address": f"{FAULTY}:{self.ports['engine']}", "zone": "a", "slots": CALLERS,
                "state": "ready", "born": 1, "models": [{"name": "faulty", "adapters": []}]}
        connection = http.client.HTTPConnection(STORE, self.ports["store"], timeout=5)
        connection.request("POST", "/v1/objects/servers", json.dumps({"metadata": {"name": "i-faulty"}, "spec": spec}))
        status = connection.getresponse().status
        connection.close()
        assert status in (200, 201), f"the store answered {status}"

    def stop(self):
        super().stop()
        self.engine.shutdown()
        self.engine.server_close()


class FaultyFleet(Trial):
    """The demonstration's entries and agents. The faulty engine stands in the place of the
    service that takes orders."""

    def __init__(self, answer):
        limits = {"SARDINEFOLD_MEMORY_MB": str(FLEET_MEMORY_MB)}
        os.environ.update(limits)
        try:
            super().__init__()
        finally:
            for name in limits:
                os.environ.pop(name)
        service = self.fleet.processes["booking-01-upstream"].child
        service.kill()
        service.wait()
        self.engine = FaultyEngine(("127.0.0.1", self.fleet.ports["booking-01-upstream"]), answer)

    def __exit__(self, *arguments):
        for process in self.fleet.processes.values():
            if process.is_running():
                process.child.kill()
        super().__exit__(*arguments)
        self.engine.shutdown()
        self.engine.server_close()


def check(door, watch):
    """Returns what was broken, and the figures."""
    after = None
    for _ in range(20):
        after = door.ask()
        if after == 200 or door.child.poll() is not None:
            break
        time.sleep(0.2)
    watch.is_ended.set()
    watch.join()
    if door.child.poll() is not None:
        return [f"the process ended with {door.child.returncode}"], ""
    peak = peak_bytes(door.child.pid)
    broken = [text for text, is_broken in (
        ("memory", peak > MEMORY_MB * 1024 * 1024), ("descriptors", watch.most > DESCRIPTORS),
        (f"an ordinary request afterwards got {after}", after != 200)) if is_broken]
    return broken, f"{peak / 2**20:.1f} of {MEMORY_MB} MB, {watch.most} of {DESCRIPTORS} descriptors"


def play_gateway(site):
    door = site.callers()
    watch = Watch(door.child.pid)
    request = head("POST", "/once/x", "Model: faulty\r\nToken-Count: 100,10\r\nContent-Length: 0\r\n")
    # The gateway has heard of the engine once it sends the first request there.
    for _ in range(50):
        with Crowd(door.address, request, 1):
            time.sleep(0.1)
        if site.engine.requests:
            break
    with Crowd(door.address, request, CALLERS):
        wait_until_settled(door.child.pid)
    broken, figures = check(door, watch)
    if site.engine.requests < 2:
        broken.append("the faulty engine got no requests")
    return broken, f"{figures}, {site.engine.requests} requests to the faulty engine"


def play_loader(site):
    door = site.loader_metrics()
    watch = Watch(door.child.pid)
    wait_until_settled(door.child.pid)
    broken, figures = check(door, watch)
    if not site.engine.requests:
        broken.append("the faulty engine got no requests")
    return broken, f"{figures}, {site.engine.requests} requests to the faulty engine"


def order(number):
    body = demo.order_body(str(number))
    return (f"POST /booking/orders HTTP/1.1\r\nHost: site.example\r\nContent-Type: application/json\r\n"
            f"Authorization: Bearer {demo.KEYS['curtains-demo']}\r\nIdempotency-Key: order-{number}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}").encode()


def play_fleet(fleet):
    entry, agent = (fleet.fleet.processes[name] for name in ("entry-1", "booking-01"))
    with contextlib.ExitStack() as crowd:
        for number in range(CALLERS):
            crowd.enter_context(Crowd(("127.0.0.1", fleet.fleet.ports["entry-1"]), order(number), 1))
        wait_until_settled(agent.child.pid)
    status = demo.chat(fleet.fleet, "entry-1", "briefing")[0]
    broken = [] if status == 200 else [f"an ordinary request afterwards got {status}"]
    figures = []
    for process in (entry, agent):
        if not process.is_running():
            broken.append(f"{process.name} ended with {process.child.returncode}")
            continue
        peak = peak_bytes(process.child.pid)
        figures.append(f"{process.name} {peak / 2**20:.1f} of {FLEET_MEMORY_MB} MB")
        if peak > FLEET_MEMORY_MB * 1024 * 1024:
            broken.append(f"memory of {process.name}")
    if not fleet.engine.requests:
        broken.append("the faulty engine got no requests")
    return broken, f"{', '.join(figures)}, {fleet.engine.requests} requests to the faulty engine"


PLAYS = {"gateway": (FaultySite, play_gateway), "loader": (FaultySite, play_loader), "fleet": (FaultyFleet, play_fleet)}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", default="", help="part of the names of the cases to run")
    only = parser.parse_args().only
    failed = 0
    for program, (site_type, play) in PLAYS.items():
        for kind in KINDS[program]:
            name = f"{program}.{kind}"
            if only not in name:
                continue
            start = time.monotonic()
            try:
                with site_type(ANSWERS[kind]) as site:
                    broken, figures = play(site)
            except (OSError, AssertionError) as error:
                broken, figures = [f"{type(error).__name__}: {error}"], ""
            failed += bool(broken)
            print(f"{'FAILED' if broken else 'ok'} {name} ({time.monotonic() - start:.1f} s): "
                  f"{', '.join(broken + [figures])}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

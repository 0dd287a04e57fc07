#!/usr/bin/env python3
"""Tests the real programs on loopback against callers outside all limits.

Each case sends one kind of crowd to one address of one program. Checked are only
that the process lives, that its resident memory and its open descriptors stay
under the limits in its settings, and that an ordinary request is answered with 200
beside the crowd or once it has gone, and again after it. Nothing depends on time.
Prints one line per case; `--only TEXT` runs the cases whose name contains it.
"""
import argparse
import contextlib
import http.client
import os
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time

import fleet
from fleet import BUILD, free_port, wait_until

MEMORY_MB = 32
DESCRIPTORS = 1000
CONNECTIONS = 2000
# A body of single bytes costs the programs and this script most processor time.
SMALL_CHUNK_CONNECTIONS = 800
READERS = 200
# The stand-in site's configuration limits bodies to 20,000 bytes and heads to 4,096.
BODY_BYTES = 19_990
# More than any of the programs takes.
OVER_BYTES = 10_000_000
STORE, GATEWAY, LOADER = "127.0.1.1", "127.0.4.1", "127.0.2.1"


def head(method, path, fields):
    return (f"{method} {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 1500\r\n"
            f"Authorization: Bearer key-1\r\n{fields}\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def announced_over(path):
    return head("POST", path, f"Content-Length: {OVER_BYTES}\r\n") + b"x" * BODY_BYTES


def sent_over(path):
    return head("POST", path, CHUNKED) + chunk(b"x" * 20_000) * 10


def large_chunks(path):
    return head("POST", path, CHUNKED) + chunk(b"x" * BODY_BYTES)


def small_chunks(path):
    return head("POST", path, CHUNKED) + chunk(b"x") * BODY_BYTES


def announced_within(path):
    return head("POST", path, "Content-Length: 20000\r\n") + b"x" * BODY_BYTES


def endless_head(path):
    return f"GET {path} HTTP/1.1\r\nHost: site.example\r\nPadding: ".encode() + b"x" * 3_900


def silent(_path):
    return b""


def extensions(path):
    return head("POST", path, CHUNKED) + b"1;extension=" + b"x" * 60_000


def trailers(path):
    return head("POST", path, CHUNKED) + chunk(b"x") + b"0\r\nTrailer: " + b"x" * 60_000


def pipelined(path):
    return head("GET", path, "") * 300


def unread_streams(_path):
    return head("POST", "/chat/x", "Model: common\r\nToken-Count: 100,10\r\nContent-Length: 0\r\n")


BODIES = [announced_over, sent_over, large_chunks, small_chunks, announced_within]
EVERYTHING = BODIES + [endless_head, silent, extensions, trailers, pipelined]


class Watch(threading.Thread):
    """Samples the open descriptors of a process."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid, self.most, self.is_ended = pid, 0, threading.Event()
        self.start()

    def run(self):
        while not self.is_ended.wait(0.01):
            with contextlib.suppress(OSError):
                self.most = max(self.most, len(os.listdir(f"/proc/{self.pid}/fd")))


def peak_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has gone")


class Crowd:
    def __init__(self, address, data, size):
        self.address, self.data, self.size = address, data, size
        self.sockets = []

    def __enter__(self):
        for _ in range(self.size):
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(5)
            self.sockets.append(caller)
            # A caller that is refused or closed has had its say.
            with contextlib.suppress(OSError):
                caller.connect(self.address)
                caller.settimeout(0.5)
                caller.sendall(self.data)
        return self

    def __exit__(self, *_):
        for caller in self.sockets:
            caller.close()


def ask(address, request, body):
    connection = http.client.HTTPConnection(*address, timeout=5)
    try:
        method, path = request
        headers = {"Host": "site.example", "Request-Id": f"ordinary-{time.monotonic_ns()}", "Deadline-Ms": "1500",
                   "Authorization": "Bearer key-1"}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return f"{type(error).__name__}"
    finally:
        connection.close()


class Door:
    """One listening address of a program, and an ordinary request to it."""

    def __init__(self, child, address, request, crowd_path, body=None):
        self.child, self.address, self.request = child, address, request
        self.crowd_path, self.body = crowd_path, body

    def ask(self):
        return ask(self.address, self.request, self.body)


class Site:
    """The stand-in site with a gateway and a loader."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="sardinefold-")
        self.children = []
        self.ports = {name: free_port() for name in ("store", "engine", "peer", "front", "ready", "metrics")}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        ports = self.ports
        self.launch("standin-site", f"--listen={STORE}:{ports['store']}", f"--port={ports['engine']}")
        self.gateway = self.launch_node("sardinefold-gateway", GATEWAY, [
            f'listenAddrs: {{front: "{GATEWAY}:{ports["front"]}", ready: "{GATEWAY}:{ports["ready"]}"}}'])
        self.loader = self.launch_node("sardinefold-loader", LOADER, [
            f'app: "{LOADER}:{ports["engine"]}"', 'service: "llm"', "listenAddrs: {}"])
        wait_until(lambda: self.readiness().ask() == 200 and self.callers().ask() == 200, 20, "the gateway ready")
        wait_until(lambda: self.loader_metrics().ask() == 200, 20, "the loader ready")

    def launch(self, program, *arguments):
        log = open(pathlib.Path(self.folder.name) / f"{program}.log", "ab")
        child = subprocess.Popen([BUILD / program, *arguments], stdout=log, stderr=subprocess.STDOUT,
                                 stdin=subprocess.DEVNULL)
        log.close()
        self.children.append(child)
        return child

    def launch_node(self, program, address, lines):
        path = pathlib.Path(self.folder.name) / f"{program}.yaml"
        path.write_text("\n".join([
            f'nodeName: "{program}"', 'zone: "a"', f'ip: "{address}"',
            f"innerPortRange: [{self.ports['peer']}, {self.ports['peer'] + 1}]",
            f'platform: {{address: "{STORE}:{self.ports["store"]}"}}', "bounds: {graceS: 6}",
            f"limits: {{memoryMb: {MEMORY_MB}, maxFds: {DESCRIPTORS}}}", *lines]) + "\n")
        return self.launch(program, f"--node-file={path}", f"--metrics-port={self.ports['metrics']}")

    def callers(self):
        return Door(self.gateway, (GATEWAY, self.ports["front"]), ("POST", "/look/x"), "/look/x", b"x" * 500)

    def readiness(self):
        return Door(self.gateway, (GATEWAY, self.ports["ready"]), ("GET", "/v1/ready"), "/v1/ready")

    def gateway_metrics(self):
        return Door(self.gateway, (GATEWAY, self.ports["metrics"]), ("GET", "/metrics"), "/metrics")

    def loader_metrics(self):
        return Door(self.loader, (LOADER, self.ports["metrics"]), ("GET", "/metrics"), "/metrics")

    def make_streams_long(self):
        """Each stream then has 16 MB."""
        for number in (1, 2):
            status, _, body = put_faults(f"127.0.2.{number}", self.ports["engine"],
                                         b'{"events": 1000, "event_bytes": 16000, "event_ms": 1}')
            assert status == 200, body

    def stop(self):
        end_all(self.children)
        self.folder.cleanup()


def put_faults(address, port, faults):
    connection = http.client.HTTPConnection(address, port, timeout=5)
    try:
        connection.request("PUT", "/admin/faults", faults)
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def end_all(children):
    for child in children:
        if child.poll() is None:
            child.kill()
        child.wait()


class EntrySite:
    """The older platform's stand-in with an entry and an agent. Programs that have no
    such settings ignore the variables."""

    def __enter__(self):
        limits = {"SARDINEFOLD_MEMORY_MB": str(MEMORY_MB), "SARDINEFOLD_MAXIMUM_DESCRIPTORS": str(DESCRIPTORS)}
        self.fleet = fleet.Fleet()
        try:
            self.fleet.start_platform()
            os.environ.update(limits)
            self.fleet.start_upstream("booking-01", "booking-1", "service", "munich")
            self.fleet.start_entry("entry-1", "munich", "demo")
            self.fleet.publish_hosts()
            self.fleet.wait_listening(["entry-1", "booking-01"])
        except BaseException:
            self.fleet.stop()
            raise
        finally:
            for name in limits:
                os.environ.pop(name, None)
        return self

    def __exit__(self, *_):
        for process in self.fleet.processes.values():
            if process.is_running():
                process.child.kill()
        self.fleet.stop()

    def door(self, name):
        return Door(self.fleet.processes[name].child, ("127.0.0.1", self.fleet.ports[name]), ("GET", "/healthz"),
                    "/healthz")

    def entry(self):
        return self.door("entry-1")

    def operator(self):
        """The operator's path on the entry."""
        door = self.entry()
        door.crowd_path = "/operator/v1/documents"
        return door

    def agent(self):
        return self.door("booking-01")


def play(door, kind):
    """Returns what was broken, and the figures."""
    size = {small_chunks: SMALL_CHUNK_CONNECTIONS, unread_streams: READERS}.get(kind, CONNECTIONS)
    watch = Watch(door.child.pid)
    broken = []
    with Crowd(door.address, kind(door.crowd_path), size):
        # Bytes that wait in the sockets are read before a new connection is accepted.
        beside = door.ask()
        if kind is unread_streams:
            wait_until_settled(door.child.pid)
    after = beside
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
    if peak > MEMORY_MB * 1024 * 1024:
        broken.append("memory")
    if watch.most > DESCRIPTORS:
        broken.append("descriptors")
    if after != 200:
        broken.append(f"an ordinary request afterwards got {after}")
    return broken, f"{peak / 2**20:.1f} of {MEMORY_MB} MB, {watch.most} of {DESCRIPTORS} descriptors, beside {beside}"


def wait_until_settled(pid):
    """Waits until the process's memory has not grown for a second, or for ten."""
    last, unchanged = peak_bytes(pid), 0
    for _ in range(50):
        time.sleep(0.2)
        peak = peak_bytes(pid)
        unchanged = unchanged + 1 if peak == last else 0
        last = peak
        if unchanged == 5:
            return


def run(site_type, door_name, kind):
    with site_type() as site:
        if kind is unread_streams:
            site.make_streams_long()
        return play(getattr(site, door_name)(), kind)


CASES = [(Site, "callers", kind) for kind in EVERYTHING + [unread_streams]]
CASES += [(Site, door, kind) for door in ("readiness", "gateway_metrics", "loader_metrics") for kind in BODIES + [silent]]
CASES += [(EntrySite, door, kind) for door in ("entry", "agent") for kind in BODIES + [silent]]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", default="", help="part of the names of the cases to run")
    only = parser.parse_args().only
    # This script holds both ends of no connection, but one of each.
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    failed = 0
    for site_type, door_name, kind in CASES:
        name = f"{door_name}.{kind.__name__}"
        if only not in name:
            continue
        start = time.monotonic()
        try:
            broken, figures = run(site_type, door_name, kind)
        except (OSError, AssertionError) as error:
            broken, figures = [f"{type(error).__name__}: {error}"], ""
        failed += bool(broken)
        print(f"{'FAILED' if broken else 'ok'} {name} ({time.monotonic() - start:.1f} s): "
              f"{', '.join(broken + [figures])}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Runs the demonstration on a stand-in of the users' platform. Prints a table of
results and stops all processes."""
import http.client
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from fleet import BUILD, free_port, wait_until

ENGINES = 2
GATEWAYS = {"front-1": "127.0.4.1", "front-2": "127.0.4.2"}
ROWS = []


def row(description, observed, passed):
    ROWS.append(passed)
    print(f"  {'ok ' if passed else 'NO '} {description}: {observed}", flush=True)


def call(address, port, method, path, headers=None, body=None, timeout=10):
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def node_file(folder, name, address, ports, engine=None):
    lines = [f'nodeName: "{name}"', 'zone: "a"', f'ip: "{address}"', "innerPortRange:",
             f"  - {ports['peer']}", f"  - {ports['peer'] + 1}", "platform:",
             f'  address: "127.0.1.1:{ports["store"]}"']
    if engine:
        lines += [f'app: "{engine}"', 'service: "llm"', "listenAddrs: {}"]
    else:
        lines += ["listenAddrs:", f'  front: "{address}:{ports["front"]}"', f'  ready: "{address}:{ports["ready"]}"']
    path = pathlib.Path(folder) / f"{name}.yaml"
    path.write_text("\n".join(lines) + "\n")
    return path


class Site:
    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        self.ports = {name: free_port() for name in ("store", "engine", "peer", "front", "ready", "metrics")}

    def start(self, name, *command):
        log = open(pathlib.Path(self.folder) / f"{name}.log", "w")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def start_all(self):
        ports = self.ports
        self.start("site", BUILD / "standin-site", f"--listen=127.0.1.1:{ports['store']}",
                   f"--engines={ENGINES}", f"--port={ports['engine']}")
        for number in range(1, ENGINES + 1):
            address = f"127.0.2.{number}"
            path = node_file(self.folder, f"side-{number}", address, ports, f"{address}:{ports['engine']}")
            self.start(f"side-{number}", BUILD / "sardinefold-loader", f"--node-file={path}",
                       f"--metrics-port={ports['metrics']}")
        for name, address in GATEWAYS.items():
            path = node_file(self.folder, name, address, ports)
            self.start(name, BUILD / "sardinefold-gateway", f"--node-file={path}",
                       f"--metrics-port={ports['metrics']}")
        for address in GATEWAYS.values():
            wait_until(lambda a=address: self.is_ready(a), 10, f"readiness of {address}")

    def is_ready(self, address):
        try:
            return call(address, self.ports["ready"], "GET", "/v1/ready", timeout=1)[0] == 200
        except OSError:
            return False

    def send_request(self, path, request_id, gateway="front-1", key="key-1", **fields):
        headers = {"Host": "site.example", "Request-Id": request_id, "Deadline-Ms": "5000",
                   "Authorization": f"Bearer {key}"} | fields
        return call(GATEWAYS[gateway], self.ports["front"], "POST", path, headers, "text")

    def stop(self):
        for child in self.processes.values():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        for child in self.processes.values():
            try:
                child.wait(10)
            except subprocess.TimeoutExpired:
                child.kill()


def main():
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder)
        try:
            site.start_all()
            time.sleep(1.0)
            start = time.monotonic()
            status, _, body = site.send_request("/chat/x", "d1", Model="rare", **{"Token-Count": "100,10"})
            is_complete = body.count("data: d1.") == 8
            row("a stream from a model that nobody had loaded", f"{status} after {time.monotonic() - start:.2f} s",
                status == 200 and is_complete)
            status, headers, _ = site.send_request("/order/x", "d2", gateway="front-2")
            row("an order through the other gateway", status, status == 200 and "Server-Seal" in headers)
            status, _, _ = site.send_request("/order/x", "d3", key="stolen")
            row("an unknown key", status, status == 401)
            statuses = [site.send_request("/order/x", f"d4{number}", key="key-2")[0] for number in range(8)]
            row("a workspace over its allowance", statuses, 429 in statuses)
            first = site.processes["front-1"]
            first.send_signal(signal.SIGTERM)
            status, _, _ = site.send_request("/order/x", "d5", gateway="front-2")
            row("a gateway leaves, the other serves", status, status == 200)
            first.wait(10)
            row("the leaving gateway ends by itself", first.returncode, first.returncode == 0)
        finally:
            site.stop()
    print(f"{sum(ROWS)} of {len(ROWS)} rows ok")
    return 0 if all(ROWS) else 1


if __name__ == "__main__":
    sys.exit(main())

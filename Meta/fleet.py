"""Starts and stops a small fleet on loopback for the demonstration, the speed
benchmark and the tests with real processes."""
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "Build")
SECRET = "loopback-trial-secret"
OPERATOR_TOKEN = "loopback-operator-token"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def call(port, method, path, body=None, headers=None, timeout=30):
    """Sends one request. Returns the status, the headers and the body as bytes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, seconds, description):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"{description} did not happen within {seconds} s")


def is_ready(port, path="/readyz"):
    try:
        return call(port, "GET", path, timeout=2)[0] == 200
    except OSError:
        return False


class Process:
    def __init__(self, name, command, log):
        self.name = name
        self.log = log
        self.command = command
        self.child = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    @property
    def pid(self):
        return self.child.pid

    def send(self, signal_number):
        self.child.send_signal(signal_number)

    def is_running(self):
        return self.child.poll() is None

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


class Fleet:
    """The processes of one run, by name."""

    def __init__(self, log_level="info"):
        self.processes = {}
        self.ports = {}
        self.hosts = {}
        self.log_level = log_level
        self.folder = tempfile.TemporaryDirectory(prefix="sardinefold-")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def log_path(self, name):
        return pathlib.Path(self.folder.name) / f"{name}.log"

    def start(self, name, binary, **settings):
        port = self.ports.setdefault(name, free_port())
        command = [str(BUILD / binary), f"--listen=127.0.0.1:{port}", f"--log-level={self.log_level}"]
        command += [f"--{flag.replace('_', '-')}={value}" for flag, value in settings.items()]
        log = open(self.log_path(name), "ab")
        self.processes[name] = Process(name, command, log)
        return self.processes[name]

    def restart(self, name):
        old = self.processes[name]
        self.processes[name] = Process(name, old.command, old.log)
        return self.processes[name]

    def address(self, name):
        return f"127.0.0.1:{self.ports[name]}"

    def stop(self):
        running = [p for p in self.processes.values() if p.is_running()]
        for process in running:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        end = time.monotonic() + 5
        for process in running:
            try:
                process.child.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.child.kill()
                process.child.wait()
        for process in self.processes.values():
            process.log.close()
        self.folder.cleanup()

    def start_platform(self):
        self.start("weights", "standin-weight-store")
        self.start("platform", "standin-platform")
        for name in ("weights", "platform"):
            wait_until(lambda: is_ready(self.ports[name], "/admin/faults"), 10, f"{name} ready")

    def add_host(self, host, role, domain, address, state="live"):
        self.hosts[host] = {"host": host, "role": role, "failure_domain": domain, "region": "here",
                            "address": address, "state": state}

    def publish_hosts(self):
        status, _, body = call(self.ports["platform"], "PUT", "/admin/hosts", {"hosts": list(self.hosts.values())})
        assert status in (200, 204), (status, body)

    def start_upstream(self, upstream, host, kind, domain, **settings):
        """Starts a stand-in and its agent."""
        name = f"{upstream}-upstream"
        binary = "standin-engine" if kind == "engine" else "standin-service"
        if kind == "engine":
            settings.setdefault("weight_store", self.address("weights"))
        self.start(name, binary, **settings)
        self.start_agent(upstream, host, kind, domain, self.address(name))

    def start_agent(self, upstream, host, kind, domain, upstream_address, **settings):
        self.start(upstream, "sardinefold-agent", upstream=upstream, upstream_kind=kind,
                   upstream_address=upstream_address, host=host, failure_domain=domain,
                   platform=self.address("platform"), fleet_secret=SECRET, **settings)
        self.add_host(host, "upstream", domain, self.address(upstream))

    def start_entry(self, name, domain, environment, **settings):
        self.start(name, "sardinefold-entry", host=name, failure_domain=domain, environment=environment,
                   platform=self.address("platform"), fleet_secret=SECRET, **settings)
        self.add_host(name, "entry", domain, self.address(name))

    def wait_listening(self, names, seconds=20):
        for name in names:
            wait_until(lambda: is_ready(self.ports[name], "/healthz"), seconds, f"{name} listening")

    def wait_ready(self, names, seconds=20):
        for name in names:
            wait_until(lambda: is_ready(self.ports[name]), seconds, f"{name} ready")

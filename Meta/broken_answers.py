#!/usr/bin/env python3
"""Tests real entries and an agent on loopback against a service whose answers are broken.

The service answers long orders before it has read them: without a length and with a reset,
with a status that is none, or with a malformed name in the head. A caller with each version
of HTTP, plain and over TLS, must get a refusal that says that the outcome is unknown, at once,
and again when it sends the order again, which must not run twice. Prints one line per case.
"""
import contextlib
import json
import pathlib
import socket
import ssl
import struct
import subprocess
import sys
import threading
import time

import demo
from fleet import OPERATOR_TOKEN, ROOT, wait_until
from process_faults import Trial

UPLOAD_BYTES = 4_000_000
# An order may run for seconds before its deadline.
AT_ONCE_S = 2.0
# Name of each answer, its bytes, whether it ends with a reset, and whether it is an answer.
ANSWERS = [
    ("reset", b"HTTP/1.1 200 OK\r\n\r\npart", True, False),
    ("reset without a body", b"HTTP/1.1 200 OK\r\n\r\n", True, False),
    ("part of a length", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", True, False),
    ("status 000", b"HTTP/1.1 000 No\r\nContent-Length: 4\r\n\r\nbody", False, False),
    ("blank in a name", b"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 4\r\n\r\nbody", False, False),
    ("control byte in a name", b"HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 4\r\n\r\nbody", False, False),
    ("blank before a name", b"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 4\r\n\r\nbodymore", False, False),
    ("no length, end in order", b"HTTP/1.1 200 OK\r\n\r\nwhole", False, True),
    ("length, reset", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", True, True),
]


class BrokenService:
    """Sends one answer to each request, of which it has read the beginning."""

    def __init__(self, port):
        self.listener = socket.create_server(("127.0.0.1", port))
        self.answer, self.is_reset, self.requests = b"", False, 0
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.respond, args=(connection,), daemon=True).start()

    def respond(self, connection):
        with connection, contextlib.suppress(OSError):
            if not connection.recv(4096):
                return
            self.requests += 1
            connection.sendall(self.answer)
            time.sleep(0.05)
            if self.is_reset:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                pass


class BrokenFleet(Trial):
    """The demonstration's fleet with one more entry, which speaks TLS. The service that takes
    orders is a broken one."""

    def __init__(self):
        super().__init__()
        try:
            self.start_entry_with_tls()
        except BaseException:
            self.fleet.stop()
            raise
        service = self.fleet.processes["booking-01-upstream"].child
        service.kill()
        service.wait()
        self.service = BrokenService(self.fleet.ports["booking-01-upstream"])

    def start_entry_with_tls(self):
        folder = pathlib.Path(self.fleet.folder.name)
        subprocess.run([ROOT / "Meta/certificate.sh", folder], check=True)
        self.fleet.start_entry("entry-3", "munich", "demo", operator_token=OPERATOR_TOKEN,
                               tls_certificate=folder / "certificate.pem", tls_key=folder / "key.pem")
        self.fleet.publish_hosts()
        wait_until(lambda: self.exchange("entry-3", b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")[0] == 200,
                   20, "entry-3 ready")

    def exchange(self, entry, request):
        """Returns the status and the body, or 0 if the connection does not end in order."""
        received = b""
        try:
            with socket.create_connection(("127.0.0.1", self.fleet.ports[entry]), timeout=20) as caller:
                if entry == "entry-3":
                    context = ssl.create_default_context()
                    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
                    caller = context.wrap_socket(caller, suppress_ragged_eofs=False)
                caller.sendall(request)
                while data := caller.recv(65536):
                    received += data
        except OSError:
            return 0, b""
        head, _, body = received.partition(b"\r\n\r\n")
        return int(head.split()[1]) if head else 0, body

    def order(self, entry, version, key):
        body = demo.order_body(key + "x" * UPLOAD_BYTES).encode()
        head = (f"POST /booking/orders HTTP/{version}\r\nHost: site.example\r\nContent-Type: application/json\r\n"
                f"Authorization: Bearer {demo.KEYS['curtains-demo']}\r\nIdempotency-Key: {key}\r\n"
                f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n")
        return self.exchange(entry, head.encode() + body)


def outcome(body):
    with contextlib.suppress(ValueError):
        return json.loads(body).get("error", {}).get("outcome")


def play(fleet, name, entry, version):
    """Returns what was broken, and what the caller got."""
    answer, is_reset, is_answer = next(one[1:] for one in ANSWERS if one[0] == name)
    fleet.service.answer, fleet.service.is_reset, fleet.service.requests = answer, is_reset, 0
    key = f"{name}-{entry}-{version}".replace(",", "").replace(" ", "-")
    started_at = time.monotonic()
    status, body = fleet.order(entry, version, key)
    elapsed = time.monotonic() - started_at
    again, body_again = fleet.order(entry, version, key)
    broken = []
    if is_answer and (status, body) != (200, b"whole"):
        broken.append("the answer is not the service's")
    if not is_answer and (status != 502 or outcome(body) != "unknown"):
        broken.append("not refused as unknown")
    if not is_answer and (again < 400 or outcome(body_again) != "unknown"):
        broken.append("not refused as unknown when it is sent again")
    if elapsed > AT_ONCE_S:
        broken.append("not at once")
    if fleet.service.requests != 1:
        broken.append(f"{fleet.service.requests} requests to the service")
    broken += [f"{process.name} ended with {process.child.returncode}" for process in fleet.fleet.processes.values()
               if process.name != "booking-01-upstream" and not process.is_running()]
    return broken, f"{status}, then {again}"


def main():
    failed = 0
    with BrokenFleet() as fleet:
        for name, *_ in ANSWERS:
            for entry, version in (("entry-1", "1.1"), ("entry-1", "1.0"), ("entry-3", "1.1"), ("entry-3", "1.0")):
                broken, got = play(fleet, name, entry, version)
                failed += bool(broken)
                caller = f"HTTP/{version}{' over TLS' if entry == 'entry-3' else ''}"
                print(f"{'FAILED' if broken else 'ok'} {name}, {caller}: {', '.join(broken + [got])}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

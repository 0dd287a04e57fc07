#!/usr/bin/env python3
"""Tests the real programs on loopback against requests inside the bodies of other requests.

Each address of each program gets requests whose transfer coding does not tell where their body
ends, with the text of an ordinary request as that body. The program may answer the first one
only, by a refusal, and has to close the connection. Prints one line per case.
"""
import contextlib
import socket
import sys

import hostile_callers

CODINGS = ["identity", "gzip", "chunked, gzip"]
DOORS = [(hostile_callers.Site, ("callers", "readiness", "gateway_metrics", "loader_metrics")),
         (hostile_callers.EntrySite, ("entry", "operator", "agent"))]


def inner(door):
    method, path = door.request
    return hostile_callers.head(method, path, f"Content-Length: {len(door.body or b'')}\r\n") + (door.body or b"")


def answers(door, coding):
    """Returns the statuses of all responses, and whether the connection was closed after them."""
    received, is_closed = b"", False
    with socket.create_connection(door.address, timeout=5) as caller:
        caller.sendall(hostile_callers.head("POST", door.crowd_path, f"Transfer-Encoding: {coding}\r\n") + inner(door))
        caller.settimeout(1.5)
        with contextlib.suppress(TimeoutError):
            while data := caller.recv(65536):
                received += data
            is_closed = True
    return [part.split()[0].decode() for part in received.split(b"HTTP/1.1 ")[1:]], is_closed


def main():
    failed = 0
    for site_type, names in DOORS:
        with site_type() as site:
            for name in names:
                door = getattr(site, name)()
                for coding in CODINGS:
                    statuses, is_closed = answers(door, coding)
                    is_right = statuses == ["400"] and is_closed and door.ask() == 200
                    failed += not is_right
                    print(f"{'ok' if is_right else 'FAILED'} {name}, {coding}: {' '.join(statuses)}, "
                          f"{'closed' if is_closed else 'open'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

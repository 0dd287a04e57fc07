#!/usr/bin/env python3
"""Tests the real programs on loopback under faults: killed and paused processes,
outages and connections that carry no more data.

Each case compares the outcomes that callers received with the requests that the
stand-ins executed, and does not depend on timing. Prints one line per case;
`--only NAME` runs one.
"""
import argparse
import concurrent.futures
import http.client
import json
import signal
import sys
import time
import uuid

import demo
from fleet import Fleet, call, wait_until

CASES = []


def case(function):
    CASES.append(function)
    return function


class Trial:
    """A demonstration fleet with a configuration document in force."""

    def __init__(self):
        self.fleet = Fleet()
        try:
            demo.start(self.fleet)
            self.fleet.wait_listening(["entry-1", "entry-2"])
            demo.control(self.fleet, "apply", str(demo.write_document(self.fleet)), "--wait")
            self.fleet.wait_ready(["entry-1", "entry-2"])
        except BaseException:
            self.fleet.stop()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.fleet.stop()

    def fault(self, process, **switches):
        status, _, body = call(self.fleet.ports[process], "PUT", "/admin/faults", switches)
        assert status in (200, 204), body

    def order(self, entry, key, text):
        try:
            status, _, data = demo.order(self.fleet, entry, key, text)
            return status, json.loads(data)
        except (OSError, http.client.HTTPException, json.JSONDecodeError) as error:
            return 0, {"lost": str(error)}

    def executions(self, text):
        """Returns how often the service executed an order with this text."""
        counts = demo.execution_log(self.fleet, "booking-01")["entries"]
        marker = demo.order_hash(text)
        return sum(1 for entry in counts if marker in json.dumps(entry))

    def log(self, process):
        return self.fleet.log_path(process).read_text()


def outcome(answer):
    status, body = answer
    if status == 200:
        return "ran"
    return body.get("error", {}).get("outcome", "none")


def check_served(trial, entry):
    """Fails unless a request is served before the fault."""
    status, _, text, _ = demo.chat(trial.fleet, entry, "briefing")
    check(status == 200, f"{entry} does not serve before the fault: {status} {text[-300:]}")


def in_background(function, *arguments):
    pool = concurrent.futures.ThreadPoolExecutor(1)
    return pool.submit(function, *arguments)


def check(condition, message):
    if not condition:
        raise AssertionError(message)


@case
def agent_killed_while_an_order_runs():
    with Trial() as trial:
        trial.fault("booking-01-upstream", work_ms=1500)
        key, text = uuid.uuid4().hex, uuid.uuid4().hex
        first = in_background(trial.order, "entry-1", key, text)
        wait_until(lambda: trial.executions(text) == 1, 5, "the order reaching the service")
        trial.fleet.processes["booking-01"].send(signal.SIGKILL)
        check(outcome(first.result(30)) == "unknown", f"first answer {first.result()}")
        trial.fleet.restart("booking-01")
        trial.fleet.wait_ready(["booking-01"])
        resent = trial.order("entry-2", key, text)
        check(outcome(resent) in ("unknown", "ran"), f"resend {resent}")
        check(trial.executions(text) == 1, f"{trial.executions(text)} executions")


@case
def entry_killed_while_an_order_runs():
    with Trial() as trial:
        trial.fault("booking-01-upstream", work_ms=1500)
        key, text = uuid.uuid4().hex, uuid.uuid4().hex
        first = in_background(trial.order, "entry-1", key, text)
        wait_until(lambda: trial.executions(text) == 1, 5, "the order reaching the service")
        trial.fleet.processes["entry-1"].send(signal.SIGKILL)
        check(first.result(30)[0] == 0, f"first answer {first.result()}")
        resent = trial.order("entry-2", key, text)
        check(outcome(resent) in ("ran", "unknown"), f"resend {resent}")
        check(trial.executions(text) == 1, f"{trial.executions(text)} executions")


@case
def agent_stopped_and_continued():
    with Trial() as trial:
        key, text = uuid.uuid4().hex, uuid.uuid4().hex
        trial.fleet.processes["booking-01"].send(signal.SIGSTOP)
        first = trial.order("entry-1", key, text)
        check(outcome(first) in ("not-run", "unknown"), f"first answer {first}")
        trial.fleet.processes["booking-01"].send(signal.SIGCONT)
        time.sleep(1)
        if outcome(first) == "not-run":
            check(trial.executions(text) == 0, "ran although the refusal said not-run")
        resent = trial.order("entry-2", key, text)
        check(outcome(resent) in ("ran", "unknown"), f"resend {resent}")
        check(trial.executions(text) <= 1, f"{trial.executions(text)} executions")


@case
def platform_down():
    with Trial() as trial:
        check_served(trial, "entry-1")
        trial.fault("platform", outage=True)
        time.sleep(2)
        for entry in ("entry-1", "entry-2"):
            status, _, text, _ = demo.chat(trial.fleet, entry, "briefing")
            check(status == 200 and text.rstrip().endswith("[DONE]"), f"{entry} in the outage: {status} {text[-200:]}")
        key, text = uuid.uuid4().hex, uuid.uuid4().hex
        refused = trial.order("entry-1", key, text)
        check(outcome(refused) == "not-run", f"order in the outage {refused}")
        check(trial.executions(text) == 0, "ran although the refusal said not-run")
        trial.fault("platform", outage=False)
        wait_until(lambda: outcome(trial.order("entry-2", key, text)) == "ran", 40, "the order after the outage")
        check(trial.executions(text) == 1, f"{trial.executions(text)} executions")


@case
def entry_cut_off_alone():
    with Trial() as trial:
        check_served(trial, "entry-1")
        trial.fault("platform", outage=True)
        time.sleep(5)
        check(demo.chat(trial.fleet, "entry-1", "briefing")[0] == 200, "refused in an outage that all share")
        trial.fleet.processes["entry-2"].send(signal.SIGSTOP)

        def code():
            status, _, text, _ = demo.chat(trial.fleet, "entry-1", "briefing", tokens=1)
            return json.loads(text)["error"]["code"] if status != 200 else "served"

        wait_until(lambda: code() == "keys_not_verifiable", 30, "the entry refusing keys")
        trial.fleet.processes["entry-2"].send(signal.SIGCONT)
        wait_until(lambda: code() == "served", 30, "the entry serving again")


@case
def answers_of_the_platform_lost():
    with Trial() as trial:
        for _ in range(5):
            key, text = uuid.uuid4().hex, uuid.uuid4().hex
            trial.fault("platform", lose_answers=1)
            first = trial.order("entry-1", key, text)
            expected = {"ran": (1,), "not-run": (0,), "unknown": (0, 1)}[outcome(first)]
            check(trial.executions(text) in expected, f"{first}: {trial.executions(text)} executions")
            resent = trial.order("entry-2", key, text)
            check(trial.executions(text) <= 1, f"{resent}: {trial.executions(text)} executions")


@case
def engine_dies_in_a_load():
    with Trial() as trial:
        for engine in ("assistant-01", "assistant-02"):
            trial.fault(f"{engine}-upstream", die_in_load=True)
        status, _, text, _ = demo.chat(trial.fleet, "entry-1", "care-report", timeout=60)
        error = json.loads(text).get("error", {}) if status != 200 else {}
        check(status == 200 or error.get("outcome") in ("not-run", "unknown"), f"{status} {text[-200:]}")
        crashed = [e for e in ("assistant-01", "assistant-02") if not trial.fleet.processes[f"{e}-upstream"].is_running()]
        check(crashed, "no engine died")
        for engine in crashed:
            trial.fleet.restart(f"{engine}-upstream")
        wait_until(lambda: demo.chat(trial.fleet, "entry-2", "care-report", timeout=60)[0] == 200, 90, "serving again")


@case
def connections_gone_silent():
    with Trial() as trial:
        for entry in ("entry-1", "entry-2"):
            check_served(trial, entry)
        for engine in ("assistant-01", "assistant-02"):
            trial.fault(f"{engine}-upstream", silence_connections=True)
        for entry in ("entry-1", "entry-2"):
            status, _, text, _ = demo.chat(trial.fleet, entry, "briefing", timeout=60)
            check(status == 200 and text.rstrip().endswith("[DONE]"), f"{entry}: {status} {text[-300:]}")


@case
def idle_connections_gone_silent():
    with Trial() as trial:
        for entry in ("entry-1", "entry-2"):
            check_served(trial, entry)
        time.sleep(1.5)
        for engine in ("assistant-01", "assistant-02"):
            trial.fault(f"{engine}-upstream", silence_connections=True)
        for entry in ("entry-1", "entry-2"):
            status, _, text, _ = demo.chat(trial.fleet, entry, "briefing", timeout=60)
            check(status == 200 and text.rstrip().endswith("[DONE]"), f"{entry}: {status} {text[-300:]}")


@case
def drain_cuts_no_stream():
    with Trial() as trial:
        check_served(trial, "entry-1")
        stream = in_background(demo.chat, trial.fleet, "entry-1", "briefing", "marshals-demo", 400)
        time.sleep(0.5)
        trial.fleet.processes["entry-1"].send(signal.SIGTERM)
        status, _, text, _ = stream.result(60)
        check(status == 200 and text.rstrip().endswith("[DONE]"), f"{status} {text[-200:]}")
        wait_until(lambda: not trial.fleet.processes["entry-1"].is_running(), 60, "the entry ending")
        check(demo.chat(trial.fleet, "entry-2", "briefing")[0] == 200, "other entry not serving")


@case
def upstreams_never_see_a_key():
    with Trial() as trial:
        demo.chat(trial.fleet, "entry-1", "briefing")
        trial.order("entry-2", uuid.uuid4().hex, "hello")
        for upstream in ("assistant-01", "assistant-02", "booking-01"):
            seen = json.dumps(demo.execution_log(trial.fleet, upstream))
            for secret in demo.KEYS.values():
                check(secret not in seen, f"{upstream} saw a key")
        for process in trial.fleet.processes:
            for secret in demo.KEYS.values():
                check(secret not in trial.log(process), f"{process} logged a key")


def run(function):
    start = time.monotonic()
    try:
        function()
        return function.__name__, None, time.monotonic() - start
    except Exception as error:
        return function.__name__, f"{type(error).__name__}: {error}", time.monotonic() - start


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only")
    options = parser.parse_args()
    chosen = [c for c in CASES if options.only in (None, c.__name__)]
    failed = 0
    red = 0
    known = demo.ROOT / "KNOWN-RED.txt"
    known_names = known.read_text() if known.exists() else ""
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        for name, error, seconds in pool.map(run, chosen):
            is_known = f"process_faults {name}:" in known_names
            failed += error is not None and not is_known
            red += error is not None and is_known
            state = "ok" if error is None else "known red" if is_known else "FAILED"
            print(f"{state} {name} ({seconds:.1f} s) {error or ''}", flush=True)
    print(f"process faults: {len(chosen) - failed - red} passed, {failed} failed, {red} known red")
    return 1 if failed or not chosen else 0


if __name__ == "__main__":
    sys.exit(main())

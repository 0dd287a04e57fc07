#!/usr/bin/env python3
"""Runs the demonstration: a small fleet on loopback, used by a caller and an
operator. Prints a table of results and stops all processes."""
import hashlib
import json
import pathlib
import subprocess
import sys
import time
import uuid

from fleet import BUILD, OPERATOR_TOKEN, ROOT, Fleet, call, wait_until

KEYS = {"marshals-demo": "demo-" + uuid.uuid4().hex, "curtains-demo": "demo-" + uuid.uuid4().hex}
ROWS = []


def row(description, observed, passed):
    ROWS.append((description, observed, passed))
    print(f"  {'ok ' if passed else 'NO '} {description}: {observed}", flush=True)


def chat(fleet, entry, model, key="marshals-demo", tokens=32, timeout=40, choices=1):
    body = {"model": model, "stream": True, "max_tokens": tokens, "n": choices,
            "messages": [{"role": "user", "content": f"Summarise tonight's incidents. {uuid.uuid4()}"}]}
    headers = {"Authorization": "Bearer " + KEYS[key], "Content-Type": "application/json"}
    start = time.monotonic()
    status, answer_headers, data = call(fleet.ports[entry], "POST", "/v1/chat/completions", body, headers, timeout)
    return status, answer_headers, data.decode(), time.monotonic() - start


def order_body(text):
    return json.dumps({"pickup": text})


def order_hash(text):
    """Returns the content hash of an order in the service's execution log."""
    return hashlib.sha256(order_body(text).encode()).hexdigest()


def order(fleet, entry, key, text):
    headers = {"Authorization": "Bearer " + KEYS["curtains-demo"], "Content-Type": "application/json",
               "Idempotency-Key": key}
    return call(fleet.ports[entry], "POST", "/booking/orders", order_body(text), headers)


def execution_log(fleet, upstream):
    status, _, data = call(fleet.ports[f"{upstream}-upstream"], "GET", "/admin/ran")
    assert status == 200, status
    return json.loads(data)


def control(fleet, *arguments, expect=0):
    command = [str(BUILD / "sardinefoldctl"), *arguments, f"--entry={fleet.address('entry-1')}",
               f"--operator-token={OPERATOR_TOKEN}"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    if result.returncode != expect:
        raise RuntimeError(f"{' '.join(arguments)}: status {result.returncode}\n{result.stdout}{result.stderr}")
    return result.stdout


def write_document(fleet):
    document = json.loads((ROOT / "docs/examples/demo.json").read_text())
    for key, secret in KEYS.items():
        document["keys"][key]["sha256"] = hashlib.sha256(secret.encode()).hexdigest()
    path = pathlib.Path(fleet.folder.name) / "demo.json"
    path.write_text(json.dumps(document))
    return path


def start(fleet):
    fleet.start_platform()
    fleet.start_upstream("assistant-01", "engine-1", "engine", "almaty-1", checks_fencing="true")
    fleet.start_upstream("assistant-02", "engine-2", "engine", "almaty-2")
    fleet.start_upstream("booking-01", "booking-1", "service", "munich")
    for entry, domain in (("entry-1", "almaty-1"), ("entry-2", "munich")):
        fleet.start_entry(entry, domain, "demo", operator_token=OPERATOR_TOKEN)
    fleet.publish_hosts()


def show_cold_start(fleet):
    status, _, text, seconds = chat(fleet, "entry-1", "briefing")
    is_complete = status == 200 and text.rstrip().endswith("data: [DONE]")
    row("cold model, streamed answer", f"status {status}, {text.count('data: ') - 1} events, {seconds:.2f} s", is_complete)
    status, _, text, seconds = chat(fleet, "entry-2", "briefing")
    is_complete = status == 200 and text.rstrip().endswith("data: [DONE]")
    row("same model through the other entry, now loaded", f"status {status}, {seconds:.2f} s", is_complete)


def show_refusals(fleet):
    status, _, data = call(fleet.ports["entry-1"], "POST", "/v1/chat/completions", {"model": "briefing"})
    error = json.loads(data)["error"]
    row("no key", f"status {status}, {error['code']}, {error['outcome']}", (status, error["outcome"]) == (401, "not-run"))
    status, headers, text, _ = chat(fleet, "entry-1", "briefing", tokens=8000, choices=6)
    error = json.loads(text)["error"] if status != 200 else {"code": "none", "outcome": "none"}
    passed = (status, error["code"], error["outcome"]) == (429, "allowance_exceeded", "not-run")
    row("more tokens than the workspace's burst", f"status {status}, {error['code']}, {error['outcome']}", passed)


def show_booking(fleet):
    key = "order-" + uuid.uuid4().hex
    responses = [order(fleet, entry, key, "Friday 10:00") for entry in ("entry-1", "entry-2", "entry-1")]
    is_same = len({data for _, _, data in responses}) == 1 and all(status == 200 for status, _, _ in responses)
    row("booking sent three times, through two entries", f"statuses {[s for s, _, _ in responses]}, one answer", is_same)
    status, _, data = order(fleet, "entry-2", key, "Saturday 10:00")
    code = json.loads(data)["error"]["code"]
    row("another booking under its key", f"status {status}, {code}", code == "idempotency_key_reused")


def show_withdrawn_key(fleet):
    control(fleet, "keys", "withdraw", "demo", "marshals-demo")
    start_time = time.monotonic()
    wait_until(lambda: all(chat(fleet, e, "briefing", tokens=1)[0] == 401 for e in ("entry-1", "entry-2")), 5, "withdrawal")
    row("withdrawn key refused at both entries", f"after {time.monotonic() - start_time:.2f} s", True)


def show_draining_upstream(fleet):
    fleet.hosts["engine-1"]["state"] = "leaving"
    fleet.publish_hosts()
    time.sleep(3)
    before = len(execution_log(fleet, "assistant-01")["entries"])
    statuses = [chat(fleet, e, "briefing", "curtains-demo", 4)[0] for e in ("entry-1", "entry-2") * 3]
    after = len(execution_log(fleet, "assistant-01")["entries"])
    row("leaving upstream gets no new work", f"{after - before} of {len(statuses)} requests, statuses {set(statuses)}",
        after == before and set(statuses) == {200})


def main():
    start_time = time.monotonic()
    print("sardinefold demonstration", flush=True)
    with Fleet() as fleet:
        start(fleet)
        fleet.wait_listening(["entry-1", "entry-2"])
        control(fleet, "apply", str(write_document(fleet)), "--wait")
        fleet.wait_ready(["entry-1", "entry-2"])
        row("document applied", "in force at both entries", True)
        for show in (show_cold_start, show_booking, show_draining_upstream, show_refusals, show_withdrawn_key):
            try:
                show(fleet)
            except Exception as error:  # A failed step becomes a row of the table, and the others still run.
                row(show.__name__, f"{type(error).__name__}: {error}", False)
    width = max(len(description) for description, _, _ in ROWS)
    print(f"\n{'what':{width}}  result")
    for description, observed, passed in ROWS:
        print(f"{description:{width}}  {'ok' if passed else 'FAILED'}  {observed}")
    print(f"\n{time.monotonic() - start_time:.0f} s; nothing is left running")
    return 0 if all(passed for _, _, passed in ROWS) else 1


if __name__ == "__main__":
    sys.exit(main())

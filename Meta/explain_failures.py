#!/usr/bin/env python3
"""Reproduces the failed requests of docs/OPERATIONS.md with real processes
and follows the steps of that page from a request's id to the cause, using only
logs and metrics."""
import json
import pathlib
import signal
import sys
import tempfile
import time

from demo_platform import GATEWAYS, Site, call
from fleet import ROOT

SERVICE = "127.0.3.1"
FAILED = []
# A line "explain_failures STEP: ..." excuses a failure of that step only.
KNOWN_RED = (ROOT / "KNOWN-RED.txt").read_text().splitlines()


def check(step, passed, observed):
    known = any(line.startswith(f"explain_failures {step}:") for line in KNOWN_RED)
    print(f"  {'ok ' if passed else 'red' if known else 'NO '} {step}: {observed}", flush=True)
    if not passed and not known:
        FAILED.append(step)


class Diagnostics:
    """Reads the processes' logs and metrics, as an engineer would."""

    def __init__(self, site):
        self.site = site

    def find_lines(self, process, message, **fields):
        found = []
        for line in (pathlib.Path(self.site.folder) / f"{process}.log").read_text().splitlines():
            if not line.startswith("{"):
                continue
            entry = json.loads(line)
            context = entry.get("context_map", {})
            if entry["message"] == message and fields.items() <= context.items():
                found.append(context)
        return found

    def wait_for_line(self, process, message, **fields):
        end = time.monotonic() + 5
        while time.monotonic() < end:
            if found := self.find_lines(process, message, **fields):
                return found[-1]
            time.sleep(0.1)
        return {}

    def sum_metric(self, address, prefix):
        text = call(address, self.site.ports["metrics"], "GET", "/metrics")[2]
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(prefix))


def set_faults(site, address, **faults):
    status, _, body = call(address, site.ports["engine"], "PUT", "/admin/faults", body=json.dumps(faults))
    assert status in (200, 204), body


def response_delayed_by_model_load(site, logs):
    print("a rare model answered late")
    for number in (1, 2):
        set_faults(site, f"127.0.2.{number}", load_ms=1200)
    status, _, _ = site.send_request("/chat/x", "late", Model="rare", **{"Token-Count": "100,10"})
    end = logs.wait_for_line("front-1", "request ended", request="late")
    check("its end says that it waited", status == 200 and int(end["waited_ms"]) > 600, end)
    wait = logs.wait_for_line("front-1", "request waits for its model", request="late")
    check("its wait names the model and when it was expected", wait.get("model") == "rare", wait)
    swaps = [logs.wait_for_line(f"side-{number}", "swap planned", load="rare") for number in (1, 2)]
    swap = next((found for found in swaps if found), {})
    check("the planner's swap names the loader", swap.get("loader", "").startswith("side-"), swap)
    order = logs.wait_for_line(swap["loader"], "order given", operation="load", model="rare")
    check("the loader's order was taken", order.get("status") == "202", order)
    check("the wait is counted", logs.sum_metric(GATEWAYS["front-1"], "sardinefold_gateway_model_wait_seconds_count") >= 1, "")
    loads = sum(logs.sum_metric(f"127.0.2.{number}", "sardinefold_loader_load_seconds_count") for number in (1, 2))
    check("the load is counted", loads >= 1, loads)


def interrupted_stream(site, logs):
    print("a stream broken off")
    for number in (1, 2):
        set_faults(site, f"127.0.2.{number}", break_streams=1, event_ms=30)
    try:
        site.send_request("/once/x", "broken", Model="common", **{"Token-Count": "100,10"})
    except OSError:
        pass
    except Exception as error:  # http.client raises IncompleteRead, which is no OSError.
        check("the caller sees that it is not whole", "IncompleteRead" in type(error).__name__, type(error).__name__)
    end = logs.wait_for_line("front-1", "request ended", request="broken")
    check("its end says so and names the upstream", end.get("outcome") == "stream broken off" and end.get("upstream"), end)
    attempt = logs.wait_for_line("front-1", "attempt failed", request="broken")
    check("its attempt says why", attempt.get("reason") in ("connection closed", "stream ended inside an event"), attempt)
    sent = logs.wait_for_line("front-1", "request sent", request="broken")
    check("its sending says what the choice was based on", "account_age_ms" in sent, sent)
    count = logs.sum_metric(GATEWAYS["front-1"], "sardinefold_gateway_failed_attempts_total")
    check("the attempt is counted", count >= 1, count)


def refused_within_allowance(site, logs):
    print("refused within its allowance")
    for name in ("side-1", "side-2"):
        site.processes[name].send_signal(signal.SIGSTOP)
    time.sleep(1.0)
    refused = next((number for number in range(12)
                    if site.send_request("/order/x", f"over-{number}", key="key-2")[0] == 429), None)
    for name in ("side-1", "side-2"):
        site.processes[name].send_signal(signal.SIGCONT)
    check("one of twelve is refused", refused is not None, refused)
    line = logs.wait_for_line("front-1", "allowance is used up", request=f"over-{refused}")
    check("the line says that this gateway kept to its share", float(line.get("share", 1)) < 1, line)
    check("and that its news of the others was old", int(line.get("news_age_ms", 0)) > 300, line.get("news_age_ms"))
    planner = logs.wait_for_line("front-1", "planner chosen", planner="")
    check("it had no planner", planner == {"planner": ""}, planner)
    count = logs.sum_metric(GATEWAYS["front-1"], 'sardinefold_gateway_requests_total{class="0",outcome="allowance used up"')
    check("the refusal is counted", count >= 1, count)


def refused_by_announcements(site, logs):
    print("refused because its upstream wants no requests")
    set_faults(site, SERVICE, retry_after_header="1.5", reject_requests=1)
    site.send_request("/order/x", "first")
    status, headers, _ = site.send_request("/order/x", "unwanted")
    check("the next one is refused at once", status == 503, status)
    end = logs.wait_for_line("front-1", "request ended", request="unwanted")
    check("its end says so", end.get("outcome") == "upstreams want no requests" and end.get("sends") == "0", end)
    line = logs.wait_for_line("front-1", "upstream wants no requests")
    check("a line names the upstream and the time", 1500 <= int(line.get("bound_ms", 0)) <= 1900, line)
    count = logs.sum_metric(GATEWAYS["front-1"], "sardinefold_gateway_upstream_backoffs_total")
    check("the time is counted", count == 1, count)
    time.sleep(2.0)
    site.send_request("/order/x", "trial")
    again = logs.wait_for_line("front-1", "upstream takes requests again", upstream=line.get("upstream"))
    check("a line says when it ended", again.get("reason") == "trial answered", again)
    print("refused because its upstream leaves")
    set_faults(site, SERVICE, leaving_header="1")
    site.send_request("/order/x", "last")
    time.sleep(2.2)
    status, _, _ = site.send_request("/order/x", "late-order")
    end = logs.wait_for_line("front-1", "request ended", request="late-order")
    check("its end says so", status == 503 and end.get("outcome") == "upstreams are leaving", end)
    line = logs.wait_for_line("front-1", "upstream announced that it leaves", source="response")
    check("a line names the upstream and the bound", line.get("bound_ms") == "2000", line)


def main():
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder)
        try:
            site.start_all()
            time.sleep(1.0)
            logs = Diagnostics(site)
            response_delayed_by_model_load(site, logs)
            interrupted_stream(site, logs)
            refused_within_allowance(site, logs)
            refused_by_announcements(site, logs)
        finally:
            site.stop()
    print(f"{len(FAILED)} steps failed")
    return 1 if FAILED else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Randomized soak test: real gateways and loaders run as separate processes on
loopback under injected faults, while clients check the system's guarantees.

  Meta/soak.py --seeds 1-50 --jobs 4    many seeds
  Meta/soak.py --regression             the seeds of Tests/SoakSeeds.txt
  Meta/soak.py --seeds 7 --keep DIR     one seed, keeping the logs of a failure

Everything except the timing of the processes is derived from the seed. Exits
with status 1 if a guarantee was violated.
"""
import argparse
import asyncio
import json
import pathlib
import random
import shutil
import subprocess
import sys
import tempfile
import time

from fleet import ROOT
from soak_client import Client, render_request
from soak_site import PortTaken, SoakSite

# Time within which a process must have recovered from a fault according to the
# site's documentation.
SETTLE_TIME_S = 3.0
# Longest time after its withdrawal for which a key may still be accepted.
KEY_WITHDRAWAL_S = 2.0
# Longest time after the last fault until all requests must be served again.
RECOVERY_S = 12.0
# Longest time for which an engine that was removed from the list may still get
# new requests, and the delivery time of a request on a busy machine.
DRAIN_S = 2.0
IN_FLIGHT_S = 0.3
# Longest time after its deadline until a caller must have a response.
RESPONSE_GRACE_S = 1.0
# Longest time after its last byte within which a request may still cross the
# close of its connection.
LOSS_SLACK_S = 0.2
GUEST_RATE, GUEST_BURST, GUEST_TOKENS, QUOTA_WINDOW_S = 10, 40, 10, 8
QUOTA_OVERAGE = 0.1
# Name of the request that crashes the service without models, the number of crashes
# that show it, and of further ones, after the settling time, that are allowed.
CRASH, CRASHES_TO_REFUSE, LATE_CRASHES = "crash", 3, 3
MODELS = ["common", "own1", "own2", "rare"]


class Soak:
    def __init__(self, seed, folder, gateways, engines, seconds):
        self.seed = seed
        self.random = random.Random(seed)
        self.site = SoakSite(folder, gateways, engines, self.random)
        self.seconds = seconds
        self.violations = []
        self.responses = {}
        self.withdrawn = {}
        self.status_counts = {}
        self.request_count = 0
        self.clients = []

    def record_violation(self, what, detail):
        self.violations.append(f"{time.monotonic() - self.start:.3f} s: {what}: {detail}")

    def next_id(self, kind):
        self.request_count += 1
        return f"{kind}-{self.request_count}"

    # Clients

    async def run_caller(self, kind, interval):
        """Sends requests one after another on persistent connections of its own."""
        client = Client(self.site)
        self.clients.append(client)
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * interval)
            gateway = self.random.choice(self.site.gateways)
            await self.send_request(client, kind, gateway)
        client.close()

    async def send_request(self, client, kind, gateway, key="key-1", rng=None, is_older=False, name="x"):
        request = self.next_id(kind if name == "x" else f"{kind}-{name}")
        model = (rng or self.random).choice(MODELS) if kind in ("chat", "once") else None
        deadline = 5.0 if model else 1.5
        text = render_request(kind, request, key, deadline, model, "1.0" if is_older else "1.1", name)
        started_at = time.monotonic()
        response = await client.send_request(gateway, text, deadline + RESPONSE_GRACE_S, is_older)
        elapsed = time.monotonic() - started_at
        self.status_counts[response.status] = self.status_counts.get(response.status, 0) + 1
        self.responses[request] = response
        response.during_graceful_stop = gateway.is_only_stopping(started_at - SETTLE_TIME_S)
        response.was_undisturbed = not gateway.was_disturbed(started_at - SETTLE_TIME_S)
        is_lost = response.status == 0 and not response.timed_out and elapsed > LOSS_SLACK_S
        if is_lost and (response.during_graceful_stop or response.was_undisturbed):
            self.record_violation("neither an answer nor a refusal", f"{request} at {gateway.name} after {elapsed:.2f} s")
        if response.timed_out and not gateway.was_disturbed(started_at - SETTLE_TIME_S):
            self.record_violation("no response in time", f"{request} at {gateway.name} after {elapsed:.2f} s")
        if response.status == 200 and model:
            self.check_stream(request, response)
        if response.status == 200 and not model and response.body != f"done /{kind}/{name}":
            self.record_violation("response is not the service's", f"{request}: {response.body[:60]!r}")
        return response

    def check_stream(self, request, response):
        events = [line.split(".")[-1] for line in response.body.split("\n") if line.startswith("data: ")]
        foreign = [line for line in response.body.split("\n") if line.startswith("data: ") and f" {request}." not in line]
        if foreign:
            self.record_violation("events of another request", f"{request}: {foreign[0]}")
        wanted = [str(number) for number in range(1, 9)]
        if response.is_complete and events != wanted:
            self.record_violation("a complete stream lacks or repeats events", f"{request}: {events}")
        if not response.is_complete and events != wanted[:len(events)]:
            self.record_violation("events out of order", f"{request}: {events}")

    async def use_withdrawn_keys(self):
        client = Client(self.site)
        self.clients.append(client)
        while not self.is_over:
            await asyncio.sleep(0.4)
            gateway = self.random.choice(self.site.gateways)
            for key, at in list(self.withdrawn.items())[-3:]:
                sent = time.monotonic()
                response = await self.send_request(client, "look", gateway, key)
                is_late = sent - max(at, self.site.store_disturbed_until) > KEY_WITHDRAWAL_S + SETTLE_TIME_S
                if response.status == 200 and is_late and not gateway.was_disturbed(at):
                    self.record_violation("a withdrawn key works", f"{key} at {gateway.name}, {sent - at:.2f} s later")
        client.close()

    async def exceed_allowance(self):
        client = Client(self.site)
        self.clients.append(client)
        while not self.is_over:
            await asyncio.sleep(0.12)
            await self.send_request(client, "look", self.random.choice(self.site.gateways), "key-2")
        client.close()

    async def reuse_idle_connections(self):
        """Reuses connections that were idle for up to four fifths of the limit."""
        rng = random.Random(f"idle connections of {self.seed}")
        client = Client(self.site)
        self.clients.append(client)
        while not self.is_over:
            gateway = rng.choice(self.site.gateways)
            for _ in range(rng.randint(1, 4)):
                await self.send_request(client, rng.choice(["look", "order"]), gateway)
                await asyncio.sleep(rng.uniform(0.5, 0.8) * min(self.site.idle_timeout_ms, 2000) / 1000)
        client.close()

    async def run_older_caller(self):
        """Sends requests of HTTP/1.0, whose streams end with their connections."""
        rng = random.Random(f"older callers of {self.seed}")
        client = Client(self.site)
        while not self.is_over:
            await asyncio.sleep(rng.uniform(0.05, 0.2))
            await self.send_request(client, rng.choice(["chat", "once", "order"]), rng.choice(self.site.gateways),
                                    rng=rng, is_older=True)

    async def send_crashing_requests(self):
        """Sends a request that crashes the service without models again and again, to
        gateways that have settled."""
        rng = random.Random(f"crashing requests of {self.seed}")
        client = Client(self.site)
        while not self.is_over:
            await asyncio.sleep(rng.uniform(0.05, 0.3))
            settled = [gateway for gateway in self.site.gateways
                       if not gateway.was_disturbed(time.monotonic() - SETTLE_TIME_S)]
            if settled:
                await self.send_request(client, "order", rng.choice(settled), rng=rng, name=CRASH)
        client.close()

    # Configuration changes

    async def change_configuration(self):
        idle_timeouts = random.Random(f"idle timeouts of {self.seed}")
        version = 1
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.7, 2.5))
            version += self.random.randint(1, 3)
            keys = ["key-1", f"key-v{version}"]
            timeout_ms = self.random.choice([1500, 1800])
            former = await self.site.put_configuration(version, keys, timeout_ms, idle_timeouts.choice([400, 1000, 5000]))
            if former is None:
                continue
            for key in former:
                if key not in keys:
                    self.withdrawn[key] = time.monotonic()

    # Faults

    async def inject_faults(self):
        faults = [self.site.kill_process, self.site.pause_process, self.site.stop_process, self.site.reset_links,
                  self.site.silence_links, self.site.delay_links, self.site.cut_one_way, self.site.store_outage,
                  self.site.lose_store_responses, self.site.restart_engine, self.site.interrupt_streams,
                  self.site.lose_orders, self.site.change_settings, self.site.discard_history]
        end = time.monotonic() + self.seconds
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            tasks.append(asyncio.create_task(self.random.choice(faults)()))
        await asyncio.gather(*tasks)

    async def drain_engines(self):
        # Recorded seeds depend on this text.
        rng = random.Random(f"leavings of {self.seed}")
        end = time.monotonic() + self.seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.site.refuse_gateway(rng)))
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            await self.site.unlist_engine(rng)
        await asyncio.gather(*tasks)

    async def send_signal_series(self):
        rng = random.Random(f"signals of {self.seed}")
        end = time.monotonic() + self.seconds
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            tasks.append(asyncio.create_task(self.site.send_signal_series(rng)))
        await asyncio.gather(*tasks)

    async def copy_refusals(self):
        rng = random.Random(f"copied refusals of {self.seed}")
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.3, 2.0))
            await rng.choice([self.site.replace_upstream, self.site.refuse_requests])(rng)

    # Test run

    async def run(self):
        self.is_over = False
        self.start = time.monotonic()
        await self.site.start()
        callers = [self.run_caller(kind, interval)
                   for kind, interval in [("chat", 0.15), ("chat", 0.15), ("once", 0.3), ("order", 0.1), ("look", 0.1)]]
        callers += [self.use_withdrawn_keys(), self.exceed_allowance(), self.change_configuration(),
                    self.reuse_idle_connections(), self.run_older_caller(), self.send_crashing_requests()]
        tasks = [asyncio.create_task(caller) for caller in callers]
        await asyncio.gather(self.inject_faults(), self.drain_engines(), self.send_signal_series(),
                             self.copy_refusals())
        await self.site.clear_faults()
        cleared_at = time.monotonic()
        await self.check_recovery(cleared_at)
        self.is_over = True
        await asyncio.gather(*tasks)
        await self.check_runs()
        for name, code in self.site.unexpected_exits():
            self.record_violation("a process exited unexpectedly", f"{name} with status {code}")
        await self.site.stop()

    async def check_recovery(self, cleared_at):
        client = Client(self.site)
        for gateway in self.site.gateways:
            for kind in ("order", "look", "chat", "once"):
                while True:
                    response = await self.send_request(client, kind, gateway)
                    if response.status == 200:
                        break
                    if time.monotonic() - cleared_at > RECOVERY_S:
                        self.record_violation("not served after the faults", f"{kind} at {gateway.name}: {response.status}")
                        break
                    await asyncio.sleep(0.2)
        client.close()

    async def check_runs(self):
        runs = []
        for engine, state in enumerate(await self.site.engine_states()):
            runs += state["runs"]
            self.check_drains(engine, state["runs"])
            if state["overfull"]:
                self.record_violation("an engine was ordered to load more than its capacity", state["holders"])
            if len(state["holders"]) > 1:
                self.record_violation("two hosts sent orders to one engine", state["holders"])
        times, last_runs = {}, {}
        for run in runs:
            times.setdefault(run["request"], []).append(run["at_ms"])
            last_runs[run["request"]] = max(run, last_runs.get(run["request"], run), key=lambda one: one["at_ms"])
            if run["had_key"]:
                self.record_violation("a key reached an engine", run["request"])
            if run["request"] not in self.responses:
                self.record_violation("a request was executed that no client sent", run["request"])
        for request, response in self.responses.items():
            ran = len(times.get(request, []))
            if request.startswith(("order", "once")) and ran > 1:
                self.record_violation("executed more than once", f"{request}: {ran} times")
            if response.status in (408, 429, 503) and ran > 0:
                self.record_violation("refused as not run, but executed", f"{request}: {response.status}")
            is_aborted = response.during_graceful_stop and not response.timed_out and not response.is_complete
            # An abort by the engine itself is not the gateway's.
            if is_aborted and ran > 0 and not last_runs[request]["was_broken_off"]:
                self.record_violation("a graceful stop aborted a request", f"{request}: {response.status}")
        self.check_allowance([run["at_ms"] / 1000 for run in runs if run["workspace"] == "guests"])
        self.check_crashes([run for run in runs if run["request"].startswith(f"order-{CRASH}")])

    def check_crashes(self, runs):
        runs.sort(key=lambda run: run["at_ms"])
        late = [run["request"] for run in runs[CRASHES_TO_REFUSE:]
                if run["at_ms"] > runs[CRASHES_TO_REFUSE - 1]["at_ms"] + SETTLE_TIME_S * 1000
                and self.responses[run["request"]].was_undisturbed]
        if len(late) > LATE_CRASHES:
            self.record_violation("a request that crashes its upstreams was sent on", f"{late}")

    def check_drains(self, engine, runs):
        for number, drained_at, returned_at in self.site.drains:
            if number != engine or self.site.was_store_unavailable(drained_at - SETTLE_TIME_S, drained_at + DRAIN_S):
                continue
            for run in runs:
                at = run["at_ms"] / 1000
                response = self.responses.get(run["request"])
                if drained_at + DRAIN_S + IN_FLIGHT_S < at < returned_at and response and response.was_undisturbed:
                    self.record_violation("sent to an engine after its removal", f"{run['request']}, {at - drained_at:.2f} s later")

    def check_allowance(self, times):
        # The site allows an excess of at least a third of a second's rate; one burst is allowed here.
        bound = (GUEST_RATE * QUOTA_WINDOW_S + GUEST_BURST) * (1 + QUOTA_OVERAGE) + GUEST_BURST
        times.sort()
        for first, at in enumerate(times):
            tokens = GUEST_TOKENS * sum(1 for other in times[first:] if other - at < QUOTA_WINDOW_S)
            if tokens > bound:
                self.record_violation("more tokens than allowed", f"{tokens} of {bound} in {QUOTA_WINDOW_S} s")
                return


def run_seed(seed, options):
    while True:
        try:
            return run_seed_once(seed, options)
        except PortTaken:
            print(f"seed {seed}: a port was in use; retrying with other ports", flush=True)


def run_seed_once(seed, options):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"sardinefold-soak-{seed}-"))
    rng = random.Random(seed)
    gateways = options.gateways or rng.randint(3, 6)
    engines = options.engines or rng.randint(2, 4)
    soak = Soak(seed, folder, gateways, engines, options.seconds)
    try:
        asyncio.run(soak.run())
    except PortTaken:
        shutil.rmtree(folder, ignore_errors=True)
        raise
    except Exception as error:  # An aborted run counts as a failure.
        soak.violations.append(f"the run was aborted: {type(error).__name__}: {error}")
    finally:
        soak.site.kill_all()
    print(json.dumps({"seed": seed, "gateways": gateways, "engines": engines, "requests": soak.request_count,
                      "statuses": {str(key): value for key, value in sorted(soak.status_counts.items())},
                      "faults": soak.site.fault_counts, "broken": soak.violations}), flush=True)
    if soak.violations and options.keep:
        shutil.copytree(folder, pathlib.Path(options.keep) / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    return len(soak.violations)


def parse_seeds(text):
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def regression_seeds():
    lines = (ROOT / "Tests/SoakSeeds.txt").read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--regression", action="store_true")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--gateways", type=int)
    parser.add_argument("--engines", type=int)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--keep")
    options = parser.parse_args()
    seeds = regression_seeds() if options.regression else parse_seeds(options.seeds)
    if len(seeds) == 1:
        return 1 if run_seed(seeds[0], options) else 0
    # Each seed runs in its own process, since seeds on one event loop would delay each other.
    failed_count = 0
    waiting, running = list(seeds), []
    forwarded = ["--seconds", str(options.seconds)]
    for name in ("gateways", "engines", "keep"):
        if getattr(options, name):
            forwarded += [f"--{name}", str(getattr(options, name))]
    while waiting or running:
        while waiting and len(running) < options.jobs:
            running.append(subprocess.Popen([sys.executable, __file__, "--seeds", str(waiting.pop(0)), *forwarded]))
        for child in list(running):
            if child.poll() is not None:
                running.remove(child)
                failed_count += child.returncode != 0
        time.sleep(0.1)
    print(f"{len(seeds) - failed_count} seeds passed, {failed_count} violated a guarantee")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())

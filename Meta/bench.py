#!/usr/bin/env python3
"""Runs the benchmarks and prints one JSON line per figure.

Arguments: --only NAME (a benchmark's name), --seed N, --deterministic (only
figures that do not depend on the clock). Exits with status 1 if a figure is
outside its bound and not listed in KNOWN-RED.txt.
"""
import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Benchmarks whose figures depend on the clock, mostly ratios within the same run.
CLOCK_BASED = {"decide", "speed", "capacity_cpu"}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deterministic", action="store_true")
    options = parser.parse_args()
    known = (ROOT / "KNOWN-RED.txt").read_text() if (ROOT / "KNOWN-RED.txt").exists() else ""
    commands = [[str(path)] for path in sorted((ROOT / "Build").glob("*Bench"))]
    if not options.deterministic and options.only in (None, "speed"):
        commands.append([sys.executable, str(ROOT / "Meta/speed.py")])
    failures = 0
    figure_count = 0
    def run(command):
        arguments = command + ["--seed", str(options.seed)]
        if options.only:
            arguments += ["--only", options.only]
        return subprocess.run(arguments, capture_output=True, text=True, cwd=ROOT)

    # Benchmarks that depend on the clock must not run in parallel.
    parallel_runs = 6 if options.deterministic else 1
    with concurrent.futures.ThreadPoolExecutor(parallel_runs) as pool:
        results = list(zip(commands, pool.map(run, commands)))
    for command, result in results:
        if result.returncode not in (0, 1):
            print(f"{command[-1]} ended with status {result.returncode}: {result.stderr[-500:]}", file=sys.stderr)
            failures += 1
        for line in result.stdout.splitlines():
            if not line.startswith("{"):
                continue
            figure = json.loads(line)
            if options.only and figure["bench"] != options.only:
                continue
            if options.deterministic and figure["bench"] in CLOCK_BASED:
                continue
            figure_count += 1
            name = f'{figure["bench"]} {figure["metric"]}'
            if not figure.get("ok", True):
                if name in known:
                    figure["known_red"] = True
                else:
                    failures += 1
            print(json.dumps(figure), flush=True)
    if figure_count == 0:
        print("no benchmark ran", file=sys.stderr)
        return 1
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Runs clang-tidy over the sources in parallel and caches clean results.

The cache key is a hash of the source, of all project headers that it includes
and of the configuration, so only changed sources are checked again.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "Build")
CACHE = pathlib.Path(os.environ.get("SARDINEFOLD_LINT_CACHE", pathlib.Path.home() / ".cache/sardinefold-lint"))
INCLUDE = re.compile(rb'^\s*#include "([^"]+)"', re.M)
JOBS = int(os.environ.get("LINT_JOBS", os.cpu_count() or 2))


def closure(path, seen):
    if path in seen or not path.exists():
        return
    seen.add(path)
    for name in INCLUDE.findall(path.read_bytes()):
        closure(ROOT / name.decode(), seen)


def key(path):
    files = set()
    closure(path, files)
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    for file in sorted(files):
        digest.update(str(file.relative_to(ROOT)).encode())
        digest.update(file.read_bytes())
    return digest.hexdigest()


def check(path, arguments):
    stamp = CACHE / key(path)
    if stamp.exists():
        return path, True, ""
    command = ["clang-tidy", "--quiet", str(path), "--", "-x", "c++", *arguments]
    result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    if result.returncode == 0:
        CACHE.mkdir(parents=True, exist_ok=True)
        stamp.touch()
    return path, result.returncode == 0, result.stdout


def main():
    wanted = [str((ROOT / name).resolve()) for name in sys.argv[1:]]
    commands = json.loads((BUILD / "compile_commands.json").read_text())
    jobs = []
    for entry in commands:
        path = pathlib.Path(entry["file"]).resolve()
        if ROOT not in path.parents or BUILD in path.parents or "Cxx14" in path.parts:
            continue
        if wanted and str(path) not in wanted:
            continue
        words = entry["command"].split()
        flags = [w for w in words if w.startswith(("-D", "-I"))]
        systems = [w for i, w in enumerate(words) if w == "-isystem" or (i and words[i - 1] == "-isystem")]
        jobs.append((path, flags + systems + ["-std=c++20", "-w"]))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        for path, clean, output in pool.map(lambda job: check(*job), jobs):
            if not clean:
                failed += 1
                print(output)
    print(f"lint: {len(jobs)} sources, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

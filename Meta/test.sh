#!/usr/bin/env bash
# Runs all CI steps: installs packages, checks format, structure and lint,
# builds, tests.
set -uo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0
step() {
  local name=$1
  shift
  local start=$SECONDS
  if "$@"; then
    passed=$((passed + 1))
    echo "ok: $name ($((SECONDS - start)) s)"
  else
    failed=$((failed + 1))
    echo "FAILED: $name ($((SECONDS - start)) s)"
  fi
}
step install Meta/install.sh
step format Meta/format.sh --check
step shape Meta/check-shape.sh
step 'planted breaches of the shape' Meta/check-shape-test.sh
step build Meta/build.sh
step settings Meta/settings.sh --check
step lint Meta/lint.py
step tests ctest --test-dir Build -j 8 --output-on-failure
step 'demonstration on the platform' python3 Meta/demo_platform.py
step 'failed requests explained' Meta/explain_failures.py
step 'faults with real processes' Meta/process_faults.py
step 'soak: seeds that failed once' Meta/soak.py --regression
step 'soak: a short run' Meta/soak.py --seeds 1-3 --jobs 3 --seconds 30
step 'callers outside all limits' Meta/hostile_callers.py
step 'requests inside the bodies of others' Meta/smuggled_requests.py
step 'answers without end' Meta/endless_answers.py
step 'answers that are none' Meta/broken_answers.py
step 'bounds that do not depend on the clock' Meta/bench.py --deterministic
if [ -s KNOWN-RED.txt ]; then
  echo "Known faults (not counted):"
  cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

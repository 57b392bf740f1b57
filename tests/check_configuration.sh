#!/usr/bin/env bash
# Tests the command line, the output and the exit codes of `check-configuration`.
# Usage: check_configuration.sh PROGRAM VALID_CONFIGURATION
# The configuration has version 7, no findings, and a queue "reports".
set -euo pipefail
program=$1
valid=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# Runs a check and compares its exit code; its output is in $work/out and $work/err.
expect() {
    local code=0
    "$program" check-configuration "${@:2}" >"$work/out" 2>"$work/err" || code=$?
    [ "$code" = "$1" ] || { echo "failed: exit code $code, not $1, of: ${*:2}"; cat "$work/out" "$work/err"; exit 1; }
}
expect_text() { grep -qF -- "$2" "$work/$1" || { echo "failed: no \"$2\" in:"; cat "$work/$1"; exit 1; }; }

expect 0 "$valid"
expect_text out "0 errors, 0 warnings"
expect 0 "$valid" --output json
expect_text out '"errors": 0'

# Errors give exit code 1 in both forms of output.
expect 1 "$valid" --in-force "$valid"
expect_text out "error old-version configuration: "
expect 1 "$valid" --in-force "$valid" --output json
expect_text out '"kind": "old-version"'
sed 's/"service": "render"/"service": "none"/' "$valid" >"$work/unknown_pool.json"
expect 1 "$work/unknown_pool.json"

# Warnings do not change the exit code.
sed 's/, *"weight": 5//' "$valid" >"$work/warning.json"
expect 0 "$work/warning.json"
expect_text out "warning partial-weights"

# Differences from the version in force. Keys are masked, also where a key is the last thing that a
# truncated document holds.
sed 's/"version": 7/"version": 8/; s/"maxAttempts": 3/"maxAttempts": 4/; s/atlas-5f0b62c9/replacement-key/' "$valid" >"$work/next.json"
expect 0 "$work/next.json" --in-force "$valid"
expect_text out 'changed queues "reports": maxAttempts 3 -> 4'
expect_text out "added key repl..., removed key atla..."
if grep -qE "atlas-5|replac" "$work/out"; then echo "failed: a key is printed"; exit 1; fi
sed '/atlas-5f0b62c9/,$d' "$valid" >"$work/truncated.json"
printf '{ "x": [ "atlas-5f0b62c9' >>"$work/truncated.json"
expect 1 "$work/truncated.json"
expect_text out "error unreadable configuration: "
if grep -q "atlas-5" "$work/out"; then echo "failed: a key is printed"; exit 1; fi

# What cannot be checked or compared gives exit code 2, and nothing on the standard output.
expect 2 "$valid" --in-force "$work/truncated.json"
if grep -q "atlas-5" "$work/err"; then echo "failed: a key is printed"; exit 1; fi
for arguments in "" "$work/missing.json" "$valid --in-force $work/missing.json" "$valid $valid" "$valid --output xml" "$valid --in-force" "$valid --frob"; do
    # shellcheck disable=SC2086 # Split into arguments.
    expect 2 $arguments
    [ ! -s "$work/out" ] || { echo "failed: output of a check that was not made"; cat "$work/out"; exit 1; }
    [ -s "$work/err" ] || { echo "failed: no error message for: $arguments"; exit 1; }
done
echo "ok"

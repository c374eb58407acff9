#!/usr/bin/env bash
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs `cargo build --release` and `review/build.sh`.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/rushyoke ] || { echo "target/release/rushyoke is not built" >&2; exit 2; }
[ -x target/review/review-cases ] || review/build.sh || exit 2
target/review/review-cases failed_once review/3/record.txt &
pid=$!
# If this script is ended early, so is all that it started.
trap 'kill -9 $(cat /proc/$pid/task/*/children 2>/dev/null) $pid 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/rushyoke-review-$pid"; exit 2' TERM INT HUP
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code

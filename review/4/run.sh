#!/usr/bin/env bash
# Runs this case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
rig=target/review-2/rig
if [ ! -x "$rig" ] || [ ! -x target/release/rushyoke ]; then
  echo "build first: the build line of deploy/service.toml, then review/build-2.sh"
  exit 2
fi
"$rig" restart "$here/record.txt" &
pid=$!
# If the script is ended early, the controllers end with it.
trap 'kill -KILL $(cat /proc/$pid/task/*/children 2>/dev/null) $pid 2>/dev/null; rm -rf "${TMPDIR:-/tmp}/rushyoke-review-$pid"; exit 2' INT TERM HUP
wait "$pid"

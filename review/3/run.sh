#!/usr/bin/env bash
# A configuration change adds a route under which the nodes' own readiness page lies.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 110 target/review/route_change "$folder" review/3/record.txt "${TROUBLE:-1}" path
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

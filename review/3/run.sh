#!/bin/bash
# Runs the case; review/build.sh and the build of the deploy file come before it.
here="$(cd "$(dirname "$0")" && pwd)"
export REVIEW_ROOT="$here/../.."
program="$REVIEW_ROOT/target/review/case-$(basename "$here")"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
exec timeout --signal=KILL 118 "$program" "$here"

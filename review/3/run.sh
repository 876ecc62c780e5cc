#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/almondrock ] || { echo "build first: the line of deploy/system.toml, review/build.sh"; exit 2; }
exec target/review-standin frozen-order review/3

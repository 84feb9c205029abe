#!/usr/bin/env bash
# Runs the case. It exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
program=target/review2/gone
[ -x "$program" ] && [ -x target/kumquatlink ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
exec "$program" review/more/gone/record.txt

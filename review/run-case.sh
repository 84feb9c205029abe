#!/usr/bin/env bash
# run-case.sh runs the case of the folder that is named: the run.sh of each case
# calls it.
set -u
folder="$(cd "$1" && pwd)"
root="$(cd "$folder/../.." && pwd)"
export REVIEW_ROOT="$root" REVIEW_CASE="$folder"
program="$root/target/review/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/kumquatlink" ]; then
  echo "run the build of the deploy file and review/build.sh first"
  exit 2
fi
exec "$program"

#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 and of review/more, with their stand-ins, into
# target/review2.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review2
go build -o ../target/review2/ ./6 ./7 ./8 ./9 ./10 ./more/gone

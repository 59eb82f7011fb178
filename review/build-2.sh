#!/usr/bin/env bash
# Builds the program that the scripts of the cases 6 to 10 start: the stand-ins, the clients and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness-2 ./review/harness-2

#!/usr/bin/env bash
# Builds the program that the scripts of the cases start: the stand-ins, the clients and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness

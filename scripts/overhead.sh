#!/usr/bin/env bash
# Measures the overhead that one entry VM adds to a request, compared with direct
# calls to the same stand-ins. It stops only processes that it started.
# Environment variables:
#   OVERHEAD_CORES=N    GOMAXPROCS of the entry VM (default 4)
#   OVERHEAD_WORKERS=N  number of concurrent callers (default 64)
#   OVERHEAD_OUT=DIR    directory for the files and logs (default out/overhead)
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
dir=${OVERHEAD_OUT:-out/overhead}
cores=${OVERHEAD_CORES:-4}
workers=${OVERHEAD_WORKERS:-64}
rm -rf "$dir"
mkdir -p "$dir"
"$bin/vgload" bench layout --experiments experiments/overhead --scenario overhead --dir "$dir"
# shellcheck disable=SC1091
. "$dir/env.sh"
child_signal=KILL
. scripts/children.sh
"$bin/vgstandin" fleet --file "$dir/fleet.json" --log-level warn >"$dir/standin.log" 2>&1 &
child_pids+=($!)
IFS=$'\t' read -r _ address peer zone region <"$dir/entries.tsv"
GOMAXPROCS=$cores "$bin/vanillagate" --listen "$address" --peer-listen "$peer" --zone "$zone" --region "$region" \
  --log-level warn >"$dir/entry-0.log" 2>&1 &
child_pids+=($!)
echo "$!" >"$dir/entry-0.pid"
"$bin/vgload" overhead --experiments experiments/overhead --scenario overhead --dir "$dir" --workers "$workers" 2>"$dir/load.log" ||
  { tail -n 3 "$dir/load.log" >&2; exit 1; }

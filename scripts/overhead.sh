#!/usr/bin/env bash
# Measures what one entry VM adds to a request, against direct calls of the
# same stand-ins. Ends only what it started. OVERHEAD_CORES bounds the entry
# VM's processors (GOMAXPROCS); OVERHEAD_WORKERS is how many callers send at
# once.
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
finish_signal=KILL
. scripts/children.sh
"$bin/vgstandin" fleet --file "$dir/fleet.json" --log-level warn >"$dir/standin.log" 2>&1 &
started+=($!)
IFS=$'\t' read -r _ address peer zone region <"$dir/entries.tsv"
GOMAXPROCS=$cores "$bin/vanillagate" --listen "$address" --peer-listen "$peer" --zone "$zone" --region "$region" \
  --log-level warn >"$dir/entry-0.log" 2>&1 &
started+=($!)
echo "$!" >"$dir/entry-0.pid"
"$bin/vgload" overhead --experiments experiments/overhead --scenario overhead --dir "$dir" --workers "$workers" 2>"$dir/load.log" ||
  { tail -n 3 "$dir/load.log" >&2; exit 1; }

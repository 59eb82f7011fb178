#!/usr/bin/env bash
# Runs the users' platform's form of the system on this machine: a stand-in of
# the platform and its targets, three entry VMs, a bounded load. It ends only
# what it started, and by itself.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BIN:-bin}
out=${DEMO_OUT:-out/demo-platform}
vms=3
rm -rf "$out"
mkdir -p "$out"

. scripts/children.sh

"$bin/vgstandin" edge --folder "$out" --vms "$vms" --rate "${DEMO_RATE:-60}" --duration "${DEMO_DURATION:-10s}" \
  --require-attainment 0.98 >"$out/load.txt" 2>"$out/standin.log" &
standin=$!
started+=("$standin")
for ((i = 0; i < vms; i++)); do
  until [ -s "$out/vm-$i.toml" ]; do sleep 0.05; done
  VANILLAGATE_SETTINGS="$out/vm-$i.toml" VANILLAGATE_PEER_KEYS=demo-key-between-the-processes \
    "$bin/vgedge" >"$out/vm-$i.log" 2>&1 &
  started+=("$!")
done
status=0
wait "$standin" || status=$?
started=("${started[@]:1}")
[ "$status" -eq 0 ] || cat "$out/standin.log" >&2
finish
tail -n 1 "$out/load.txt"
exit "$status"

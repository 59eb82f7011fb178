#!/usr/bin/env bash
# Demonstrates the variant of the system that is built into the users' platform,
# on this machine: a stand-in for the platform and its targets, three entry VMs
# (vgedge) and a load of limited duration. The script exits by itself and stops
# only processes that it started.
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
standin_pid=$!
child_pids+=("$standin_pid")
for ((i = 0; i < vms; i++)); do
  until [ -s "$out/vm-$i.toml" ]; do sleep 0.05; done
  VANILLAGATE_SETTINGS="$out/vm-$i.toml" VANILLAGATE_PEER_KEYS=demo-key-between-the-processes \
    "$bin/vgedge" >"$out/vm-$i.log" 2>&1 &
  child_pids+=("$!")
done
status=0
wait "$standin_pid" || status=$?
child_pids=("${child_pids[@]:1}") # the stand-in has exited
[ "$status" -eq 0 ] || cat "$out/standin.log" >&2
stop_children
tail -n 1 "$out/load.txt"
exit "$status"

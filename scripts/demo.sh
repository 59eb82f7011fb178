#!/usr/bin/env bash
# Demonstrates the whole system on this machine: stand-ins, three entry VMs, two
# stewards, a contract created with vgctl, and a load of limited duration. The
# script exits by itself and stops only processes that it started. With
# DEMO_KEEP=1 it sends no load, keeps everything running for manual use, and
# exits on Enter or a signal.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BIN:-bin}
out=${DEMO_OUT:-out/demo}
rate=${DEMO_RATE:-60}
duration=${DEMO_DURATION:-10s}
rm -rf "$out"
mkdir -p "$out"

. scripts/children.sh

# start NAME COMMAND... runs a program in the background. Its output goes to
# NAME.log in the output directory.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  child_pids+=($!)
}

# wait_until SECONDS WHAT COMMAND... waits until a command succeeds. After the
# given time it exits with an error that names WHAT it waited for.
wait_until() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "demo: timed out waiting for $what; logs are in $out" >&2
      exit 1
    fi
    sleep 0.05
  done
}

operator_key=$("$bin/vgctl" key new --output json | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p')
operator_hash=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
customer_key=$("$bin/vgctl" key new --output json | sed -n 's/.*"key": *"\([^"]*\)".*/\1/p')
customer_hash=$(printf %s "$customer_key" | sha256sum | cut -d' ' -f1)
export VANILLAGATE_PEER_KEYS=demo-$operator_hash
export VANILLAGATE_OPERATOR_KEY_HASH=$operator_hash
export VANILLAGATE_OPERATOR_KEY=$operator_key
export VANILLAGATE_OPERATOR=demo
export VANILLAGATE_ENTRIES=127.0.0.1:7501,127.0.0.1:7502,127.0.0.1:7503

start vgstandin "$bin/vgstandin" fleet --file deploy/demo.fleet.json
wait_until 10 "the stand-ins" curl -fsS http://127.0.0.1:7000/summary
index=1
for zone in a b c; do
  start "vanillagate-$zone" "$bin/vanillagate" --listen "127.0.0.1:750$index" \
    --peer-listen "127.0.0.1:760$index" --zone "$zone" --keep-entries 1s
  index=$((index + 1))
done
for index in 1 2; do
  start "vgsteward-$index" "$bin/vgsteward" --peer-listen "127.0.0.1:761$index" --zone a --region r1 \
    --table-url http://127.0.0.1:7001 --objects-url http://127.0.0.1:7002 --vm-list-url http://127.0.0.1:7003
done
for index in 1 2 3; do
  wait_until 10 "entry VM $index" curl -fsS "http://127.0.0.1:750$index/readyz"
done
"$bin/vgctl" apply -f deploy/demo.config.json
"$bin/vgctl" contract create wierzbicki --key-hash "$customer_hash" --share 2
revision=$("$bin/vgctl" --output json contract list | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' | sort -n | tail -n 1)
"$bin/vgctl" contract wait "$revision" --timeout 20s
wait_until 10 "the first answer" curl -fsS -H "Authorization: Bearer $customer_key" \
  -d '{"input":"hall for forty [ref:first]","max_tokens":4}' http://127.0.0.1:7501/v1/pipelines/quote
curl -fsS -X POST http://127.0.0.1:7000/counts/reset >/dev/null

if [ -n "${DEMO_KEEP:-}" ]; then
  cat >"$out/env.sh" <<END
export VANILLAGATE_ENTRIES=$VANILLAGATE_ENTRIES
export VANILLAGATE_OPERATOR_KEY=$operator_key
export VANILLAGATE_OPERATOR=you
export CUSTOMER_KEY=$customer_key
END
  echo "Running. To use it from another shell: . $out/env.sh    Press Enter to stop."
  # bash runs a trap only after a foreground command ends, so that a signal is
  # handled at once only while the shell waits in a builtin (read, wait).
  read -r _ || { sleep infinity & child_pids+=($!); wait $!; }
  exit 0
fi

"$bin/vgload" run --entries "$VANILLAGATE_ENTRIES" --key "$customer_key" --control 127.0.0.1:7000 \
  --rate "$rate" --duration "$duration" --require-attainment 0.99 --json "$out/load.json" >"$out/load.txt"
"$bin/vgctl" status
head -n -1 "$out/load.txt"
trap - EXIT
stop_children
tail -n 1 "$out/load.txt"

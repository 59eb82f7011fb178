#!/usr/bin/env bash
# Runs the whole path on this machine: stand-ins, three entry VMs, two
# stewards, a contract made with vgctl, a bounded load. It ends only what it
# started, and by itself. With DEMO_KEEP=1 it leaves all running and waits for
# Enter or a signal, for trying things out by hand.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BIN:-bin}
out=${DEMO_OUT:-out/demo}
rate=${DEMO_RATE:-60}
duration=${DEMO_DURATION:-10s}
rm -rf "$out"
mkdir -p "$out"

. scripts/children.sh

# start NAME COMMAND... runs a program in the background, its logs in the
# output folder.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  started+=($!)
}

# until_true SECONDS WHAT COMMAND... waits until a command succeeds.
until_true() {
  local limit=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "demo: waited in vain for $what; logs are in $out" >&2
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
until_true 10 "the stand-ins" curl -fsS http://127.0.0.1:7000/summary
place=1
for zone in a b c; do
  start "vanillagate-$zone" "$bin/vanillagate" --listen "127.0.0.1:750$place" \
    --peer-listen "127.0.0.1:760$place" --zone "$zone" --keep-entries 1s
  place=$((place + 1))
done
for place in 1 2; do
  start "vgsteward-$place" "$bin/vgsteward" --peer-listen "127.0.0.1:761$place" --zone a --region r1 \
    --table-url http://127.0.0.1:7001 --objects-url http://127.0.0.1:7002 --vm-list-url http://127.0.0.1:7003
done
for place in 1 2 3; do
  until_true 10 "entry VM $place" curl -fsS "http://127.0.0.1:750$place/readyz"
done
"$bin/vgctl" apply -f deploy/demo.config.json
"$bin/vgctl" contract create wierzbicki --key-hash "$customer_hash" --share 2
revision=$("$bin/vgctl" --output json contract list | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' | sort -n | tail -n 1)
"$bin/vgctl" contract wait "$revision" --timeout 20s
until_true 10 "a first answer" curl -fsS -H "Authorization: Bearer $customer_key" \
  -d '{"input":"hall for forty [ref:first]","max_tokens":4}' http://127.0.0.1:7501/v1/pipelines/quote
curl -fsS -X POST http://127.0.0.1:7000/counts/reset >/dev/null

if [ -n "${DEMO_KEEP:-}" ]; then
  cat >"$out/env.sh" <<END
export VANILLAGATE_ENTRIES=$VANILLAGATE_ENTRIES
export VANILLAGATE_OPERATOR_KEY=$operator_key
export VANILLAGATE_OPERATOR=you
export CUSTOMER_KEY=$customer_key
END
  echo "Running. In another shell: . $out/env.sh    Enter ends it."
  # A trap runs only once the command in the foreground ends, so that nothing
  # but a builtin may be waited for here.
  read -r _ || { sleep infinity & started+=($!); wait $!; }
  exit 0
fi

"$bin/vgload" run --entries "$VANILLAGATE_ENTRIES" --key "$customer_key" --control 127.0.0.1:7000 \
  --rate "$rate" --duration "$duration" --require-attainment 0.99 --json "$out/load.json" >"$out/load.txt"
"$bin/vgctl" status
head -n -1 "$out/load.txt"
trap - EXIT
finish
tail -n 1 "$out/load.txt"

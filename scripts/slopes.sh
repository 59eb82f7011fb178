#!/usr/bin/env bash
# Measures what docs/CAPACITY.md is worked out from: first the membership of many
# light members in one process, then nine real entry processes without callers
# as contracts, targets and changes grow. About five minutes. SLOPES_SKIP_MEMBERS=1
# leaves the first part out, SLOPES_WINDOW sets the length of each look.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
out=${SLOPES_OUT:-out/slopes}
window=${SLOPES_WINDOW:-10s}
entries=9
rm -rf "$out"
mkdir -p "$out"

if [ -z "${SLOPES_SKIP_MEMBERS:-}" ]; then
  "$bin/vgslopes" members | tee "$out/members.txt"
fi

finish_signal=KILL
. scripts/children.sh

# Ports below the kernel's own range, apart from those of the demo.
base=$((12000 + RANDOM % 2000))
at() { echo "127.0.0.1:$((base + $1))"; }

operator_key=slopes-operator-key
export VANILLAGATE_OPERATOR_KEY=$operator_key VANILLAGATE_OPERATOR=slopes
VANILLAGATE_OPERATOR_KEY_HASH=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
export VANILLAGATE_OPERATOR_KEY_HASH
export VANILLAGATE_PEER_KEYS=slopes-peer-key-0123456789

# rows TARGETS prints the true VM list: the entry VMs and so many targets.
rows() {
  local i separator=""
  printf '['
  for i in $(seq 0 $((entries - 1))); do
    printf '%s{"targets":["%s"],"labels":{"role":"entry","zone":"z%d","region":"r1","state":"live","peer_address":"%s"}}' \
      "$separator" "$(at $((10 + i)))" $((i % 3)) "$(at $((30 + i)))"
    separator=,
  done
  for i in $(seq 1 "$1"); do
    printf ',{"targets":["10.9.%d.%d:8000"],"labels":{"role":"target","pool":"llm","zone":"z%d","region":"r1","state":"live"}}' \
      $((i / 250)) $((i % 250)) $((i % 3))
  done
  printf ']'
}

cat >"$out/fleet.json" <<END
{"seed":1,"table":"$(at 1)","objects":"$(at 2)","vm_list":"$(at 3)","vm_list_lag_ms":0,"control":"$(at 0)","store_latency_ms":2,"entries":[],"pools":[]}
END
"$bin/vgstandin" platform --file "$out/fleet.json" --log-level warn >"$out/standin.log" 2>&1 &
started+=($!)
until curl -fsS "http://$(at 0)/vms" >/dev/null 2>&1; do sleep 0.05; done
set_targets() { rows "$1" | curl -fsS -X PUT --data-binary @- "http://$(at 0)/vms" >/dev/null; }
set_targets 30

pids=()
addresses=()
for i in $(seq 0 $((entries - 1))); do
  "$bin/vanillagate" --listen "$(at $((10 + i)))" --peer-listen "$(at $((30 + i)))" --zone "z$((i % 3))" \
    --table-url "http://$(at 1)" --objects-url "http://$(at 2)" --vm-list-url "http://$(at 3)" \
    --log-level warn >"$out/entry-$i.log" 2>&1 &
  started+=($!)
  pids+=($!)
  addresses+=("$(at $((10 + i)))")
done
for a in "${addresses[@]}"; do
  until curl -fsS "http://$a/readyz" >/dev/null 2>&1; do sleep 0.05; done
done
VANILLAGATE_ENTRIES=$(IFS=,; echo "${addresses[*]}")
export VANILLAGATE_ENTRIES

# look PER SIZE prints a point once what was changed has settled.
look() {
  sleep 3
  "$bin/vgslopes" sample --pid "$(IFS=,; echo "${pids[*]}")" --entries "$VANILLAGATE_ENTRIES" \
    --window "$window" --label "role=entry per=$1 size=$2" | tee -a "$out/points.txt"
}

# contracts FROM TO has so many contracts accepted.
contracts() {
  local i separator=""
  {
    printf '{"contracts":['
    for i in $(seq "$1" "$2"); do
      printf '%s{"customer":"team-%d","key_hashes":["%064x"],"requests_per_second":100,"in_flight":50}' "$separator" "$i" "$i"
      separator=,
    done
    printf ']}'
  } >"$out/contracts.json"
  "$bin/vgctl" apply -f "$out/contracts.json" >/dev/null
}

look targets 30
set_targets 300
look targets 300
set_targets 1200
look targets 1200
set_targets 30

contracts 1 24
look contracts 24
contracts 25 240
look contracts 240
contracts 241 720
look contracts 720

# change_contract REVISION prints the revision of the change that it had accepted.
change_contract() {
  curl -fsS -X PUT -H "Authorization: Bearer $operator_key" -H "X-Operator: slopes" -H "If-Match: $1" \
    -d "{\"customer\":\"team-1\",\"key_hashes\":[\"$(printf %064x 1)\"],\"requests_per_second\":100,\"share\":$(($1 % 9 + 1))}" \
    "http://${addresses[0]}/v1/admin/contracts/team-1" | sed 's/.*"revision":\([0-9]*\).*/\1/'
}

look changes 0
revision=$("$bin/vgctl" --output json contract get team-1 | sed -n 's/.*"revision": *\([0-9]*\).*/\1/p' | tail -n 1)
for rate in 1 4; do
  rm -f "$out/stop"
  (
    last=$revision
    while [ ! -e "$out/stop" ]; do
      last=$(change_contract "$last")
      echo "$last" >"$out/revision"
      sleep "$(awk "BEGIN{print 1/$rate-0.03}")"
    done
  ) &
  changer=$!
  sleep 1
  from=$(cat "$out/revision")
  begin=$(date +%s.%N)
  look changes "$rate"
  awk "BEGIN{printf \"changes asked=$rate accepted_a_second=%.2f\n\", ($(cat "$out/revision")-$from)/($(date +%s.%N)-$begin)}"
  touch "$out/stop"
  wait "$changer"
  revision=$(cat "$out/revision")
done

echo "messages and bytes sent by one entry VM so far, by kind:"
curl -fsS "http://${addresses[0]}/metrics" | grep '^vanillagate_peer_.*_sent' || true
echo "calls of the table so far, by all $entries entry VMs:"
curl -fsS "http://$(at 0)/table/stats"
echo
"$bin/vgslopes" fit <"$out/points.txt"

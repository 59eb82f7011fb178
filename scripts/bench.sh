#!/usr/bin/env bash
# Runs the experiments. For each scenario, policy and seed (a step) it starts
# new stand-ins and entry VMs on free ports, generates the load with vgload, and
# stops the processes again. It stops only processes that it started.
# Environment variables:
#   BENCH_QUICK=1          run the short variant, which takes at most 50 s
#   BENCH_POLICIES=p,...   run only these policies
#   BENCH_SCENARIOS=s,...  run only these scenarios
#   BENCH_SEEDS=1,2,...    use these seeds instead of those in the files
#   BENCH_JOBS=N           number of steps of one policy to run at a time (default 4)
#   BENCH_OUT=DIR          directory for results, logs and the report
#                          (default out/bench)
#   BENCH_EXPERIMENTS=DIR  directory of the experiments' files (default experiments)
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BIN:-bin}
out=${BENCH_OUT:-out/bench}
experiments=${BENCH_EXPERIMENTS:-experiments}
quick=()
jobs=${BENCH_JOBS:-4}
if [ -n "${BENCH_QUICK:-}" ]; then
  quick=(--quick)
fi
entries_ttl=1s       # how long callers may cache the list of entry addresses
restart_seconds=0.3  # simulated time to replace an entry VM that exited
stop_seconds=5       # time that a process gets to exit after SIGTERM

# supervise_entry DIR INDEX ADDRESS PEER ZONE REGION POLICY runs an entry VM and
# restarts it whenever it exits, until the supervisor itself gets SIGTERM. It
# must be started with "&".
supervise_entry() {
  local file="$1/entry-$2.pid" log="$1/entry-$2.log" address=$3 peer=$4 zone=$5 region=$6 policy=$7
  # SIGTERM comes at the end of the step, when the entry VM has no requests left
  # to finish, so that it can be killed at once.
  trap 'kill -KILL "$!" 2>/dev/null; rm -f "$file"; exit 0' TERM
  while true; do
    "$bin/vanillagate" --listen "$address" --peer-listen "$peer" --zone "$zone" --region "$region" \
      --policy "$policy" --keep-entries "$entries_ttl" --log-level warn >>"$log" 2>&1 &
    echo "$!" >"$file.new"
    mv "$file.new" "$file"
    { wait "$!" || true; } 2>/dev/null
    rm -f "$file"
    sleep "$restart_seconds"
  done
}

# stop_pid PID stops a process that this script started: with SIGTERM, and with
# SIGKILL if it is still running after stop_seconds. SIGCONT comes first, because a
# stopped process doesn't act on SIGTERM.
stop_pid() {
  local pid=$1 waited=0
  kill -CONT "$pid" 2>/dev/null || return 0
  kill -TERM "$pid" 2>/dev/null || return 0
  while kill -0 "$pid" 2>/dev/null; do
    sleep 0.05
    waited=$((waited + 1))
    if [ "$waited" -ge $((stop_seconds * 20)) ]; then
      kill -KILL "$pid" 2>/dev/null || true
      return 0
    fi
  done
}

# run_step SCENARIO POLICY SEED runs one step. It must be started with "&",
# because it exits the shell that it runs in.
run_step() {
  scenario=$1 policy=$2 seed=$3
  name="$scenario-$policy-$seed"
  dir="$out/run/$name"
  mkdir -p "$dir"
  "$bin/vgload" bench layout --experiments "$experiments" --scenario "$scenario" --seed "$seed" --dir "$dir"
  # shellcheck disable=SC1091
  . "$dir/env.sh"
  "$bin/vgstandin" fleet --file "$dir/fleet.json" --log-level warn >"$dir/standin.log" 2>&1 &
  standin_pid=$!
  supervisors=()
  load_pid=""
  cleanup() {
    trap - EXIT
    [ -z "$load_pid" ] || kill -KILL "$load_pid" 2>/dev/null || true
    for pid in ${supervisors[@]+"${supervisors[@]}"}; do
      kill -TERM "$pid" 2>/dev/null || true
    done
    stop_pid "$standin_pid"
    { wait; } 2>/dev/null || true
  }
  trap cleanup EXIT
  trap 'exit 130' INT TERM
  while IFS=$'\t' read -r index address peer zone region; do
    supervise_entry "$dir" "$index" "$address" "$peer" "$zone" "$region" "$policy" &
    supervisors+=($!)
  done <"$dir/entries.tsv"
  "$bin/vgload" bench step --experiments "$experiments" ${quick[@]+"${quick[@]}"} --scenario "$scenario" \
    --policy "$policy" --seed "$seed" --dir "$dir" --out "$out/results/$name.json" --csv "$dir/requests.csv" 2>"$dir/load.log" &
  load_pid=$!
  # bash runs a trap only after a foreground command ends. With the command in
  # the background and "wait", a signal is handled at once.
  wait "$load_pid" ||
    { echo "step $name failed:" >&2; tail -n 3 "$dir/load.log" >&2; exit 1; }
  echo "$name $(tail -n 1 "$dir/load.log")" >&2
  exit 0
}

rm -rf "$out/run" "$out/results"
mkdir -p "$out/run" "$out/results"
"$bin/vgload" bench steps --experiments "$experiments" ${quick[@]+"${quick[@]}"} \
  --policies "${BENCH_POLICIES:-}" --scenarios "${BENCH_SCENARIOS:-}" --seeds "${BENCH_SEEDS:-}" >"$out/steps.tsv"

failed=0
batch=()
batch_policy=""
# wait_batch waits for the steps that are running and counts the failed ones.
wait_batch() {
  local pid
  for pid in ${batch[@]+"${batch[@]}"}; do
    wait "$pid" || failed=$((failed + 1))
  done
  batch=()
}
# interrupted passes a signal on to the steps in the background, which don't get
# it themselves.
interrupted() {
  trap - INT TERM
  for pid in ${batch[@]+"${batch[@]}"}; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  { wait; } 2>/dev/null || true
  exit 130
}
trap interrupted INT TERM
while IFS=$'\t' read -r scenario policy seed; do
  if [ "${#batch[@]}" -ge "$jobs" ] || [ "$policy" != "$batch_policy" ]; then
    wait_batch
  fi
  batch_policy=$policy
  run_step "$scenario" "$policy" "$seed" </dev/null &
  batch+=($!)
done <"$out/steps.tsv"
wait_batch

"$bin/vgload" report --results "$out/results" --out "$out"
echo "report: $out/report.html, failed steps: $failed" >&2
[ "$failed" -eq 0 ]

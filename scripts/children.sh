# Sourced by scripts that run programs in the background. When the script exits,
# for whatever reason, the processes in child_pids are stopped, and only these.
# child_signal is the signal that stops them; it is TERM unless set before.
child_pids=()
stop_children() {
  trap - EXIT INT TERM
  for pid in ${child_pids[@]+"${child_pids[@]}"}; do
    kill "-${child_signal:-TERM}" "$pid" 2>/dev/null || true
  done
  { wait; } 2>/dev/null || true
}
trap stop_children EXIT
trap 'exit 130' INT TERM

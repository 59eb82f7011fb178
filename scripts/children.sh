# Sourced by scripts that run programs in the background: they end what they
# started, by its id, however they end themselves. started holds the ids;
# finish_signal is how they are ended, TERM unless set before.
started=()
finish() {
  trap - EXIT INT TERM
  for pid in ${started[@]+"${started[@]}"}; do
    kill "-${finish_signal:-TERM}" "$pid" 2>/dev/null || true
  done
  { wait; } 2>/dev/null || true
}
trap finish EXIT
trap 'exit 130' INT TERM

#!/usr/bin/env bash
# Runs the stand-ins, every side and both entries as separate processes until SIGINT or SIGTERM.
set -euo pipefail
cd "$(dirname "$0")"
wisteriapick=(node ../../packages/cli/bin/wisteriapick.js)
pids=()

stop() {
  trap - INT TERM
  # Entries first, so that every open request still finds its side.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" || true
  done
  exit 0
}
trap stop INT TERM

"${wisteriapick[@]}" standins standins.yaml &
pids+=($!)
sleep 1
for side in sides/*.yaml; do
  "${wisteriapick[@]}" side "$side" &
  pids+=($!)
done
for entry in entry_*.yaml; do
  "${wisteriapick[@]}" entry "$entry" &
  pids+=($!)
done
wait

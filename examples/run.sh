#!/usr/bin/env bash
# Runs a deployment (kente_lane or kitakaze): its stand-ins, every side and both entries as separate processes,
# until SIGINT or SIGTERM.
set -euo pipefail
cd "$(dirname "$0")/${1:?usage: run.sh kente_lane|kitakaze}"
wisteriapick=(node ../../packages/cli/bin/wisteriapick.js)
entries=()
sides=()

end() {
  kill -TERM "$@" 2>/dev/null || true
  wait "$@" || true
}

stop() {
  trap - INT TERM
  # Entries first, so that every open request still finds its side.
  end "${entries[@]}"
  end "${sides[@]}"
  end "$standins"
  exit 0
}

"${wisteriapick[@]}" standins standins.yaml &
standins=$!
trap stop INT TERM
sleep 1
for side in sides/*.yaml; do
  "${wisteriapick[@]}" side "$side" &
  sides+=($!)
done
for entry in entry_*.yaml; do
  "${wisteriapick[@]}" entry "$entry" &
  entries+=($!)
done
wait

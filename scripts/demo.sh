#!/usr/bin/env bash
# Demonstrates the system on one machine with nodes, stand-ins and a load generator.
# Every part is a process that this script starts, and ends on exit.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PYTHON="$1"
OUT=out/demo
rm -rf "$OUT"
mkdir -p "$OUT"
declare -A PID

start() { # NAME ARGUMENTS...: runs dragonflycove in the background
  local name="$1"
  shift
  "$PYTHON" -m dragonflycove "$@" >"$OUT/$name.out" 2>"$OUT/$name.log" &
  PID[$name]=$!
}
end_all() {
  for name in "${!PID[@]}"; do kill -TERM "${PID[$name]}" 2>/dev/null || true; done
  sleep 0.5
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null || true; done
}
trap end_all EXIT
call() { "$PYTHON" scripts/standin_call.py "$@" >/dev/null; }
wait_for() { # URL: waits up to 100 attempts for a successful response
  for _ in $(seq 100); do
    if "$PYTHON" scripts/standin_call.py GET "$1" >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "no response from $1" >&2
  exit 1
}
put_host() { # NUMBER ZONE STATE: writes the host to the host list
  call PUT "http://127.0.0.1:18402/v1/hosts/entry-$1" \
    "{\"zone\":\"$2\",\"address\":\"127.0.0.1:1841$1\",\"peer_address\":\"127.0.0.1:1845$1\",\"state\":\"$3\"}"
}
log_step() { echo "[$(printf '%3d' "$SECONDS") s] $*"; }

log_step "starting the stand-ins: log service, host list, weight store, 6 engines, 2 plain services"
start log standin --kind log --settings demo/log.json
start hosts standin --kind hosts --settings demo/hosts.json
start weights standin --kind weights --settings demo/weights.json
for i in 1 2 3 4 5 6; do start "engine-$i" standin --kind engine --settings "demo/engine-$i.json"; done
for i in 1 2; do start "plain-$i" standin --kind plain --settings "demo/plain-$i.json"; done
wait_for http://127.0.0.1:18402/v1/hosts
wait_for "http://127.0.0.1:18401/v1/streams/configuration/records?from=0&limit=1&wait=0"
put_host 1 cayambe live
put_host 2 latacunga live
put_host 3 cayambe live

log_step "publishing the configuration"
"$PYTHON" -m dragonflycove config publish --log 127.0.0.1:18401 demo/configuration.json

log_step "starting three nodes in two availability zones"
for i in 1 2 3; do start "node-$i" node --settings "demo/node-$i.json"; done
for i in 1 2 3; do wait_for "http://127.0.0.1:1841$i/readyz"; done

log_step "starting a mixed load: prompts of 1,000 to 1,000,000 tokens, stock lookups and postings"
"$PYTHON" -m dragonflycove load --nodes 127.0.0.1:18411,127.0.0.1:18412,127.0.0.1:18413 \
  --seconds 36 --rate 6 --long 4 --seed 7 --out "$OUT/load.json" \
  --organisations andrade,quito-shops,cuenca-shops,audit >"$OUT/load.out" 2>"$OUT/load.log" &
LOAD=$!
log_step "all engines are cold, and no node has a share of them yet: the first responses take about 14 s"
PID[load]=$LOAD
sleep 12
log_step "taking availability zone latacunga out of service"
"$PYTHON" -m dragonflycove zone out --log 127.0.0.1:18401 latacunga
sleep 8
log_step "bringing availability zone latacunga back into service"
"$PYTHON" -m dragonflycove zone back --log 127.0.0.1:18401 latacunga
sleep 3
log_step "stopping node entry-2 with SIGTERM"
put_host 2 latacunga leaving
kill -TERM "${PID[node-2]}"
sleep 3
log_step "killing node entry-3 and starting a replacement node on host entry-4"
kill -KILL "${PID[node-3]}"
call DELETE http://127.0.0.1:18402/v1/hosts/entry-3
put_host 4 latacunga live
start node-4 node --settings demo/node-4.json
wait "$LOAD"
call DELETE http://127.0.0.1:18402/v1/hosts/entry-2
log_step "the load has finished"
cat "$OUT/load.out"
"$PYTHON" -m dragonflycove status --node 127.0.0.1:18411 || true
"$PYTHON" -m dragonflycove measure verdict --load "$OUT/load.json" \
  --nodes 127.0.0.1:18411,127.0.0.1:18414 \
  --engines 127.0.0.1:18421,127.0.0.1:18422,127.0.0.1:18423,127.0.0.1:18424,127.0.0.1:18425,127.0.0.1:18426 \
  --plain 127.0.0.1:18441,127.0.0.1:18442
log_step "done"

#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback: 3 controllers, 3 gateways,
# 4 stand-in engines, 1 plain service and 1 weight store. Sends one request of each
# kind, prints the answers and what to type next, and stops everything gracefully on
# Ctrl-C.
#
#   BASE_PORT  first of the ports that are used (7100)
#   RUN        folder for keys, settings, data and logs (run)
#   ONCE       if set, stop after the requests
set -euo pipefail
cd "$(dirname "$0")/.."
base=${BASE_PORT:-7100}
run=${RUN:-$PWD/run}
bin=$PWD/bin
names=()
pids=()

port() { echo "127.0.0.1:$((base + $1))"; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
start() { # name command...
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  names+=("$name")
  pids+=($!)
}
stop_some() { # pattern
  local i
  for i in "${!names[@]}"; do
    [[ ${names[$i]} == $1 ]] && kill -TERM "${pids[$i]}" 2>/dev/null || true
  done
  for i in "${!names[@]}"; do
    [[ ${names[$i]} == $1 ]] && wait "${pids[$i]}" 2>/dev/null || true
  done
}
stop() {
  trap - EXIT INT TERM
  echo "stopping: gateways, backend servers, controllers"
  stop_some 'entry-*'
  stop_some '[eos]*-[0-9]*'
  stop_some 'store'
  stop_some 'control-*'
  echo "stopped"
}
ready() { # address path name
  local try
  for try in $(seq 1 300); do
    curl -sf -o /dev/null --max-time 1 "http://$1$2" && return 0
    sleep 0.1
  done
  echo "$3 is not ready; see $run/$3.log" >&2
  exit 1
}

rm -rf "$run"
mkdir -p "$run"
cluster=$(head -c 16 /dev/urandom | sha256sum | cut -c1-32)
operator=$(head -c 16 /dev/urandom | sha256sum | cut -c1-32)
backend=$(head -c 16 /dev/urandom | sha256sum | cut -c1-32)
customer=$(head -c 16 /dev/urandom | sha256sum | cut -c1-32)
umask 077
echo "$cluster" >"$run/cluster.key"
echo "$operator" >"$run/operator.key"
echo "$backend" >"$run/backend.key"
echo "$customer" >"$run/customer.key"
echo "local $(digest "$operator")" >"$run/operators"
echo "backends $(digest "$backend")" >"$run/backends"

trap stop EXIT
trap 'exit 130' INT TERM

zones=(sala-norte sala-centro sala-sur)
controllers="$(port 1),$(port 2),$(port 3)"
gateways="$(port 11),$(port 12),$(port 13)"
for i in 1 2 3; do
  cat >"$run/control-$i.ini" <<INI
[Instance]
Name   = control-$i
Zone   = ${zones[$((i - 1))]}
Listen = $(port "$i")

[Data]
Folder = $run/control-$i

[Members]
Names     = control-1, control-2, control-3
Addresses = $controllers

[Keys]
ClusterFile  = $run/cluster.key
OperatorFile = $run/operators

[Engines]
WeightsURL     = http://$(port 41)/weights/
LoadsPerSecond = 10
LoadsAtOnce    = 3
INI
  cat >"$run/entry-$i.ini" <<INI
[Instance]
Name   = entry-$i
Zone   = ${zones[$((i - 1))]}
Listen = $(port $((10 + i)))

[Controllers]
Addresses = $controllers

[Keys]
ClusterFile  = $run/cluster.key
BackendFile  = $run/backends
OperatorFile = $run/operators

[Requests]
StopDelay = ${STOP_DELAY:-500ms}
INI
done
cat >"$run/volantes.ini" <<INI
[Contract]
Customer       = volantes
Version        = 0
RequestsAtOnce = 64
QueueLength    = 200
Deadline       = 30s
KeepKeys       = 24h

[Class counter]
Priority = 10

[Class night]
Priority = 1

[Adapter proof]
BaseModel = base
Versions  = 1, 2
Class     = counter

[Service orders]
Class                = counter
NonIdempotentMethods = POST
KeyFrom              = Field:order

[Key local]
Digest = $(digest "$customer")
INI

"$bin/controller" init "$run/control-1.ini"
for i in 1 2 3; do start "control-$i" "$bin/controller" run "$run/control-$i.ini"; done
start store "$bin/standin" store --listen "$(port 41)" --per-second 10
for i in 1 2 3; do start "entry-$i" "$bin/gateway" run "$run/entry-$i.ini"; done
for i in 1 2 3 4; do
  start "engine-$i" "$bin/standin" engine --name "engine-$i" --zone "${zones[$((i % 3))]}" \
    --listen "$(port $((20 + i)))" --gateways "$gateways" --key-file "$run/backend.key" --leave "${LEAVE:-2s}"
done
start orders-1 "$bin/standin" service --name orders-1 --zone sala-centro --service orders \
  --listen "$(port 31)" --gateways "$gateways" --key-file "$run/backend.key" --leave "${LEAVE:-2s}"
for i in 1 2 3; do ready "$(port "$i")" /readyz "control-$i"; done
for i in 1 2 3; do ready "$(port $((10 + i)))" /readyz "entry-$i"; done

export BRONZELEAD_CONTROLLERS=$controllers BRONZELEAD_KEY_FILE=$run/operator.key
"$bin/bronzectl" contract apply --wait "$run/volantes.ini"
for try in $(seq 1 100); do
  "$bin/bronzectl" backend list >"$run/backends.txt"
  [ "$(grep -c Working "$run/backends.txt")" -ge 5 ] && break
  sleep 0.1
done
sleep 0.6 # one renewal, after which all gateways know the backend servers

entry="http://$(port 11)"
bearer="Authorization: Bearer $customer"
json="Content-Type: application/json"
request() { # title command...
  echo
  echo "-- $1"
  shift
  "$@"
  echo
}
request "models that the customer may call" curl -sS -H "$bearer" "$entry/v1/models"
request "a completion" curl -sS -H "$bearer" -H "$json" "$entry/v1/completions" \
  -d '{"model":"proof@1","prompt":"Bread, two loaves","max_tokens":4}'
request "a streamed chat" curl -sS -N -H "$bearer" -H "$json" "$entry/v1/chat/completions" \
  -d '{"model":"proof@2","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"Sunday handout"}]}'
request "an order, which runs at most once" curl -sS -H "$bearer" -H "$json" "$entry/services/orders/new" \
  -d '{"order":"A-17","leaflets":2000}'
request "the same order again, at another gateway" curl -sS -H "$bearer" -H "$json" \
  "http://$(port 12)/services/orders/new" -d '{"order":"A-17","leaflets":2000}'
request "a model that the contract does not name" curl -sS -H "$bearer" -H "$json" "$entry/v1/completions" \
  -d '{"model":"proof@9","prompt":"x"}'
request "status" "$bin/bronzectl" status

if [ -n "${ONCE:-}" ]; then exit 0; fi
cat <<TXT

The system runs. In another shell, in this folder:

  export BRONZELEAD_CONTROLLERS=$controllers BRONZELEAD_KEY_FILE=$run/operator.key
  bin/bronzectl status
  bin/bronzectl contract get volantes
  curl -H "Authorization: Bearer \$(cat $run/customer.key)" -H "$json" \\
    $entry/v1/completions -d '{"model":"proof@1","prompt":"hello"}'

Logs and settings are in $run. Ctrl-C stops everything gracefully.
TXT
wait

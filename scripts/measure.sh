#!/usr/bin/env bash
# Measures one gateway on loopback: added time, requests per core, memory of streams,
# time from start to ready. Needs `make build`. Writes to standard output.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
run=$(mktemp -d)
base=${BASE_PORT:-7600}
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$run"' EXIT
port() { echo "127.0.0.1:$((base + $1))"; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
for k in cluster operator backend customer; do echo "$k-key" >"$run/$k.key"; done
echo "measure $(digest operator-key)" >"$run/operators"
echo "all $(digest backend-key)" >"$run/backends"
cat >"$run/control.ini" <<INI
[Instance]
Name = control-1
Zone = here
Listen = $(port 1)
[Data]
Folder = $run/data
[Members]
Names = control-1
Addresses = $(port 1)
[Keys]
ClusterFile = $run/cluster.key
OperatorFile = $run/operators
[Engines]
WeightsURL = http://$(port 41)/weights/
INI
cat >"$run/entry.ini" <<INI
[Instance]
Name = entry-1
Zone = here
Listen = $(port 11)
[Controllers]
Addresses = $(port 1)
[Keys]
ClusterFile = $run/cluster.key
BackendFile = $run/backends
OperatorFile = $run/operators
INI
cat >"$run/contract.ini" <<INI
[Contract]
Customer = bench
Version = 0
RequestsAtOnce = 100000
QueueLength = 1000
Deadline = 10m
KeepKeys = 1h
[Adapter a]
BaseModel = base
Versions = 1
[Key k]
Digest = $(digest customer-key)
INI
"$bin/controller" init "$run/control.ini" >/dev/null
"$bin/controller" run "$run/control.ini" 2>"$run/control.log" & pids+=($!)
controller=$!
"$bin/standin" store --listen "$(port 41)" 2>/dev/null & pids+=($!)
"$bin/standin" engine --name engine-1 --zone here --listen "$(port 21)" --gateways "$(port 11)" \
  --key-file "$run/backend.key" --step "${STEP:-200us}" --batch 20000 2>"$run/engine.log" & pids+=($!)
until curl -sf -o /dev/null "http://$(port 1)/readyz"; do sleep 0.02; done
started=$(date +%s%N)
GOMAXPROCS=${CORES:-8} "$bin/gateway" run "$run/entry.ini" 2>"$run/entry.log" & pids+=($!)
gateway=$!
until curl -sf -o /dev/null "http://$(port 11)/readyz"; do sleep 0.005; done
echo "start to ready: $((($(date +%s%N) - started) / 1000000)) ms"
"$bin/bronzectl" -c "$(port 1)" -k "$run/operator.key" contract apply --wait "$run/contract.ini"
until curl -sf -o /dev/null -H "Authorization: Bearer customer-key" "http://$(port 11)/v1/completions" \
  -d '{"model":"a@1","prompt":"x","max_tokens":1}'; do sleep 0.1; done
case ${1:-all} in
  added | all) "$bin/bench" added --direct "$(port 21)" --gateway "$(port 11)" --key-file "$run/customer.key" --model a@1 --seconds "${SECONDS_EACH:-10}" ;;&
  tokens | all) "$bin/bench" added --stream --tokens 50 --rate 50 --direct "$(port 21)" --gateway "$(port 11)" --key-file "$run/customer.key" --model a@1 --seconds "${SECONDS_EACH:-10}" ;;&
  most | all) "$bin/bench" most --gateway "$(port 11)" --key-file "$run/customer.key" --model a@1 --pid "$gateway" --callers "${CALLERS:-128}" --seconds "${SECONDS_EACH:-10}" ;;&
  streams) "$bin/bench" streams --gateway "$(port 11)" --key-file "$run/customer.key" --model a@1 --pid "$gateway" --count "${COUNT:-9000}" ;;&
  sessions) "$bin/bench" sessions --controller "$(port 1)" --key-file "$run/cluster.key" --pid "$controller" \
    --count "${COUNT:-150}" --seconds "${SECONDS_EACH:-10}" ${BUSY:+--busy} ${CLAIMS:+--claims "$CLAIMS"} ;;&
  idle)
    used() { awk '{print $14 + $15}' "/proc/$1/stat"; }
    g=$(used "$gateway") c=$(used "$controller")
    sleep 10
    echo "idle for 10 s: gateway $(($(used "$gateway") - g)) and controller $(($(used "$controller") - c)) hundredths of a core second;" \
      "resident: $(grep VmRSS "/proc/$gateway/status" | tr -s '\t ' ' '), $(grep VmRSS "/proc/$controller/status" | tr -s '\t ' ' ')" ;;
esac

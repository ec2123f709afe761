#!/usr/bin/env bash
# Starts a local system on loopback, puts examples/contract.yaml in force and serves requests
# against the stand-in endpoints. The system runs until this script ends (Ctrl-C).
#
#   scripts/local.sh [--members N] [--entries N] [--engines N] [--once] [--memory]
#
# --once   ends after the requests were served.
# --memory prints the resident memory of each process before the end.
set -euo pipefail
cd "$(dirname "$0")/.."

members=1 entries=2 engines=2 once=no memory=no
while [ $# -gt 0 ]; do
    case $1 in
        --members) members=$2; shift 2 ;;
        --entries) entries=$2; shift 2 ;;
        --engines) engines=$2; shift 2 ;;
        --once) once=yes; shift ;;
        --memory) memory=yes; shift ;;
        *) echo "unknown argument: $1" >&2; exit 2 ;;
    esac
done

cargo build --release --locked --quiet --bins
bin=target/release
work=$(mktemp -d)
pids=() names=()
stop() {
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap stop EXIT
trap 'exit 0' INT TERM

# start NAME BINARY: runs the binary on the settings file NAME.yaml.
start() {
    "$bin/$2" --settings "$work/$1.yaml" >"$work/$1.log" 2>&1 &
    pids+=($!) names+=("$1")
}

# await URL: waits until the URL answers without an error.
await() {
    for _ in $(seq 300); do
        curl --silent --fail --output /dev/null "${@:2}" "$1" && return
        sleep 0.1
    done
    echo "no answer from $1; logs:" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

operator_digest=$(printf %s demo-operator | sha256sum | cut -d' ' -f1)
control_port=17000 caller_port=17100
control_list= member_list=
for i in $(seq "$members"); do
    control_list+="${control_list:+, }127.0.0.1:$((control_port + 2 * i))"
    member_list+="${member_list:+, }{ name: control-$i, address: 127.0.0.1:$((control_port + 2 * i)) }"
done
for i in $(seq "$members"); do
    mkdir "$work/data-$i"
    cat >"$work/control-$i.yaml" <<SETTINGS
name: control-$i
region: local
data_centre: dc-$((1 + i % 3))
listen: 127.0.0.1:$((control_port + 2 * i))
metrics: 127.0.0.1:$((control_port + 2 * i + 1))
data: $work/data-$i
members: [$member_list]
operator_digests: [$operator_digest]
SETTINGS
    start "control-$i" wasabi-controld
done

entry_list=
for i in $(seq "$entries"); do
    port=$((caller_port + 3 * i))
    entry_list+="${entry_list:+, }127.0.0.1:$port"
    cat >"$work/entry-$i.yaml" <<SETTINGS
name: entry-$i
region: local
data_centre: dc-$((1 + i % 3))
listen:
  callers: 127.0.0.1:$port
  peers: 127.0.0.1:$((port + 1))
  metrics: 127.0.0.1:$((port + 2))
control: [$control_list]
SETTINGS
    start "entry-$i" wasabi-entryd
done

for i in $(seq "$engines"); do
    cat >"$work/engine-$i.yaml" <<SETTINGS
name: engine-$i
kind: model
backend: clerk
entries: [$entry_list]
first_token_ms: 50
between_tokens_ms: 10
SETTINGS
    start "engine-$i" wasabi-standin
done
cat >"$work/dispatch-1.yaml" <<SETTINGS
name: dispatch-1
kind: service
backend: dispatch
entries: [$entry_list]
SETTINGS
start dispatch-1 wasabi-standin

echo "started ${#pids[@]} processes; logs and settings are in $work"
printf %s demo-operator >"$work/credential"
operate() { "$bin/wasabi" --control "${control_list//, /,}" --credential-file "$work/credential" "$@"; }
for _ in $(seq 300); do
    joined=$(operate entries 2>/dev/null | grep -c '^entry-' || true)
    [ "$joined" -ge "$entries" ] && break
    sleep 0.1
done
operate contract apply examples/contract.yaml

entry=127.0.0.1:$((caller_port + 3))
authorization="Authorization: Bearer demo-caller"
await "http://$entry/v1/entries" -H "$authorization"
echo "entries for this caller:"
curl --silent -H "$authorization" "http://$entry/v1/entries"
echo
chat='{"model":"clerk","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Is coal in stock?"}]}'
await "http://$entry/v1/chat/completions" -H "$authorization" -d "$chat"
echo "a streamed answer:"
curl --silent --no-buffer -H "$authorization" -d "$chat" "http://$entry/v1/chat/completions"
echo "an order, sent twice with one key:"
created=$(date +%s%3N)
for _ in 1 2; do
    curl --silent --show-error -H "$authorization" -H "Idempotency-Key: order-$created" \
        -H "Idempotency-Key-Created: $created" -d '{"tonnes":5}' "http://$entry/services/dispatch/orders"
    echo
done

if [ "$memory" = yes ]; then
    echo "resident memory, KiB:"
    for i in "${!pids[@]}"; do
        printf '%s %s\n' "${names[$i]}" "$(awk '/VmRSS/ {print $2}' "/proc/${pids[$i]}/status")"
    done
fi
if [ "$once" = no ]; then
    echo "the system runs until Ctrl-C; the metrics of entry-1 are at http://127.0.0.1:$((caller_port + 5))/metrics"
    wait
fi

#!/usr/bin/env bash
# Benchmarks daemons on loopback. With one daemon: throughput, latency and processor time of requests
# through it, against requests sent to the fake upstream directly in the same run. With three
# daemons: idle cost, repeatable requests, and at-most-once requests, whose keys are claimed in the
# log. Usage: bench/daemon_bench.sh [BUILD_FOLDER]
set -euo pipefail
build=${1:-build}
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
metric() { curl -s "http://127.0.0.1:$1/metrics" | awk -v m="eelgrassloft_$2" '$1 == m {print $2}'; }
wait_ready() { for _ in $(seq 100); do curl -sf "http://127.0.0.1:$1/readyz" >/dev/null && return 0; sleep 0.1; done; echo "not ready" >&2; exit 1; }
hz=$(getconf CLK_TCK)
port=23000
hosts_json() {
    for i in $(seq "$1"); do
        printf '{ "id": %d, "name": "h%d", "dataCentre": "dc-1", "region": "r", "address": "127.0.0.1", "peerPort": %d, "httpPort": %d, "disk": %s }' "$i" "$i" $((port + i)) $((port + 10 + i)) "$2"
        [ "$i" = "$1" ] || printf ','
    done
}
start_system() { # hosts disk
    pids=()
    for i in $(seq "$1"); do
        folder=$([ "$2" = true ] && echo "\"dataFolder\": \"$work/data-$port-$i\"," || true)
        echo "{ \"cluster\": \"bench\", \"self\": $i, \"logLevel\": \"error\", $folder \"hosts\": [ $(hosts_json "$1" "$2") ] }" >"$work/$i.json"
        "$build/eelgrassd" --settings "$work/$i.json" --form >>"$work/$i.log" 2>&1 & pids+=($!)
    done
    "$build/examples/fake_upstream" --host "127.0.0.1:$((port + 11))" --listen "127.0.0.1:$((port + 20))" --slots 64 --connections 512 --service-ms 0 >/dev/null 2>&1 & pids+=($!)
    for i in $(seq "$1"); do wait_ready $((port + 10 + i)); done
    sleep 2
}
stop_system() {
    for pid in "${pids[@]}"; do kill -9 "$pid"; done
    wait "${pids[@]}" 2>/dev/null || true
    port=$((port + 30))
}
load() { "$build/bench/load_tool" "$@"; }

start_system 1 false
echo "== one host"
for connections in 1 8 32; do
    echo "direct,   $connections connections: $(load --direct --target "127.0.0.1:$((port + 20))" --connections $connections --requests 20000)"
    before=$(ticks "${pids[0]}")
    echo "eelgrass, $connections connections: $(load --target "127.0.0.1:$((port + 11))" --connections $connections --requests 20000)"
    echo "processor time of the daemon: $((($(ticks "${pids[0]}") - before) * 1000000 / hz / 20000)) us a request"
done
echo "resident: $(resident "${pids[0]}") KiB"
before=$(ticks "${pids[0]}")
echo "at most once, 8 connections: $(load --once --target "127.0.0.1:$((port + 11))" --connections 8 --requests 20000)"
echo "processor time of the daemon: $((($(ticks "${pids[0]}") - before) * 1000000 / hz / 20000)) us a request; resident: $(resident "${pids[0]}") KiB with 20000 records"
stop_system

for disk in false true; do
    start_system 3 $disk
    echo "== three hosts, disk: $disk"
    before=(); bytes=()
    for i in 1 2 3; do before+=("$(ticks "${pids[i - 1]}")"); bytes+=("$(metric $((port + 10 + i)) peer_bytes_sent_total)"); done
    sleep 5
    for i in 1 2 3; do
        echo "idle host $i: $((($(ticks "${pids[i - 1]}") - before[i - 1]) * 100000 / hz / 5)) thousandths of a percent of a core, $(((${bytes[i - 1]%.*} * -1 + $(metric $((port + 10 + i)) peer_bytes_sent_total)) / 5)) bytes a second sent, resident $(resident "${pids[i - 1]}") KiB"
    done
    for i in 1 2 3; do echo "repeatable, host $i: $(load --target "127.0.0.1:$((port + 10 + i))" --connections 8 --requests 5000)"; done
    for i in 1 2 3; do echo "at most once, host $i: $(load --once --target "127.0.0.1:$((port + 10 + i))" --connections 8 --requests 5000)"; done
    stop_system
done

#!/usr/bin/env bash
# Runs three real daemons on loopback: applies a manifest and sends requests while leaders are
# killed with SIGKILL or stopped with SIGSTOP.
# Usage: daemons.sh BUILD_FOLDER
set -euo pipefail
build=$1
work=$(mktemp -d)
declare -A pids
passed=0
cleanup() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ "${result:-1}" = 0 ]; then rm -rf "$work"; else echo "logs: $work"; tail -n 40 "$work"/host-*.log; fi
}
trap cleanup EXIT
fail() { echo "failed: $*" >&2; result=1; exit 1; }
pass() { passed=$((passed + 1)); echo "ok: $*"; }

# Finds a block of free ports below the ephemeral range.
port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
base=21000
while true; do
    all_free=1
    for offset in 1 2 3 11 12 13; do port_is_free $((base + offset)) || all_free=0; done
    [ $all_free = 1 ] && break
    base=$((base + 50))
    [ $base -lt 30000 ] || fail "no free ports"
done

for i in 1 2 3; do
    # Host 1 has a disk.
    disk=$([ $i = 1 ] && echo "\"dataFolder\": \"$work/data-1\"," || true)
    cat >"$work/host-$i.json" <<JSON
{
    "cluster": "test", "self": $i, $disk
    "hosts": [
        { "id": 1, "name": "h1", "dataCentre": "dc-1", "region": "r", "address": "127.0.0.1", "peerPort": $((base + 1)), "httpPort": $((base + 11)), "disk": true },
        { "id": 2, "name": "h2", "dataCentre": "dc-1", "region": "r", "address": "127.0.0.1", "peerPort": $((base + 2)), "httpPort": $((base + 12)) },
        { "id": 3, "name": "h3", "dataCentre": "dc-1", "region": "r", "address": "127.0.0.1", "peerPort": $((base + 3)), "httpPort": $((base + 13)) }
    ]
}
JSON
done
start_host() {
    "$build/eelgrassd" --settings "$work/host-$1.json" "${@:2}" >>"$work/host-$1.log" 2>&1 &
    pids[host-$1]=$!
}
start() {
    local key=$1
    shift
    "$@" >>"$work/$key.log" 2>&1 &
    pids[$key]=$!
}
address() { echo "127.0.0.1:$((base + 10 + $1))"; }
ctl() { "$build/eelgrassctl" --host "$(address "$1")" "${@:2}"; }
# Repeats a command until it succeeds. The limit of 600 tries, 30 s of pauses, only ends a test that
# would wait for ever.
until_true() {
    local what=$1
    shift
    for _ in $(seq 600); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.05
    done
    fail "$what"
}
# True if the host is a voter of both logs: a follower or a leader, not a learner.
votes() { [ "$(ctl "$1" status | grep -cE 'role: (follower|leader)')" = 2 ]; }
leader_seen_by() { ctl "$1" status | grep -A 8 '^  dataCentre:' | grep 'leader:' | head -1 | tr -dc 0-9; }
has_leader() { [ -n "$(leader_seen_by "$1")" ] && curl -sf "http://$(address "$1")/readyz"; }
has_other_leader() { has_leader "$1" && [ "$(leader_seen_by "$1")" != "$2" ]; }
finished() { [ "$(ctl "$1" explain "$2" | grep -c ' finished \|finished  ')" = "$3" ]; }
running() { [ "$(ctl "$1" explain "$2" | grep -c 'running  ')" = "$3" ]; }
has_revision() { ctl "$1" status | grep -q "^revision: $2\$"; }
others() { for i in 1 2 3; do [ "$i" = "$1" ] || echo "$i"; done; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }

start_host 1 --form
start_host 2 --form
start_host 3 --form
for i in 1 2 3; do until_true "host $i finds no leader" has_leader $i; done
pass "three hosts formed their logs"

hosts=(--host "$(address 1)" --host "$(address 2)" --host "$(address 3)")
start upstream "$build/examples/fake_upstream" "${hosts[@]}" --service orders --journal "$work/orders.journal"
for i in 1 2; do start "worker-$i" "$build/examples/fake_worker" --name "w$i" --rack "r$i" "${hosts[@]}" --journal "$work/tasks.journal"; done

send() { curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Idempotency-Key: $2" -d "order $2" "http://$(address "$1")/v1/services/orders/requests"; }
is_answered() { [ "$(send "$1" "$2")" = 200 ]; }
until_true "no order is answered" is_answered 1 first
for i in 1 2 3; do is_answered $i first || fail "a resend to host $i was not answered"; done
[ "$(grep -c '^first$' "$work/orders.journal")" = 1 ] || fail "an order ran twice"
pass "an order ran once, and every host answered its resends"

cat >"$work/sheet.json" <<'JSON'
{
    "jobs": [
        { "name": "service", "kind": "service", "team": "t", "tasks": 2, "size": { "processors": 1, "memoryMiB": 64 }, "command": "serve" },
        { "name": "batch", "kind": "batch", "team": "t", "tasks": 6, "size": { "processors": 1, "memoryMiB": 64 }, "command": "sleep 4000" },
        { "name": "together", "kind": "all-at-once", "team": "t", "tasks": 3, "size": { "processors": 1, "memoryMiB": 64 }, "command": "sleep 4000" }
    ]
}
JSON
ctl 2 apply "$work/sheet.json" --operation-id sheet-1 | grep -q accepted || fail "the manifest was not accepted"
until_true "the batch does not run" running "$(leader_seen_by 1)" batch 6

leader=$(leader_seen_by 1)
survivors=($(others "$leader"))
killed_at=$(now_ms)
kill -9 "${pids[host-$leader]}"
wait "${pids[host-$leader]}" 2>/dev/null || true
until_true "no new leader" has_other_leader "${survivors[0]}" "$leader"
echo "new leader after $(($(now_ms) - killed_at)) ms"
until_true "the accepted manifest was lost" has_revision "${survivors[0]}" 1
resend_is_known() { ctl "$1" apply "$work/sheet.json" --operation-id sheet-1 | grep -q repeated; }
until_true "a resent operation was not recognized" resend_is_known "${survivors[1]}"
until_true "the record of the order was lost" is_answered "${survivors[1]}" first
pass "kill -9 of the leader lost no accepted change"

until_true "the batch does not finish" finished "${survivors[0]}" batch 6
until_true "the all-at-once job does not finish" finished "${survivors[0]}" together 3
until_true "the service does not run" running "${survivors[0]}" service 2
[ "$(grep -c '^started job=batch' "$work/tasks.journal")" = 6 ] || fail "a batch task ran twice"
[ "$(grep -c '^started job=together' "$work/tasks.journal")" = 3 ] || fail "an all-at-once task ran twice"
[ "$(grep -c '^started job=service' "$work/tasks.journal")" = 2 ] || fail "a service task ran twice"
pass "every task ran once through the loss of the leader"

start_host "$leader"
until_true "the restarted host does not vote again" votes "$leader"
second=$(leader_seen_by "${survivors[0]}")
rest=($(others "$second"))
kill -9 "${pids[host-$second]}"
wait "${pids[host-$second]}" 2>/dev/null || true
until_true "no leader after the second loss" has_other_leader "${rest[0]}" "$second"
until_true "the accepted manifest was lost with the second leader" has_revision "${rest[0]}" 1
until_true "the record of the order was lost with the second leader" is_answered "${rest[1]}" first
[ "$(grep -c '^first$' "$work/orders.journal")" = 1 ] || fail "the order ran again"
pass "loss of a second leader right after the first rejoined lost no accepted change"

start_host "$second"
until_true "the second host does not vote again" votes "$second"
paused=$(leader_seen_by "${rest[0]}")
awake=($(others "$paused"))
kill -STOP "${pids[host-$paused]}"
until_true "no leader while one host is stopped" has_other_leader "${awake[0]}" "$paused"
until_true "no order is answered while one host is stopped" is_answered "${awake[0]}" second
kill -CONT "${pids[host-$paused]}"
until_true "the resumed host does not answer" is_answered "$paused" second
[ "$(grep -c '^second$' "$work/orders.journal")" = 1 ] || fail "an order ran twice while a host was stopped"
pass "after a stop longer than its lease, a former leader repeated no order"

printf 'garbage that is not a handshake at all' | (exec 3<>"/dev/tcp/127.0.0.1/$((base + 1))"; cat >&3; cat <&3 >/dev/null) || true
rejected() { curl -s "http://$(address 1)/metrics" | grep -q '^eelgrassloft_peers_rejected [1-9]'; }
until_true "a peer that sends garbage is not counted" rejected
until_true "a peer that sends garbage disturbed others" is_answered 1 second
pass "a peer that sends garbage is disconnected and counted"

status_of() { curl -s -m 10 -o /dev/null -w '%{http_code}' "$@"; }
[ "$(status_of -d x "http://$(address 1)/v1/services/none/requests")" = 404 ] || fail "unknown service"
[ "$(head -c 1100000 /dev/zero | status_of --data-binary @- "http://$(address 1)/v1/services/orders/requests")" = 413 ] || fail "large body"
[ "$(status_of -H "X: $(head -c 9000 /dev/zero | tr '\0' x)" -d x "http://$(address 1)/v1/services/orders/requests")" = 431 ] || fail "large header"
[ "$(status_of -H 'Request-Timeout-Ms: soon' -d x "http://$(address 1)/v1/services/orders/requests")" = 400 ] || fail "bad timeout"
[ "$(status_of -H 'Idempotency-Key: first' -d 'another body' "http://$(address 1)/v1/services/orders/requests")" = 422 ] || fail "reused key"
[ "$(status_of -d '{' "http://$(address 1)/v1/upstreams")" = 400 ] || fail "malformed announcement"
refusals=$(curl -s "http://$(address 1)/metrics" | grep -cE '^eelgrassloft_refusals_total\{reason="(unknown-service|body-too-large|header-too-large|malformed|key-reused)"\} [1-9]')
[ "$refusals" = 5 ] || fail "refusals are not counted by their reasons"
pass "each kind of invalid input gets its error status and is counted"

nested() { head -c 100000 /dev/zero | tr '\0' '['; head -c 100000 /dev/zero | tr '\0' ']'; }
for path in upstreams workers/w1/report sheet jobs/cancel; do
    url="http://$(address 1)/v1/$path"
    [ "$(printf '\xff\xfe' | status_of --data-binary @- "$url")" = 400 ] || fail "unreadable bytes to $path"
    [ "$(printf '{"[":1}' | status_of --data-binary @- "$url")" = 400 ] || fail "a field named like a position to $path"
    [ "$(nested | status_of --data-binary @- "$url")" = 400 ] || fail "deep nesting to $path"
    [ "$(printf '{"name":%s}' "$(nested)" | status_of --data-binary @- "$url")" = 400 ] || fail "a deeply nested field to $path"
done
for port in 0 65536 4294967376 -1 1.5 99999999999999999999 1e400; do
    [ "$(status_of -d "{\"name\":\"odd\",\"service\":\"orders\",\"address\":\"127.0.0.1\",\"port\":$port,\"slots\":1}" "http://$(address 1)/v1/upstreams")" = 400 ] || fail "port $port"
done
for i in 1 2 3; do is_answered $i first || fail "odd input to host 1 disturbed host $i"; done
pass "odd entries get 400, end no process and leave the others in force"

kill -TERM "${pids[host-3]}"
code=0
wait "${pids[host-3]}" || code=$?
[ $code = 0 ] || fail "a drained host ended with $code"
grep -q 'event=draining' "$work/host-3.log" || fail "the drain is not logged"
pass "SIGTERM drains a host"

result=0
echo "$passed passed, 0 failed"

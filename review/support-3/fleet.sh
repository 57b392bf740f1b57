# Starts a small deployment on loopback addresses: three control hosts, one entry host, executors. Sourced by run.sh.
# Each run has addresses of its own, so that runs side by side don't meet.

root=$(cd "$here/../.." && pwd)
standin=$root/target/review-3-standin
program=target/eelgrassloft-platform # As the deploy file names it; it starts in the root of the repository.
record=$here/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
linkPort=21710 frontPort=21711 readyPort=21712 controlPort=21713 metricsPort=21714 workerPort=21715
entry=$net.10
front=$entry:$frontPort
controls=("$net.1" "$net.2" "$net.3")
host=desk.example
maxHoldMs=${maxHoldMs:-6000}
declare -A pids=()

finish() {
    set +m
    local name
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    cp "$work"/*.log "${KEEP_LOGS:-/nonexistent}/" 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
exec 2>/dev/null # The shell reports each process that is killed.

note() { echo "$("$standin" now) $*" >>"$record"; }
cannotRun() { note "cannot run: $*"; echo "cannot run: $*"; exit 2; }

settings() { # ROLE ADDRESS: what deploy/settings.template makes of the platform's fields
    local seeds="\"${controls[0]}:$controlPort\", \"${controls[1]}:$controlPort\", \"${controls[2]}:$controlPort\""
    cat <<JSON
{ "address": "$2", "dataCentre": "zone-1", "region": "region-1", "seeds": [$seeds], "mayForm": ${bootstrap:-true},
  "toleratedLosses": 1, "linkPort": $linkPort, "metricsListen": "$2:$metricsPort", "stopGraceS": 6,
  "maxLeaseMs": $maxHoldMs, "gangTimeoutMs": 3000, "remoteFactor": 2, "memoryMiB": 256, "maxDescriptors": 4096,
JSON
    if [ "$1" = control ]; then
        echo "  \"dataFolder\": \"$work/disk-$2\", \"controlListen\": \"$2:$controlPort\" }"
    else
        echo "  \"dataFolder\": null, \"callersListen\": \"$2:$frontPort\", \"readyListen\": \"$2:$readyPort\" }"
    fi
}

startHost() { # ROLE ADDRESS
    settings "$1" "$2" >"$work/$2.json"
    (cd "$root" && EELGRASSLOFT_BOOT=$work/$2.json exec $program "$1" >>"$work/$2.log" 2>&1) & pids[$2]=$!
    note "$1 $2 started"
}

startWorker() { # NUMBER CPU MEM: the executor of this number, at its address
    "$standin" worker "i-worker-$1" "$net.$((100 + $1)):$workerPort" desk "$2" "$3" "$maxHoldMs" "$record" \
        "${controls[0]}:$controlPort" "${controls[1]}:$controlPort" "${controls[2]}:$controlPort" 2>>"$work/workers.log" & pids[worker-$1]=$!
}

crash() { # NAME: kills a process of ours without warning
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null
    unset "pids[$1]"
    note "$1 killed"
}

call() { "$standin" call "$1" "$front" "$host" "$2" "${3:-}"; } # METHOD PATH [BODY]

route() { # NAME PREFIX PRIORITY
    echo "{\"name\":\"$1\",\"host\":\"$host\",\"pathPrefix\":\"$2\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1200,\"priority\":$3,\"service\":\"desk\",\"maxAttempts\":4,\"stretchFactor\":4.0}"
}

configuration() { # VERSION
    echo "{\"version\":$1,\"routes\":[$(route standing /standing/ 0),$(route batch /batch/ 2)],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
}

startSystem() {
    : >"$record"
    [ -x "$root/$program" ] && [ -x "$standin" ] || cannotRun "build the deploy file and review/build-3.sh first"
    local address
    for address in "${controls[@]}"; do startHost control "$address"; done
    startHost entry "$entry"
    local i
    for i in $(seq 100); do
        "$standin" call PUT "${controls[$((i % 3))]}:$controlPort" control /eelgrassloft/config "$(configuration 1)" >/dev/null && break
        sleep 0.1
    done
    for i in $(seq 100); do
        call GET /standing/ >/dev/null && { note "the system takes calls"; return; }
        sleep 0.1
    done
    cannotRun "the system took no call within 10 s"
}

handIn() { # PATH BODY
    local answer i
    for i in 1 2 3 4 5; do
        answer=$(call POST "$1" "$2") && { note "client POST $1 answer=${answer%% *}"; return; }
        sleep 0.5
    done
    cannotRun "$1 was not accepted"
}

state() { call GET "$1" | sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'; }

workerOf() { # TASK-PREFIX: number of the executor that runs the task now; empty if none does
    awk -v t="$1" '$3 == "start" && index($4, t) == 1 { on[$2] = 1 } $3 == "ended" && index($4, t) == 1 { delete on[$2] }
        $3 == "killed" { delete on["i-" $2] } END { for (w in on) { sub("i-worker-", "", w); print w; exit } }' "$record"
}

waitForWorkerOf() { # TASK-PREFIX SECONDS: sets `on`
    local i
    for i in $(seq $(($2 * 10))); do
        on=$(workerOf "$1")
        [ -n "$on" ] && return 0
        sleep 0.1
    done
    return 1
}

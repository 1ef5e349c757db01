#!/usr/bin/env bash
# The path on the users' platform, on loopback with real processes: the stand-in of its store of rows, three nodes
# in two zones that find each other there, a server beside each. A change of the configuration comes into force, a
# server drains, a node is killed, the store comes back from an older copy. Prints what happened and stops all it
# started. Wants a release build.
set -euo pipefail
cd "$(dirname "$0")/.."
port="${DEMO_PORT:-27000}"
port=$((port + 50))
. ./Meta/processes.sh
store="127.0.0.1:$port"

callers() { address $((10 * $1 + 1)); }
control() { address $((10 * $1 + 6)); }

write_settings() {
    cat > "$work/node-$1.toml" <<SETTINGS
[node]
id = "node-$1"
region = "lima"
zone = "zone-$((1 + $1 / 2))"
site = "platform"
threads = 1
[listen]
callers = "$(callers "$1")"
peers = "$(address $((10 * $1 + 2)))"
gossip = "$(address $((10 * $1 + 3)))"
control = "$(address $((10 * $1 + 4)))"
admin = "$(address $((10 * $1 + 5)))"
announcements = "$(control "$1")"
probe = "$(address $((10 * $1 + 7)))"
[platform]
kind = "rows"
address = "$store"
upstream = "$(address $((10 * $1 + 8)))"
upstream_service = "booking"
[requests]
maximum_timeout_ms = 1
admission = "targets"
zone_kilobyte_ms = 5
[drain]
linger_ms = "3s"
maximum_ms = "5200ms"
SETTINGS
}

configure() {
    curl -sf -X POST "http://$store/emulator/configuration" -d '{"version":'"$1"',
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"15s"},
        "listeners":[{"host":"demo.example","ruleSet":[{"name":"r","kind":"'"$3"'","targetLatency":"200ms",
            "priority":1,"match":{"prefix":"'"$2"'"},
            "action":{"service":"booking","timeout":"1s","maxAttempts":2}}]}],
        "clusters":[{"name":"booking","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}]}'
}

sees_three() { curl -sf "http://$(address $((10 * $1 + 5)))/metrics" | grep -q '^sagecrank_members_alive 3$'; }
ask() { curl -sf -o /dev/null -H 'Host: demo.example' -H 'Attempt-Id: a1' -H 'Deadline-Ms: 1000' "http://$1$2"; }

say "the store of rows at $store; the operator's first configuration sends /one/ to booking"
start store "$bin/sagecrank-rows-emulator" --listen "$store"
wait_for "the store" configure 1 /one/ safe

say "three nodes in two zones, and a server of booking beside each"
for node in 1 2 3; do
    write_settings "$node"
    start "node-$node" "$bin/sagecrank-node" --settings "$work/node-$node.toml"
    start "server-$node" "$bin/sagecrank-upstream-emulator" --listen "$(address $((10 * node + 8)))" \
        --cluster booking --node-admin "$(control "$node")" --instance "i-$node" --slots 4
done
for node in 1 2 3; do
    wait_for "an answer through node $node" ask "$(callers "$node")" /one/
    wait_for "node $node to see all three" sees_three "$node"
done
curl -si -H 'Host: demo.example' -H 'Attempt-Id: a2' -H 'Deadline-Ms: 1000' "http://$(callers 3)/one/" | show

order() { curl -sf -X POST "http://$store/emulator/$1" -d "$2" > /dev/null; }
tells() { grep -qh "$2" "$work/node-$1.out" "$work/node-$1.log"; }
order copy ''

say "the operator sends /two/ there instead; no node is restarted"
configure 4 /two/ unsafe
for node in 1 2 3; do
    wait_for "version 4 on node $node" ask "$(callers "$node")" /two/
done
curl -s -o /dev/null -w '   /one/ is answered %{http_code} now\n' -H 'Host: demo.example' "http://$(callers 1)/one/"

say "the store comes back from a copy of before that; /two/ stays in force, and what is written next comes into force"
order return '{"away_ms":300,"written_again_ms":700}'
sleep 0.6
for node in 1 2 3; do ask "$(callers "$node")" /two/; done
configure 8 /three/ unsafe
for node in 1 2 3; do
    wait_for "version 8 on node $node" ask "$(callers "$node")" /three/
    wait_for "node $node to tell of the return" tells "$node" "store.returned"
done
grep -h "store.returned" "$work"/node-*.out "$work"/node-*.log | show

say "the server beside node 1 drains and ends; requests through node 1 go on"
kill "${pids[2]}"
for _ in $(seq 20); do ask "$(callers 1)" /three/; done
grep -h "upstream.draining" "$work/node-1.out" | tail -n 1 | show

say "node 2 is killed; requests through node 3 go on"
kill -9 "${pids[3]}"
wait "${pids[3]}" 2> /dev/null || true
for _ in $(seq 20); do ask "$(callers 3)" /three/ || ask "$(callers 3)" /three/; done

say "from the id of one request to what decided it"
grep -h "call=a2" "$work"/node-*.out | show

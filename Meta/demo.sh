#!/usr/bin/env bash
# Runs one whole path on loopback with real processes: the platform's emulator, three nodes in three zones, an
# upstream beside each, and callers' requests by HTTP. Prints what happened and stops all it started.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install-packages.sh
./Meta/build.sh release > /dev/null

port="${DEMO_PORT:-27000}" # The first of a hundred.
. ./Meta/processes.sh
platform="127.0.0.1:$port"

callers() { address $((10 * $1 + 1)); }
admin() { address $((10 * $1 + 5)); }

write_settings() {
    cat > "$work/node-$1.toml" <<SETTINGS
[node]
id = "node-$1"
region = "sjaelland"
zone = "sj-$1"
site = "sj-$1"
[listen]
callers = "$(callers "$1")"
peers = "$(address $((10 * $1 + 2)))"
gossip = "$(address $((10 * $1 + 3)))"
control = "$(address $((10 * $1 + 4)))"
admin = "$(admin "$1")"
[platform]
table = "$platform"
objects = "$platform"
[gossip]
seeds = ["$(address 13)"]
SETTINGS
}

write_configuration() {
    mkdir -p "$work/overlays"
    cat > "$work/base.toml" <<BASE
[mesh]
name = "demo"
[cluster.booking]
[cluster.entry]
[[route]]
name = "slots"
prefix = "/slots"
methods = ["GET"]
cluster = "$1"
class = "interactive"
idempotent = true
timeout_ms = 1000
[[route]]
name = "reserve"
prefix = "/reserve"
methods = ["POST"]
cluster = "booking"
class = "non_idempotent"
idempotent = false
timeout_ms = 2000
BASE
    for zone in 1 2 3; do
        echo "site = \"sj-$zone\"" > "$work/overlays/sj-$zone.toml"
    done
}

publish() {
    "$bin/sagecrankctl" publish --platform "$platform" --base "$work/base.toml" --overlays "$work/overlays" \
        --expect current --operator demo
}

holds_version() { curl -sf "http://$(admin "$1")/status" | grep -q "\"version\":$2,"; }
answers() { curl -sf -o /dev/null "http://$(callers 1)/slots"; }

say "platform emulator at $platform; version 1 sends /slots to the service booking"
start platform "$bin/sagecrank-platform-emulator" --listen "$platform"
wait_for "the platform" curl -s "http://$platform/emulator/counters"
write_configuration booking
publish

say "three nodes in three zones; booking beside nodes 1 and 2, entry beside node 3"
for node in 1 2 3; do
    write_settings "$node"
    start "node-$node" "$bin/sagecrank-node" --settings "$work/node-$node.toml"
    service=booking
    [ "$node" -eq 3 ] && service=entry
    start "upstream-$node" "$bin/sagecrank-upstream-emulator" --listen "$(address $((10 * node + 6)))" \
        --cluster "$service" --node-admin "$(admin "$node")" --slots 4
done
for node in 1 2 3; do
    wait_for "node $node" curl -sf "http://$(admin "$node")/ready"
    wait_for "version 1 on node $node" holds_version "$node" 1
done
wait_for "an upstream of booking" answers

say "GET /slots through node 3, whose upstream is of another service"
curl -si "http://$(callers 3)/slots" | show

say "POST /reserve with an idempotency key, through node 3; then the same again through node 1: it does not run twice"
curl -si -X POST -H 'Idempotency-Key: demo-1' -d 'two places' "http://$(callers 3)/reserve" | show
curl -si -X POST -H 'Idempotency-Key: demo-1' -d 'two places' "http://$(callers 1)/reserve" | show

say "version 2 sends /slots to the service entry; no node is restarted"
write_configuration entry
publish
for node in 1 2 3; do
    wait_for "version 2 on node $node" holds_version "$node" 2
done
curl -si "http://$(callers 1)/slots" | show

say "a route to a service that does not exist is refused before it is accepted"
write_configuration nowhere
publish && exit 1
echo "   (exit code $?)"

say "where the time of one call went, by hop"
curl -s "http://$(admin 3)/spans" | head -c 600 | sed 's/^/   /'
echo

say "what each node says of itself"
for node in 1 2 3; do
    curl -s "http://$(admin "$node")/status" | cut -c1-200 | sed 's/^/   /'
    echo
done
stop_all
trap - EXIT
./Meta/demo-platform.sh
say "done; all processes are stopped now"

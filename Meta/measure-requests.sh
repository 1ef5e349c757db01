#!/usr/bin/env bash
# Measures the path of a request with real processes on loopback and stops all it started.
#   ./Meta/measure-requests.sh path          latency that the nodes add, and where the time goes
#   ./Meta/measure-requests.sh core          calls a second that one core of a node carries
#   ./Meta/measure-requests.sh borgbillet    the first user's size and mix, at 60% and at 150% of its slots
#   ./Meta/measure-requests.sh borra-limpio  the second user's
# SECONDS_EACH (5), REPEATS (5), PORT (26000) and LOG_LEVEL (info) may be set. Needs a release build.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${SECONDS_EACH:-5}"
repeats="${REPEATS:-5}"
port="${PORT:-26000}"
log_level="${LOG_LEVEL:-info}"
. Meta/processes.sh

platform="127.0.0.1:$port"
callers() { echo "127.0.0.1:$((port + 100 + $1))"; }
admin() { echo "127.0.0.1:$((port + 200 + $1))"; }
upstream() { echo "127.0.0.1:$((port + 600 + $1))"; }

start_platform() { # BASE OVERLAYS
    start platform "$bin/sagecrank-platform-emulator" --listen "$platform"
    wait_for "the platform" curl -s "http://$platform/emulator/counters"
    "$bin/sagecrankctl" publish --platform "$platform" --base "$1" --overlays "$2" --expect current --operator measure
}

start_node() { # NUMBER SITE THREADS
    cat > "$work/node-$1.toml" <<SETTINGS
[node]
id = "node-$1"
region = "r"
zone = "$2"
site = "$2"
threads = $3
[listen]
callers = "$(callers "$1")"
peers = "127.0.0.1:$((port + 300 + $1))"
gossip = "127.0.0.1:$((port + 400 + $1))"
control = "127.0.0.1:$((port + 500 + $1))"
admin = "$(admin "$1")"
[platform]
table = "$platform"
objects = "$platform"
[gossip]
seeds = ["127.0.0.1:$((port + 401))"]
[log]
level = "$log_level"
SETTINGS
    start "node-$1" "$bin/sagecrank-node" --settings "$work/node-$1.toml"
}

start_upstream() { # NUMBER CLUSTER SLOTS [more options]
    local number="$1" cluster="$2" slots="$3"
    shift 3
    start "upstream-$number" "$bin/sagecrank-upstream-emulator" --listen "$(upstream "$number")" --cluster "$cluster" \
        --slots "$slots" --node-admin "$(admin "$number")" --seed "$number" "$@"
}

alive_members() { [ "$(curl -s "http://$(admin 1)/status" | grep -o '"alive":[0-9]*' | cut -d: -f2)" = "$1" ]; }
machine() { echo "machine: $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg), $(date -u +%H:%M) UTC"; }
cpu_milliseconds() { awk '{ print ($14 + $15) * 10 }' "/proc/$(cat "$work/$1.pid")/stat"; }

echo_configuration() {
    mkdir -p "$work/overlays"
    cat > "$work/base.toml" <<'BASE'
[mesh]
name = "measure"
[cluster.front]
[cluster.echo]
maximum_queue = 256
[[route]]
name = "echo"
prefix = "/echo"
methods = ["GET"]
cluster = "echo"
class = "interactive"
idempotent = true
timeout_ms = 1000
BASE
    echo 'site = "z-1"' > "$work/overlays/z-1.toml"
}

# Node 1 takes the calls and has no upstream of the service, so that every call takes both hops.
echo_nodes() { # NODES-OF-ECHO THREADS
    echo_configuration
    start_platform "$work/base.toml" "$work/overlays"
    start_node 1 z-1 "$2"
    start_upstream 1 front 8
    for number in $(seq 2 $(($1 + 1))); do
        start_node "$number" z-1 "$2"
        start_upstream "$number" echo 64
    done
    wait_for "all members" alive_members $(($1 + 1))
    wait_for "the first answer" curl -sf "http://$(callers 1)/echo"
    sleep 3
}

span_table() {
    for number in 1 2; do
        echo "spans of node $number (microseconds), newest ones:"
        curl -s "http://$(admin "$number")/spans" | python3 -c '
import json, sys, collections
spans = collections.defaultdict(list)
for span in json.load(sys.stdin)["spans"]:
    spans[span["name"]].append(span["duration_us"])
for name, times in sorted(spans.items()):
    times.sort()
    at = lambda share: times[min(len(times) - 1, int(share * len(times)))]
    print("  %-10s %5d  p50 %8.1f  p90 %8.1f  p99 %8.1f" % (name, len(times), at(.5), at(.9), at(.99)))'
    done
}

# Many short runs instead of one long: on a machine that others use too, a run during which the direct calls
# themselves are late measures the neighbours. All runs are printed and summed up; the quiet ones once more.
measure_path() {
    echo_nodes 2 2
    for rate in 1000 4000; do
        echo "== $rate calls/s, half of them through the nodes, $repeats runs of $seconds s; $(machine)"
        for repeat in $(seq "$repeats"); do
            "$bin/sagecrank-load" --target "$(callers 1)" --direct "$(upstream 2)" --direct "$(upstream 3)" \
                --rate "$rate" --duration "$seconds" --warmup 0.5 --seed "$repeat" \
                --mix echo:1:GET:/echo:interactive --json >> "$work/path-$rate.json"
        done
        python3 - "$work/path-$rate.json" <<'PY'
import json, statistics, sys
runs = [json.loads(line) for line in open(sys.argv[1])]
quiet_limit = 0.25
def line(title, runs):
    if not runs:
        return print("%-34s none" % title)
    text = "%-34s %2d runs" % (title, len(runs))
    for share in ("p50", "p90", "p99", "p99.9"):
        added = sorted(run["added_ms"][share] for run in runs)
        text += "  %s %.3f (%.3f-%.3f)" % (share, statistics.median(added), added[0], added[-1])
    print(text)
for run in runs:
    print("  direct p50 %.3f p99 %.3f  through p50 %.3f p99 %.3f  added p50 %.3f p99 %.3f  done %d of %d" % (
        run["direct"]["done_ms"]["p50"], run["direct"]["done_ms"]["p99"], run["through"]["done_ms"]["p50"],
        run["through"]["done_ms"]["p99"], run["added_ms"]["p50"], run["added_ms"]["p99"],
        run["through"]["done"] + run["direct"]["done"], run["through"]["calls"] + run["direct"]["calls"]))
print("added ms, median over runs (least-most):")
line("all", runs)
line("direct p99 below %.2f ms" % quiet_limit, [run for run in runs if run["direct"]["done_ms"]["p99"] < quiet_limit])
PY
        span_table
    done
}

measure_core() {
    echo_nodes 1 1
    for repeat in $(seq "$repeats"); do
        machine
        entry="$(cpu_milliseconds node-1)" gate="$(cpu_milliseconds node-2)"
        "$bin/sagecrank-load" --target "$(callers 1)" --rate 5000 --duration "$seconds" --warmup 0 --seed "$repeat" \
            --mix echo:1:GET:/echo:interactive --json > "$work/result.json"
        entry=$(($(cpu_milliseconds node-1) - entry)) gate=$(($(cpu_milliseconds node-2) - gate))
        python3 - "$work/result.json" "$entry" "$gate" <<'PY'
import json, sys
calls = json.load(open(sys.argv[1]))["through"]["done"]
for name, milliseconds in (("entry node", int(sys.argv[2])), ("node beside the upstream", int(sys.argv[3]))):
    print("%-26s %6d calls, %5d ms of processor time, %5.1f us a call, %6.0f calls/s per core"
          % (name, calls, milliseconds, 1000 * milliseconds / calls, 1000 * calls / milliseconds))
PY
    done
}

# USER ZONE-PREFIX ZONES SERVICE-A COUNT-A SERVICE-B COUNT-B SLOTS CONNECTIONS RATE MIX...
measure_user() {
    local user="$1" prefix="$2" zones="$3" first="$4" first_count="$5" second="$6" second_count="$7" slots="$8"
    local connections="$9" rate="${10}"
    shift 10
    start_platform "examples/$user/base.toml" "examples/$user/overlays"
    local total=$((first_count + second_count)) targets=()
    for number in $(seq "$total"); do
        start_node "$number" "$prefix-$(((number - 1) % zones + 1))" 2
        local service="$first"
        [ "$number" -gt "$first_count" ] && service="$second"
        start_upstream "$number" "$service" "$slots" "${work_times[@]}"
        targets+=(--target "$(callers "$number")")
    done
    wait_for "all members" alive_members "$total"
    for number in $(seq "$total"); do
        wait_for "node $number" curl -sf "http://$(admin "$number")/ready"
    done
    sleep 3
    for factor in 1 2.5; do
        echo "-- $user, $factor times its rate; $(machine)"
        "$bin/sagecrank-load" "${targets[@]}" --rate "$(python3 -c "print($rate * $factor)")" --duration "$((seconds * 2))" \
            --deadline-ms 0 --connections "$connections" --body-bytes 120 "$@" || true
        curl -s "http://$platform/emulator/counters" | cut -c1-60
        echo
    done
}

case "${1:-}" in
path) measure_path ;;
core) measure_core ;;
borgbillet)
    # Service times are ours; the mix fills 60% of the 30 and 18 slots at factor 1.
    work_times=(--work /booking/slots=8:exponential --work /booking/reservations=40:lognormal
        --work /entry/refunds=50:lognormal --work /entry/schools=80:lognormal --work /entry/gate=5:exponential)
    measure_user borgbillet sj 3 booking 5 entry 3 6 800 2750 \
        --mix 'slot-check:1850:GET:/booking/slots/{n}:interactive' \
        --mix 'reserve:80:POST:/booking/reservations:non_idempotent:keyed' \
        --mix 'gate-check:740:GET:/entry/gate/{n}:interactive' \
        --mix 'refund:20:POST:/entry/refunds:non_idempotent:keyed' \
        --mix 'school-lookup:60:GET:/entry/schools/{n}:batch'
    ;;
borra-limpio)
    # The mix fills 60% of the 84 and 60 slots at factor 1.
    work_times=(--work /dispatch=15:exponential --work /billing/invoices=80:lognormal --work /billing/archive=150:lognormal)
    measure_user borra-limpio lima 4 dispatch 7 billing 5 12 1500 3340 \
        --mix 'job-status:2000:GET:/dispatch/jobs/{n}:interactive' \
        --mix 'surface:1000:GET:/dispatch/surfaces/{n}:interactive' \
        --mix 'book-job:80:POST:/dispatch/jobs?work_ms=60:non_idempotent:keyed' \
        --mix 'invoice:40:POST:/billing/invoices:non_idempotent:keyed' \
        --mix 'archive:220:GET:/billing/archive/{n}:batch'
    ;;
*)
    sed -n '2,8p' "$0" >&2
    exit 2
    ;;
esac

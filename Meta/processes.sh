# Sourced by scripts that run processes on loopback: starts them, waits for them, and stops all when the script ends.
# Wants $port, the first of the ports that the script uses.

bin="$PWD/Build/release/bin"
work="$(mktemp -d)"
pids=()

stop_all() {
    kill "${pids[@]}" 2> /dev/null || true
    wait "${pids[@]}" 2> /dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$1"; }

start() {
    local name="$1"
    shift
    "$@" > "$work/$name.out" 2> "$work/$name.log" &
    pids+=("$!")
    echo "$!" > "$work/$name.pid"
}

# wait_for WHAT COMMAND...: until the command succeeds, fifteen seconds at most.
wait_for() {
    local what="$1"
    shift
    for _ in $(seq 150); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "gave up waiting for $what; logs:" >&2
    tail -n 5 "$work"/*.log "$work"/*.out >&2
    exit 1
}

address() { echo "127.0.0.1:$((port + $1))"; }
show() { tr -d '\r' | sed 's/^/   /'; echo; }

# Functions that start a fleet on loopback with its files in $RUN, and stop only the processes that they started.
# VMs are spread over data centres a, b and c; VM i listens on 127.0.0.1 at ports $BASE+10*i to $BASE+10*i+4.

BIN=${BIN:-bin/wagtaillift}
RUN=${RUN:-run}
BASE=${BASE:-21000}
VMS=${VMS:-8}
ZONES=(a b c)
declare -A PIDS

zone_of() { echo "${ZONES[$((($1 - 1) % 3))]}"; }
port_of() { echo $((BASE + 10 * $1 + $2)); }
caller_of() { echo "http://127.0.0.1:$(port_of "$1" 0)"; }
operator_of() { echo "http://127.0.0.1:$(port_of "$1" 1)"; }
metrics_of() { echo "http://127.0.0.1:$(port_of "$1" 4)"; }

# write_vm I writes the settings of VM i. VMs 1 to 3, one in each data centre, are control VMs.
write_vm() {
    local i=$1 folder="" seeds
    [ "$i" -le 3 ] && folder="$RUN/vm$i/data"
    seeds="\"127.0.0.1:$(port_of 1 3)\", \"127.0.0.1:$(port_of 2 3)\", \"127.0.0.1:$(port_of 3 3)\""
    mkdir -p "$RUN/vm$i"
    cat > "$RUN/vm$i/settings.jsonc" <<EOF
{
  "vm": "vm$i", "zone": "$(zone_of "$i")",
  "listen": {
    "caller": "127.0.0.1:$(port_of "$i" 0)", "operator": "127.0.0.1:$(port_of "$i" 1)",
    "upstream": "127.0.0.1:$(port_of "$i" 2)", "peer": "127.0.0.1:$(port_of "$i" 3)",
    "metrics": "127.0.0.1:$(port_of "$i" 4)"
  },
  "peers": {"seeds": [$seeds], "cert": "$RUN/vm$i/cert"},
  "data": {"folder": "$folder", "voters": 3},
  "route": {"policy": "${POLICY:-fair}"},
  "stop": {"lead": "300ms", "limit": "30s"},
  "bill": {"platform": "http://127.0.0.1:$((BASE + 9))", "window": "5s"},
  "log": {"verbosity": ${VERBOSE:-0}}
}
EOF
    "$BIN" cert vm --ca "$RUN/ca" --folder "$RUN/vm$i/cert" --vm "vm$i" --zone "$(zone_of "$i")" > /dev/null
}

start() { # start NAME COMMAND...
    local name=$1
    shift
    "$@" >> "$RUN/$name.log" 2>&1 &
    PIDS[$name]=$!
}

start_vm() { start "vm$1" "$BIN" serve --config "$RUN/vm$1/settings.jsonc"; }

stop_all() {
    local p
    for p in "${PIDS[@]}"; do kill -TERM "$p" 2> /dev/null || true; done
    sleep 1
    for p in "${PIDS[@]}"; do kill -KILL "$p" 2> /dev/null || true; done
    wait 2> /dev/null || true
}

admin() { "$BIN" admin --server "$(operator_of 1)" --server "$(operator_of 2)" --server "$(operator_of 3)" "$@"; }

# announce_list ZONE prints the upstream listeners of a data centre as a JSON list.
announce_list() {
    local i list=""
    for i in $(seq 1 "$VMS"); do
        [ "$(zone_of "$i")" = "$1" ] && list="$list\"http://127.0.0.1:$(port_of "$i" 2)\","
    done
    echo "[${list%,}]"
}

# write_plan writes the emulator plan: by default three engines and one application in each data centre, one engine in
# three cheap.
write_plan() {
    local z k engines="" apps="" cheap fenced
    for z in a b c; do
        for k in $(seq 1 "${ENGINES:-3}"); do
            cheap=false fenced=true
            [ $((k % 3)) = 0 ] && cheap=true
            [ $((k % 3)) = 2 ] && fenced=false
            engines="$engines{\"name\":\"engine-$z$k\",\"zone\":\"$z\",\"address\":\"127.0.0.1:0\",\"model\":\"verdict\",\"cheap\":$cheap,\"fenced\":$fenced,\"pieces\":4096,\"announce\":$(announce_list $z),\"restart\":\"2s\",\"slow\":${SLOW:-1},\"lag\":\"500ms\",\"faults\":{\"crash\":\"crash-this-engine\",\"cut\":${CUT:-0},\"late\":${LATE:-0},\"cross\":${CROSS:-0},\"reset\":${RESET:-0}}},"
        done
        apps="$apps{\"name\":\"app-$z\",\"zone\":\"$z\",\"address\":\"127.0.0.1:0\",\"service\":\"booking\",\"announce\":$(announce_list $z),\"delay\":\"5ms\"},"
    done
    echo "{\"keyfile\":\"$RUN/keys/upstream\",\"platform\":\"127.0.0.1:$((BASE + 9))\",\"control\":\"127.0.0.1:$((BASE + 8))\",\"seed\":${SEED:-1},\"engines\":[${engines%,}],\"apps\":[${apps%,}]}" > "$RUN/plan.json"
}

# wait_for SECONDS COMMAND... repeats a command until it succeeds.
wait_for() {
    local n=$(($1 * 5))
    shift
    while [ "$n" -gt 0 ]; do
        "$@" > /dev/null 2>&1 && return 0
        n=$((n - 1))
        sleep 0.2
    done
    echo "timed out waiting for: $*" >&2
    return 1
}

all_members() { [ "$(admin --stale state | grep -c '"incarnation".*')" -ge "$VMS" ] && [ "$(admin state | grep -c '"peer"')" -eq "$VMS" ]; }
three_voters() { [ "$(admin state | sed -n '/"voters"/,/]/p' | grep -c /)" -eq 3 ]; }

# up starts the fleet and creates services, customers and keys. Callers' keys are written to $RUN/keys/NAME.
up() {
    local i c
    rm -rf "$RUN"
    mkdir -p "$RUN/keys"
    "$BIN" cert ca --folder "$RUN/ca" --fleet loopback > /dev/null
    for i in $(seq 1 "$VMS"); do write_vm "$i"; done
    "$BIN" found --config "$RUN/vm1/settings.jsonc" --keys "$RUN/keys" > /dev/null
    WAGTAILLIFT_KEY=$(cat "$RUN/keys/admin")
    export WAGTAILLIFT_KEY
    write_plan
    for i in $(seq 1 "$VMS"); do start_vm "$i"; done
    start standins "$BIN" emulate --plan "$RUN/plan.json"
    wait_for 30 all_members
    wait_for 30 three_voters
    admin service verdict > /dev/null
    admin service booking --kind plain > /dev/null
    for c in ${CUSTOMERS:-chakra swan tuk pewter lake}; do
        admin customer "$c" > /dev/null
        admin key "$c" --customer "$c" | sed -n 's/^secret //p' > "$RUN/keys/$c"
    done
}

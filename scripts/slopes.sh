#!/usr/bin/env bash
# Measures the cost of the control plane per VM by role, idle and during configuration changes, for several fleet sizes.
# Prints a header and one line for each fleet size, phase and measured VM. The column heap_MB is anonymous resident memory
# in MiB.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
RUN=${RUN:-run/slopes}
SPAN=${SPAN:-8}
trap stop_all EXIT

sample() { # sample VM prints sent and received bytes, calls, CPU seconds and memory
    curl -s "$(metrics_of "$1")/metrics" | awk '
        /^wagtaillift_peer_sent_bytes_total/ {s = $2} /^wagtaillift_peer_received_bytes_total/ {r = $2}
        /^wagtaillift_peer_calls_total/ {c = $2} /^process_cpu_seconds_total/ {p = $2}
        /^process_resident_memory_anon_bytes/ {m = $2} END {print s, r, c, p, m}'
}

measure() { # measure PHASE measures the leader (VM 1), a voter (VM 2) and a follower (last VM) over $SPAN seconds
    local vm role
    declare -A before
    for vm in 1 2 "$VMS"; do before[$vm]=$(sample "$vm"); done
    sleep "$SPAN"
    for vm in 1 2 "$VMS"; do
        role=follower
        [ "$vm" = 1 ] && role=leader
        [ "$vm" = 2 ] && role=voter
        echo "${before[$vm]} $(sample "$vm")" | awk -v t="$SPAN" -v h="$VMS $((3 * ENGINES)) $1 $role" \
            '{printf "%s %.0f %.0f %.1f %.2f %.1f\n", h, ($6-$1)/t, ($7-$2)/t, ($8-$3)/t, 100*($9-$4)/t, $10/1048576}'
    done
}

changes() { # changes N sends N configuration changes a second for $SPAN seconds
    local i
    for i in $(seq 1 $(($1 * SPAN))); do
        curl -s -o /dev/null -X PUT -H "Authorization: Bearer $WAGTAILLIFT_KEY" -H 'If-Match: *' \
            -d "{\"title\":\"change $i\"}" "$(operator_of 1)/api/v1/customers/c$((i % 50))" &
        sleep "$(awk -v n="$1" 'BEGIN {print 1 / n}')"
    done
    wait $(jobs -p | tail -n +$((VMS + 2))) 2> /dev/null || true
}

echo "vms engines phase role sent_B/s received_B/s calls/s cpu_% heap_MB"
for shape in "4 3" "8 3" "16 3" "8 12" "8 36"; do
    read -r VMS ENGINES <<< "$shape"
    export VMS ENGINES
    up
    sleep 2
    measure rest
    if [ "$shape" = "8 3" ]; then
        changes 5 &
        measure 5changes/s
        wait $! || true
    fi
    stop_all
    PIDS=()
    sleep 1
done

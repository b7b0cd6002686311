#!/usr/bin/env bash
# Measures a loopback fleet under steady load, a shifted request mix, a burst of one customer, a zone-wide reclaim, crashed
# engines, a frozen lease holder, a gracefully stopped VM and killed VMs, and prints lines `name value unit`. Takes about
# five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
RUN=${RUN:-run/bench}
SEED=${SEED:-1}
RATE=${RATE:-60}
trap stop_all EXIT

customers() { for c in chakra swan tuk pewter lake; do printf -- '--customer %s=%s ' "$c" "$(cat "$RUN/keys/$c")"; done; }
targets() { for i in "$@"; do printf -- '--target %s ' "$(caller_of "$i")"; done; }
load() { # load PREFIX ARGS...
    local prefix=$1
    shift
    # shellcheck disable=SC2046
    "$BIN" load $(customers) --seed "$SEED" --rate "$RATE" --prefix "${prefix}_" --json "$RUN/$prefix.json" --csv "$RUN/$prefix.csv" "$@"
}
all() { targets $(seq 1 "$VMS"); }

up
sleep 1
load calm --long 15s $(all)
load shift --long 20s --shift $(all)
load surge --long 20s --surge chakra $(all)

# The platform reclaims all cheap engines of a data centre with one second's notice; they return ten seconds later.
load reclaim --long 12s $(all) &
work=$!
sleep 3
curl -s -X POST "http://127.0.0.1:$((BASE + 8))/reclaim?zone=b&notice=1s&back=10s" > /dev/null
wait "$work"

# A request that crashes every engine that runs it; its caller sends it three times.
load crash --long 8s $(all) &
work=$!
for i in 1 2 3; do
    curl -s -m 20 -o /dev/null -w 'crashing_request_status %{http_code} status\n' "$(caller_of "$i")/v1/chat/completions" \
        -H "Authorization: Bearer $(cat "$RUN/keys/lake")" \
        -d '{"model":"verdict","max_tokens":50,"messages":[{"role":"user","content":"crash-this-engine"}]}'
done
wait "$work"

# The holder of the platform's lease is suspended for longer than the lease lasts, then resumed.
holder=$(admin state | tr -d ' ",' | awk -F: '$1 == "name" && $2 == "platform" {getline; print $2}')
kill -STOP "${PIDS[$holder]}"
sleep 12
kill -CONT "${PIDS[$holder]}"
sleep 3

# A VM is stopped gracefully: its health check fails, the load balancer removes it, no request is cut off.
load stop --long 12s $(targets 1 2 3 4 5 6 7) &
work=$!
load leaving --long 4s $(targets 8) &
leaving=$!
sleep 4.2
kill -TERM "${PIDS[vm8]}"
wait "$work" "$leaving"

# A follower is killed: its own callers lose their connections, callers of other VMs are unaffected.
load kill --long 12s $(targets 1 2 3 4 5 6) &
work=$!
sleep 3
kill -KILL "${PIDS[vm7]}"
wait "$work"

# The leader is killed.
load leader --long 12s $(targets 2 3 4 5 6) &
work=$!
sleep 3
kill -KILL "${PIDS[vm1]}"
wait "$work"

# Time until a change is applied on every remaining VM (killed VMs count until their leases have expired).
WAGTAILLIFT_SERVER=$(operator_of 2)
export WAGTAILLIFT_SERVER
sleep 16
for i in $(seq 1 20); do
    begin=$(date +%s%N)
    "$BIN" admin default "wait=0.$((20 + i))" > /dev/null
    echo $((($(date +%s%N) - begin) / 1000000))
done | sort -n | awk '{a[NR] = $1} END {print "change_in_force_p50", a[int(NR / 2) + 1], "ms"; print "change_in_force_max", a[NR], "ms"}'
curl -s "http://127.0.0.1:$((BASE + 9))/emulate/stats" | tr ',{}' '\n\n\n' | awk -F: '
    /"conflicts"/ {print "report_conflicts", $2, "windows"} /"stale"/ {print "stale_reports", $2, "reports"}
    /"windows"/ {print "reported_windows", $2, "windows"}'
curl -s "http://127.0.0.1:$((BASE + 8))/stats" | tr '{},' '\n\n\n' | awk -F: '
    /cheap/ {k = "c"} /other/ {k = "o"} /"generated"/ {n[k] = $2} /"crashes"/ {x += $2}
    END {printf "cheap_share %.3f ratio\nengine_crashes %d engines\n", n["c"] / (n["c"] + n["o"]), x}'
"$BIN" report burn --server "$(operator_of 2)" --server "$(operator_of 3)" --format html --out "$RUN/burn.html"

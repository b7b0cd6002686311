#!/usr/bin/env bash
# Compares the policies "fair" and "naive" on slow engines with the same arrivals: steady load, then either half of the
# prompt work shifted to output work, beyond the fleet's capacity, or a customer at six times its rate. Prints lines
# `[naive_]name value unit` for each seed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
RUN=${RUN:-run/compare}
SLOW=${SLOW:-4}
RATE=${RATE:-110}
LONG=${LONG:-20s}
SEEDS=${SEEDS:-1 2}
export SLOW
trap stop_all EXIT

customers() { for c in chakra swan tuk pewter lake; do printf -- '--customer %s=%s ' "$c" "$(cat "$RUN/keys/$c")"; done; }
targets() { for i in $(seq 1 "$VMS"); do printf -- '--target %s ' "$(caller_of "$i")"; done; }

for POLICY in naive fair; do
    export POLICY
    up
    prefix=""
    [ "$POLICY" = naive ] && prefix=naive_
    admin default rate=100000 burst=1000000 > /dev/null
    sleep 1
    for seed in $SEEDS; do
        # shellcheck disable=SC2046
        "$BIN" load $(customers) $(targets) --seed "$seed" --rate "$RATE" --long "$LONG" --shift --bookings 0 --deadline 10s \
            --prefix "${prefix}shift_s${seed}_" --json "$RUN/$POLICY-shift-$seed.json" --plot "$RUN/$POLICY-shift-$seed.png"
        sleep 3
        # shellcheck disable=SC2046
        "$BIN" load $(customers) $(targets) --seed "$seed" --rate "$((RATE / 2))" --long "$LONG" --surge chakra --bookings 0 --deadline 10s \
            --prefix "${prefix}surge_s${seed}_" --json "$RUN/$POLICY-surge-$seed.json"
        sleep 3
    done
    stop_all
    PIDS=()
done

#!/usr/bin/env bash
# Starts a fleet on loopback and runs it until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap stop_all EXIT
up
echo "fleet is up: $VMS VMs in data centres a, b and c; logs in $RUN"
echo
echo "curl -N $(caller_of 1)/v1/chat/completions -H 'Authorization: Bearer $(cat "$RUN/keys/chakra")' -d '{\"model\":\"verdict\",\"stream\":true,\"max_tokens\":40,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'"
echo
echo "$BIN admin --server $(operator_of 1) --key $WAGTAILLIFT_KEY state"
while sleep 1; do :; done

#!/bin/bash
# A control machine is lost for good and replaced, and then another one is lost for good. TROUBLE=0 leaves out the last loss.
# How long an election takes is drawn, so that six deployments are played side by side.
# Exit status: 1 the rule was broken in one of them, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wagtaillift ] && [ -x target/cases2 ] || exit 2
parts=$(mktemp -d) || exit 2
trap 'rm -rf "$parts"' EXIT
pids=()
for n in 1 2 3 4 5 6; do
  mkdir "$parts/$n"
  target/cases2 unplanned-replacement "$parts/$n" &
  pids+=($!)
done
broken=0 failed=0
for pid in "${pids[@]}"; do
  wait "$pid"
  case $? in
    0) ;;
    1) broken=$((broken + 1)) ;;
    *) failed=$((failed + 1)) ;;
  esac
done
for n in 1 2 3 4 5 6; do
  echo "deployment $n"
  cat "$parts/$n/record.txt"
done > review/6/record.txt
echo "broken in $broken of 6 deployments, $failed could not run" | tee -a review/6/record.txt
[ "$broken" -gt 0 ] && exit 1
[ "$failed" -gt 0 ] && exit 2
exit 0

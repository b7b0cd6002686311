#!/bin/bash
# A control machine is replaced as planned, the new one first, and then another one is lost for good. TROUBLE=0 leaves out the last loss.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wagtaillift ] && [ -x target/cases2 ] || exit 2
exec target/cases2 planned-replacement review/7

#!/bin/bash
# Builds what the scripts of the second review start beside the program of the deploy file: their stand-ins and checks.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/cases2 ./review/cases2

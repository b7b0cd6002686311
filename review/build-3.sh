#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/cases3

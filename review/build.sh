#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[1-5]; do
	if [ -e "$case/main.go" ]; then
		go build -o "target/$case" "./$case"
	fi
done

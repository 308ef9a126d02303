#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/standin .

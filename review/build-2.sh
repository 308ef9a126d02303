#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. They use Go's standard library alone.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standin-2"
GOWORK=off go build -buildvcs=false -o "$root/target/review-2/standin" .

#!/usr/bin/env bash
# Runs every declared experiment again and works the target out from them.
#   ./experiments/run.sh [FILE...]      all but target.json where none is named
# Takes about 20 minutes. GOMAXPROCS bounds the cores.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/otterchute
files=("$@")
[ ${#files[@]} -gt 0 ] || for f in experiments/*.json; do [[ "$f" == experiments/target* ]] || files+=("$f"); done
GOMAXPROCS=${GOMAXPROCS:-5} ./bin/otterchute experiment "${files[@]}"
./bin/otterchute experiment -target experiments/target.json | tee experiments/results/target.txt

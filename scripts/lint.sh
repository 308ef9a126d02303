#!/usr/bin/env bash
# Checks the form of the code: gofmt, vet, staticcheck, golangci-lint, dead code.
# CI runs it before the tests; run it before each commit.
#
# golangci-lint is pinned here and not in a go.mod: its authors advise against building it
# as a module dependency. It is installed once into bin/, which git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."

golangci_version=v2.15.0
golangci=bin/golangci-lint-$golangci_version

if [ ! -x "$golangci" ]; then
  GOBIN="$PWD/bin" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$golangci_version"
  mv bin/golangci-lint "$golangci"
fi

unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
  echo "not as gofmt has it: $unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./... # of the version in go.mod
"$golangci" run ./...

unreachable=$(go tool -modfile=tools/go.mod deadcode -test ./...)
if [ -n "$unreachable" ]; then
  echo "reached by no program and no test:"
  echo "$unreachable"
  exit 1
fi

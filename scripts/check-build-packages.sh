#!/usr/bin/env bash
# Proves that the packages named in deploy/system.toml suffice for its build command: runs
# it on a copy of the tracked files with empty caches, and with a PATH that holds only the
# Go tool chain and what those packages (with all they depend on) install.
#
# Needs a Debian machine on which the packages are installed; it installs nothing. Programs
# are limited by PATH; headers and libraries, which the compiler finds by its own paths, are
# not hidden: libc6-dev is named because it is the package that holds those the link reads.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
named=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
[ -n "$build" ] && [ -n "$named" ]

# The packages and all they depend on; of alternatives those that are installed.
declare -A wanted
queue=($named)
while [ ${#queue[@]} -gt 0 ]; do
  package=${queue[0]}
  queue=("${queue[@]:1}")
  [ -z "${wanted[$package]:-}" ] || continue
  if ! dpkg-query -W -f '${Status}' "$package" 2> /dev/null | grep -q ' installed$'; then
    case " $named " in *" $package "*) echo "not installed here: $package"; exit 1 ;; esac
    continue
  fi
  wanted[$package]=1
  depends=$(dpkg-query -W -f '${Pre-Depends}, ${Depends}' "$package" | tr ',|' '\n\n' | sed 's/(.*//; s/:any//; s/ //g' | grep -v '^$' || true)
  queue+=($depends)
done

mkdir "$work/bin" "$work/source" "$work/home"
for package in "${!wanted[@]}"; do
  for file in $(dpkg -L "$package" | grep -E '^/(usr/)?s?bin/[^/]+$'); do
    ln -sf "$file" "$work/bin/$(basename "$file")"
  done
done
git ls-files -z | xargs -0 tar -c | tar -x -C "$work/source"

goroot=$(go env GOROOT)
proxy=$(go env GOPROXY)
cd "$work/source"
env -u GOFLAGS PATH="$goroot/bin:$work/bin" HOME="$work/home" GOPATH="$work/home/go" GOMODCACHE="$work/home/mod" \
  GOCACHE="$work/home/cache" GOPROXY="$proxy" GOTOOLCHAIN=local GOFLAGS=-modcacherw /bin/bash -c "$build"
[ -s target/otterchute ]
echo "built with Go and: $(printf '%s\n' "${!wanted[@]}" | sort | tr '\n' ' ')"

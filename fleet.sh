#!/usr/bin/env bash
# Starts and stops a whole fleet of real processes on this machine.
#   ./fleet.sh start [hakata|ikenna]   daemons and workers, in ./fleet
#   ./fleet.sh daemons                 HTTP addresses, parted by commas
#   ./fleet.sh kill NAME | cont NAME | freeze NAME | again NAME
#   ./fleet.sh stop                    ends every process it started, by id
#   ./fleet.sh demo [hakata|ikenna]    all at once: builds, starts, sends 30 s of load, judges, stops; exit 0 if no rule broke
set -euo pipefail
cd "$(dirname "$0")"
dir=${FLEET_DIR:-fleet}
base=${FLEET_PORT:-21000}
sites=(east mid west)

size() { if [ "$1" = ikenna ]; then echo "18 16"; else echo "17 64"; fi; }

http() { echo "127.0.0.1:$((base + 100 + $1))"; }

daemons() {
  read -r count _ < <(size "$(cat "$dir/deployment")")
  local out=()
  for ((i = 0; i < count; i++)); do out+=("$(http $i)"); done
  (IFS=,; echo "${out[*]}")
}

daemon() { # number
  local i=$1 name data=""
  name=$(printf 'd%02d' "$i")
  [ "$i" -lt 3 ] && data="$PWD/$dir/$name-data"
  cat > "$dir/$name.json" <<J
{"name": "$name", "addr": "127.0.0.1:$((base + i))", "http": "$(http "$i")", "site": "${sites[$((i % 3))]}",
 "seeds": ["127.0.0.1:$base", "127.0.0.1:$((base + 1))", "127.0.0.1:$((base + 2))"], "data": "$data"}
J
  ./bin/otterchute run -settings "$dir/$name.json" ${OTTERCHUTE_FLAGS:-} >> "$dir/$name.log" 2>&1 &
  echo $! > "$dir/$name.pid"
}

worker() { # number room
  local i=$1 name tier=fast disk=none
  name=$(printf 'w%02d' "$i")
  [ $((i % 2)) = 0 ] && tier=bulk
  [ $((i % 3)) = 0 ] && disk=ssd
  ./bin/otterchute-standin worker -name "$name" -site "${sites[$((i % 3))]}" -labels "tier=$tier,disk=$disk" -room "$2" \
    -listen "127.0.0.1:$((base + 200 + i))" -daemons "$(http $((i % 17))),$(http $(((i + 5) % 17))),$(http $(((i + 10) % 17)))" \
    -record "$dir/records/$name.jsonl" -journal "$dir/$name.journal" >> "$dir/$name.log" 2>&1 &
  echo $! > "$dir/$name.pid"
}

pid() { cat "$dir/$1.pid"; }

progress() { # pid of the load
  for second in $(seq 600); do
    kill -0 "$1" 2> /dev/null || return 0
    if [ $((second % 5)) = 0 ]; then
      echo "  $second s: $(curl -s -m 1 "http://$(http 0)/metrics" | awk '/^otterchute_jobs_complete_total/ { print $2 + 0 }') jobs ended at d00's shards"
    fi
    sleep 1
  done
}

demo() { # deployment
  echo "building and starting a fleet of $1"
  "$0" start "$1" > /dev/null
  trap '"$0" stop' EXIT
  echo "sending 30 s of its usual load; metrics at http://$(http 0)/metrics, logs in $dir/*.log"
  local verdict=0 load
  ./bin/otterchute-standin downstream -deployment "$1" -daemons "$(daemons)" -records "$dir/records" -seconds 30 -setup \
    > "$dir/verdict.json" 2> "$dir/load.log" &
  load=$!
  progress "$load"
  wait "$load" || verdict=$?
  cat "$dir/verdict.json"
  ./bin/otterchute doctor -at "$(daemons)" || true
  if [ "$verdict" = 0 ]; then
    echo "no rule was broken, and every accepted job ended"
  else
    echo "a rule was broken, or an accepted job did not end" >&2
  fi
  return "$verdict"
}

case ${1:-} in
demo) demo "${2:-hakata}" ;;
start)
  dep=${2:-hakata}
  [ -e "$dir/deployment" ] && { echo "a fleet is there already: ./fleet.sh stop first" >&2; exit 1; }
  mkdir -p bin "$dir/records"
  go build -o bin/ ./cmd/otterchute ./cmd/otterchute-standin
  echo "$dep" > "$dir/deployment"
  read -r count room < <(size "$dep")
  for ((i = 0; i < count; i++)); do daemon "$i"; done
  for ((i = 0; i < 11; i++)); do worker "$i" "$room"; done
  echo "started $count daemons and 11 workers in $dir; HTTP at $(daemons)"
  ;;
daemons) daemons ;;
kill) kill -KILL "$(pid "$2")" ;;
term) kill -TERM "$(pid "$2")" ;;
freeze) kill -STOP "$(pid "$2")" ;;
cont) kill -CONT "$(pid "$2")" ;;
again) daemon "$((10#${2#d}))" ;;
stop)
  for p in "$dir"/*.pid; do
    [ -e "$p" ] || continue
    kill -CONT "$(cat "$p")" 2> /dev/null || true
    kill -TERM "$(cat "$p")" 2> /dev/null || true
  done
  for p in "$dir"/*.pid; do
    [ -e "$p" ] || continue
    for _ in $(seq 50); do kill -0 "$(cat "$p")" 2> /dev/null || break; sleep 0.1; done
    kill -KILL "$(cat "$p")" 2> /dev/null || true
  done
  rm -rf "$dir"
  ;;
*) sed -n '2,7p' "$0"; exit 2 ;;
esac

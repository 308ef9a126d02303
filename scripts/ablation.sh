#!/usr/bin/env bash
# Plays days of a deployment on the users' bench with policies switched off, one at a time, and
# prints a table of worth and score beside untouched runs. What each policy is worth stands in
# docs/decisions.md.
#
#   FLEETBENCH=PROGRAM scripts/ablation.sh SITE.toml "DAY ..." "SEED ..." [POLICY ...]
#
# Without policies it takes all that otterchute can switch off; "none" is an untouched run. PARALLEL
# (2) days are played at a time. The bench's journal entries are copied into journal/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 3 ] || { sed -n '2,11p' "$0"; exit 2; }
site=$(realpath "$1") days=$2 seeds=$3
shift 3
policies=("$@")
if [ $# -eq 0 ]; then
  mapfile -t policies < <(sed -n 's/^\t[A-Z][A-Za-z]* Policy = "\([a-z_]*\)"$/\1/p' internal/scheduler/policy.go)
  policies=(none "${policies[@]}")
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
repo=$PWD

play() { # policy, day, seed: one line of the table
  local copy=$scratch/$1-$2-$3 out worth score
  git clone -q "$repo" "$copy"
  if [ "$1" != none ]; then
    sed -i "s|otterchute run\"|otterchute run -disable-policy $1\"|" "$copy/deploy/system.toml"
  fi
  out=$(cd "$copy" && "$FLEETBENCH" run "$site" "$2" --seed "$3" --jobs 1 --why "ablation: $1 off" 2>&1) || true
  score=$(awk -v day="$2" '$1 == day { print $3, $4; exit }' <<< "$out")
  worth=$(grep -c BROKEN <<< "$out" || true)
  (cd "$copy" && git status --short journal | awk '{ print $2 }') | while read -r entry; do
    cp -r "$copy/$entry" "$repo/$entry" 2> /dev/null || true
  done
  printf '| %s | %s | %s | %s | %s |\n' "$1" "$2" "$3" "${score/ / | }" "$worth"
  rm -rf "$copy"
}
export -f play
export scratch repo site FLEETBENCH

echo "| policy off | day | seed | score | worth | rules broken |"
echo "| --- | --- | --- | --- | --- | --- |"
for policy in "${policies[@]}"; do
  for day in $days; do
    for seed in $seeds; do echo "$policy $day $seed"; done
  done
done | xargs -P "${PARALLEL:-2}" -L 1 bash -c 'play "$@"' _

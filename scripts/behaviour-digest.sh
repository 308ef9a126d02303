#!/usr/bin/env bash
# Tells whether two revisions behave the same: plays the same simulated runs at both and
# compares a hash a run over all that left the daemons (frames, disk writes, orders, replies).
#
#   scripts/behaviour-digest.sh OLD NEW          about 40 worlds, a few minutes
#   scripts/behaviour-digest.sh --full OLD NEW   all simulated tests
#   scripts/behaviour-digest.sh --keep DIR ...   keeps the lines of each revision in DIR
#
# NEW may be "." for the working tree. Both revisions need the file digest_test.go, which
# came with the first commit after 21c9859; that commit changes tests only. Exit 0: equal.
set -euo pipefail
cd "$(dirname "$0")/.."

quick='Test(CoreLossDays|MembersComeAndGo|TwoRepairsAtOnce|LeaseIsHeldOnce|(Setup|Config)IsLinearizable|WholePath|UsualTrafficCompletes|BatchNight|FormationNeverSplits|(Setup|Config)(Orders|Changes)ComeAgainInRaces|ConfigResentChangesInRaces|MemberCatchesUp|BadDays|Campaign)$'
full='Test(Campaign|Scenarios|(Beat|Platform)Scenarios|(Beat|Platform)Campaign|BadDays|CoreLossDays|MembersComeAndGo|TwoRepairsAtOnce|LeaseIsHeldOnce|(Setup|Config)IsLinearizable|WholePath|UsualTrafficCompletes|BatchNight|BatchNightFaults|FormationNeverSplits|(Setup|Config)(Orders|Changes)ComeAgainInRaces|ConfigResentChangesInRaces|MemberCatchesUp|Incidents|TenantScenarios|TenantCampaign)$'
tests=$quick flags=(-seeds 4)
keep=$(mktemp -d)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

while [ "${1:-}" != "${1#--}" ]; do
  case $1 in
    --full) tests=$full flags=() ;;
    --keep) keep=$2; mkdir -p "$keep"; shift ;;
    *) sed -n '2,11p' "$0"; exit 2 ;;
  esac
  shift
done
[ $# -eq 2 ] || { sed -n '2,11p' "$0"; exit 2; }

digest() { # revision, file for the lines
  local revision=$1 lines=$2 dir package
  if [ "$revision" = . ]; then
    dir=$PWD
  else
    dir=$scratch/$(git rev-parse --short "$revision")
    [ -d "$dir" ] || { mkdir -p "$dir" && git archive "$revision" | tar -x -C "$dir"; }
  fi
  package=$(cd "$dir" && dirname "$(find . -name digest_test.go | head -1)")
  (cd "$dir/$package" && go test -c -o "$scratch/test" . &&
    "$scratch/test" -test.timeout 40m -test.run "$tests" -digest "$lines" "${flags[@]}" > "$lines.log" 2>&1) || true
  [ -s "$lines" ] || { echo "no digest of $revision: see $lines.log" >&2; exit 2; }
  grep -E -- '^ *--- FAIL' "$lines.log" | sed "s/^ */at $revision: /" || true
}

digest "$1" "$keep/old.txt"
digest "$2" "$keep/new.txt"
if cmp -s "$keep/old.txt" "$keep/new.txt"; then
  echo "equal: $(wc -l < "$keep/new.txt") worlds, sha256 $(sha256sum "$keep/new.txt" | cut -c1-16)"
else
  echo "different:"
  diff "$keep/old.txt" "$keep/new.txt" || true
  exit 1
fi

#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/otterchute ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec ../bin/standin rename ../.. record.txt

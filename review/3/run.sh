#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/pulleytier ] && [ -x target/review/harness ] || { echo "build first: deploy/system.toml's build line and review/build.sh" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/harness -program target/pulleytier -record "$folder/record.txt" -trouble=$trouble \
	-subnet "127.$((64 + $$ % 128)).$((1 + $$ / 128 % 250))" ${REVIEW_LOG:+-log "$REVIEW_LOG"} term

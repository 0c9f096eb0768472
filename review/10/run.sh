#!/usr/bin/env bash
# Plays the case with the stand-ins of review/_standin2: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/gentian-node target/review-2; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: build as the deploy file says, then run review/build-2.sh" >&2
		exit 2
	fi
done
exec target/review-2 -case leave-store-away -dir review/10

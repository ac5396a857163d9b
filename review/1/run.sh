#!/usr/bin/env bash
# Plays the case: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/review-cases ] || [ ! -x bin/aspenbarrow ]; then
  echo "bin/aspenbarrow or bin/review-cases is missing: run the deploy file's build and review/build.sh" >&2
  exit 2
fi
exec bin/review-cases added-class review/1

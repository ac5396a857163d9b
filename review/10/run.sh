#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
for program in aspenbarrow review-world2; do
  if [ -z "$run" ] || [ ! -x "$root/bin/$program" ]; then
    echo "bin/$program or the command of the deploy file is missing: run its build and review/build-2.sh" >&2
    exit 2
  fi
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec "$root/bin/review-world2" -case told-once -root "$root" -run "$run" -record "$folder/record.txt" -trouble="$trouble"

#!/usr/bin/env bash
# Lays links to what the bench wants beside a site file, which is the operators' and not copied here. It wants the kit
# beside the checkout; .gitignore keeps the links out.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit/sites}
[ -d "$kit" ] || { echo "no kit at $kit: name its folder of sites" >&2; exit 1; }
kit=$(cd "$kit" && pwd)
for f in real.json wire.json unlock.txt design.json; do
  ln -sfn "$kit/$f" "$here/$f"
done

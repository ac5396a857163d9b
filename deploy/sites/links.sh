#!/usr/bin/env bash
# Links the files that the bench needs beside a site file. They belong to the operators and are not copied here. By default
# the kit is expected beside the checkout; .gitignore excludes the links.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
kit=${1:-$here/../../../given/kit/sites}
[ -d "$kit" ] || { echo "no folder $kit, expected the kit's folder of sites: pass it as the argument" >&2; exit 1; }
kit=$(cd "$kit" && pwd)
for f in real.json wire.json unlock.txt design.json; do
  ln -sfn "$kit/$f" "$here/$f"
done

#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start. They are plain JavaScript and
# Python without dependencies, so that they only need to be checked.
set -e
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
for file in review/lib-2/*.mjs review/[456]/*.mjs; do
  node --check "$file"
done
test -f target/weirvale.cjs || node platform/build.mjs

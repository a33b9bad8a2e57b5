#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are plain JavaScript that runs as it is, so that only
# their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.js 1[1-5]/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done

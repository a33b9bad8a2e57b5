#!/bin/sh
# Checks the stand-ins and scripts of cases 6 to 10. They are plain JavaScript and need no build of
# their own; the programs that they start come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/*.js review/[6-9]/*.js review/10/*.js; do
  [ ! -e "$file" ] || node --check "$file" || exit 1
done

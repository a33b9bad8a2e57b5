#!/bin/sh
# Exits with 1 if a pass began with different maps, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/6/case.js

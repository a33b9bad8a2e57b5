#!/usr/bin/env bash
# The stand-ins are JavaScript modules without dependencies; this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js ./*/case.js; do node --check "$file"; done

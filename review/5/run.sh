#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -f ../../target/entry.mjs ] || { echo 'build the programs of the deploy file first' >&2; exit 2; }
timeout 110 node case.js
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2

#!/usr/bin/env bash
# Exits with 1 if a request that may run once has run more than once, 0 if none has, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --preserve-status --signal=TERM --kill-after=5 112 node review/1/case.cjs

#!/usr/bin/env bash
# The stand-ins are plain scripts without dependencies: nothing is compiled, their syntax is checked.
set -eu
cd "$(dirname "$0")"
for script in lib/*.cjs [0-9]*/*.cjs; do
  node --check "$script"
done

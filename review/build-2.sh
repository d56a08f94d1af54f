#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are plain modules of Node.js: nothing is compiled; this checks that they load.
set -e
cd "$(dirname "$0")"
for file in kit-2/*.mjs [4-8]/*.mjs; do [ -e "$file" ] && node --check "$file"; done

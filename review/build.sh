#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done

#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts of review/6 to review/10 start. The programs under review are built by
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform

#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules beside this file, without dependencies: nothing to build, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs */case.mjs; do node --check "$file"; done

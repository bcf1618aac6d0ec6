#!/usr/bin/env bash
# Installs the dependencies if they are out of date, builds, then runs the given command.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d node_modules ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then npm ci --no-audit --no-fund --loglevel=error; fi
npm run -s build
exec "$@"

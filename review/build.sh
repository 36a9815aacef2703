#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript modules without dependencies: this only checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done

#!/bin/sh
# Checks the programs and stand-ins of cases 6 to 10, which need no build. Uses no network.
set -e
cd "$(dirname "$0")"
for file in kit-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done

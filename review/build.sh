#!/bin/sh
# Checks the stand-ins, which Node.js runs as they are; they need no build and no package.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done

#!/bin/sh
# The stand-ins of the cases 6 to 10 are sources for Node.js that need no build and no package. Checks that they load.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/harness.mjs review/6/case.mjs review/7/case.mjs review/8/case.mjs \
  review/9/case.mjs review/10/case.mjs; do
  node --check "$file" || exit 1
done

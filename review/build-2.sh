#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain scripts without dependencies: checks that Node can read each of them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs {6,7,8,9,10}/*.mjs; do
	[ -f "$file" ] || continue
	node --check "$file"
done

#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies; there is nothing to build but a check of their syntax.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]*/*.mjs; do
	node --check "$file"
done

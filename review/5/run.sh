#!/usr/bin/env bash
# Plays the case; the exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" && exec node main.mjs

#!/usr/bin/env bash
# Plays the case foreign_entry; the exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabibank ] && [ -x target/review-standin ] && [ -x target/review ] || exit 2
exec target/review foreign_entry review/5/record.txt

#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exit code 1: the rule was broken, 0: it held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gullstair ] && [ -x target/review-standin ] || exit 2
exec target/review-standin keys review/2/record.txt

#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Run review/build-2.sh first.
folder=review/5
cd "$(dirname "$0")/../.." || exit 2
trial=target/review-2/release/trial
[ -x "$trial" ] && [ -x target/release/almondlockd ] || { echo "not built" >&2; exit 2; }
exec "$trial" replaced-core "$folder"

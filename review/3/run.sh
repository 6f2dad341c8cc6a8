#!/bin/sh
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
root=$(cd ../.. && pwd)
program=$root/target/review/case${folder##*/}
if [ ! -x "$program" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
"$program" "$folder" "$root"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

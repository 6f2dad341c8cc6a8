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
# Everything temporary is in one folder; the program notes there the id of the front node that it starts.
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
end() {
  [ -z "$child" ] || kill -KILL "$child" 2>/dev/null
  [ ! -f "$TMPDIR/node.pid" ] || kill -KILL "$(cat "$TMPDIR/node.pid")" 2>/dev/null
  rm -rf "$TMPDIR"
}
child=
trap end EXIT
trap 'exit 2' INT TERM HUP
"$program" "$folder" "$root" &
child=$!
wait "$child"
code=$?
# Ended and waited for: its id may belong to another process by now.
child=
[ "$code" -le 1 ] || code=2
exit "$code"

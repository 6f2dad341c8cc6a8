#!/bin/sh
# Plays the case. Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
CASE_DIR=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$CASE_DIR/../.." && pwd) || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
WORK_DIR=$(mktemp -d) || exit 2
export CASE_DIR ROOT RUN_COMMAND WORK_DIR
case_program=$ROOT/target/review-2/case-10
finish() {
    [ -n "$player" ] && kill -9 "$player" 2>/dev/null
    if [ -f "$WORK_DIR/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$WORK_DIR/pids"
    fi
    rm -rf "$WORK_DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
if [ ! -x "$case_program" ] || [ -z "$RUN_COMMAND" ]; then
    echo "could not run: build deploy/balancer.toml and review/build-2.sh first"
    exit 2
fi
"$case_program" &
player=$!
wait "$player"
code=$?
player=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

#!/bin/sh
# Plays this case. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
set -u
cd "$(dirname "$0")" || exit 2
name=$(basename "$PWD")
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' ../../deploy/balancer.toml)
[ -n "$run" ] || exit 2
folder=$(mktemp -d) || exit 2
TRIAL_BIN=$PWD/../../bin TRIAL_RECORD=$PWD/record.txt TRIAL_TMP=$folder TRIAL_RUN=$run \
  "../bin/case-$name" &
player=$!
trap 'kill "$player" 2>/dev/null' INT TERM
wait "$player"
code=$?
while kill -0 "$player" 2>/dev/null; do # a signal has ended the first wait
  wait "$player"
  code=$?
done
rm -rf "$folder"
case $code in 0 | 1) exit "$code" ;; esac
exit 2

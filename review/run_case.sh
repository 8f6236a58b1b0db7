#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Plays one case: run_case.sh FOLDER DRIVER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the disruption is left out.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
driver=$root/target/review/$2
program=$root/target/src/fleet_main/kestrelline-fleet
[[ -x $driver && -x $program ]] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
work=$(mktemp -d) || exit 2
# Killing the driver ends the processes that it started, too.
pid=
trap '[[ -z $pid ]] || kill "$pid" 2>/dev/null; rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
timeout -s KILL 118 "$driver" "$program" "$work" "$here/record.txt" "${TROUBLE:-1}" &
pid=$!
wait "$pid"
code=$?
pid=
((code <= 1)) || code=2
exit "$code"

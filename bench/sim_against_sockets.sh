#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# One plan at three loads, with and without the rehearsal's faults, on sockets and in virtual time: what is served, and the
# latencies second by second, as ratios of the second to the first. Two minutes and a half on a machine with nothing else to do.
#
#   bench/sim_against_sockets.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
readonly build=${1:-build}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

for rate in 150 400 650; do
  for faults in without with; do
    sed -e "s/^time = .*/time = \"20s\"/" -e '/^# From a quiet/,/^lasts = /d' deploy/rehearsal.load.toml >"$folder/plan.toml"
    printf '\n[[shape]]\nkind = "constant"\nrate = %s\n' "$rate" >>"$folder/plan.toml"
    if [[ $faults == with ]]; then
      cp deploy/rehearsal.site.toml "$folder/site.toml"
    else
      sed '/^# A quarter of them/,$d' deploy/rehearsal.site.toml >"$folder/site.toml"
    fi
    mkdir -p "$folder/run"
    "$build/kestrelfleet" "$folder/site.toml" --proxy "$build/kestrelline" --directory "$folder/run" \
      --events "$folder/fleet.events" -- "$build/kestrelload" run "$folder/plan.toml" --json "$folder/sockets.json" \
      >"$folder/sockets.txt" 2>&1 || (($? == 3)) || { cat "$folder/sockets.txt" >&2; exit 1; }
    "$build/tools/kestrelsim/kestrelsim" run "$folder/site.toml" "$folder/plan.toml" --json "$folder/sim.json" \
      >"$folder/sim.txt" 2>/dev/null
    echo "$rate requests a second, $faults faults: a sockets, b virtual time"
    "$build/kestrelload" compare "$folder/sockets.json" "$folder/sim.json"
    grep '^served' "$folder/sockets.txt" "$folder/sim.txt" | sed 's/.*served/  served/'
  done
done

#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Checks the models with SPIN: every property of each, exhaustively, and that each mutation is found by the property that is
# named with it. Prints states and time. Exit codes: 0; 1 if a property fails or a mutation is not found.
#
#   models/check.sh [FOLDER]      for what SPIN makes; a temporary one without it
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
readonly models work=${1:-$(mktemp -d)}
mkdir -p "$work"
[[ $# -gt 0 ]] || trap 'rm -rf "$work"' EXIT
readonly kSeconds=120

# name, model, defines
make_pan() {
  local folder="$work/$1"
  rm -rf "$folder" && mkdir -p "$folder"
  # shellcheck disable=SC2086
  (cd "$folder" && cp "$models/$2" . && spin -a $3 "$2" >spin.log 2>&1 &&
    cc -O0 -w -DNFAIR=1 -o pan pan.c >cc.log 2>&1) || { cat "$folder"/*.log >&2; return 1; }
}

# Runs `pan` for one property: prints "errors states seconds".
run_pan() {
  local said
  said=$(cd "$work/$1" && timeout $kSeconds ./pan -a -m2000000 -N "$2" 2>&1) || return 1
  grep -q "max search depth too small\|out of memory" <<<"$said" && return 1
  awk '/errors:/ { for (i = 1; i < NF; i++) if ($i == "errors:") errors = $(i + 1) }
       /states, stored/ { states = $1 } /elapsed time/ { seconds = $4 }
       END { print errors + 0, states + 0, seconds + 0 }' <<<"$said"
}

failed=0
# holds or fails: what each property must do; model file, defines, label, properties
must() {
  make_pan "$4" "$2" "$3" || return 1
  local property errors states seconds seen
  for property in $5; do
    read -r errors states seconds < <(run_pan "$4" "$property") || errors=
    case $errors in
      '') seen='not checked' ;;
      0) seen=holds ;;
      *) seen=fails ;;
    esac
    printf '%-12s %-16s %9s states %6s s  %s\n' "$4" "$property" "${states:-?}" "${seconds:-?}" \
      "$seen$([[ $seen == "$1" ]] && echo ', as it must' || echo ": IT MUST NOT")"
    [[ $seen == "$1" ]] || failed=1
  done
}

all="one_answer answered ends one_at_once no_effect_twice"
must holds request.pml "-DEFFECT=0" safe "$all"
must holds request.pml "-DEFFECT=1" keyed "$all"
must holds request.pml "-DEFFECT=2" unsafe "$all"
must fails request.pml "-DEFFECT=2 -DMUTATION=1" mutation-r1 no_effect_twice
must fails request.pml "-DEFFECT=0 -DMUTATION=2" mutation-r2 one_at_once
must fails request.pml "-DEFFECT=2 -DMUTATION=3" mutation-r3 one_answer
must fails request.pml "-DEFFECT=1 -DMUTATION=4" mutation-r4 no_effect_twice
must fails request.pml "-DEFFECT=0 -DMUTATION=5" mutation-r5 answered
must fails request.pml "-DEFFECT=2 -DMUTATION=6" mutation-r6 no_effect_twice
must fails request.pml "-DEFFECT=2 -DMUTATION=7" mutation-r7 no_effect_twice
must fails request.pml "-DEFFECT=1 -DMUTATION=8" mutation-r8 no_effect_twice
must holds list.pml "" list "never_back no_divergence drains_kept kept_up"
must fails list.pml "-DMUTATION=1" mutation-l1 no_divergence
must fails list.pml "-DMUTATION=2" mutation-l2 kept_up
must fails list.pml "-DMUTATION=3" mutation-l3 drains_kept
must fails list.pml "-DMUTATION=4" mutation-l4 never_back
must fails list.pml "-DMUTATION=5" mutation-l5 kept_up
must fails list.pml "-DMUTATION=6" mutation-l6 no_divergence
must holds peer.pml "" peer "never_back not_buried in_the_end"
must fails peer.pml "-DMUTATION=1" mutation-p1 never_back
for mutation in 2 3 4 5 6 8; do must fails peer.pml "-DMUTATION=$mutation" "mutation-p$mutation" in_the_end; done
must fails peer.pml "-DMUTATION=7" mutation-p7 not_buried
must holds replica.pml "" replica "never_back nothing_missed in_the_end"
must fails replica.pml "-DMUTATION=1" mutation-c1 never_back
must fails replica.pml "-DMUTATION=2" mutation-c2 nothing_missed
must fails replica.pml "-DMUTATION=3" mutation-c3 in_the_end
must fails replica.pml "-DMUTATION=4" mutation-c4 in_the_end
must fails replica.pml "-DMUTATION=5" mutation-c5 never_back
must holds shares.pml "" shares both
for mutation in 1 2 3; do must fails shares.pml "-DMUTATION=$mutation" "mutation-s$mutation" one_leader; done
for mutation in 4 5 6; do must fails shares.pml "-DMUTATION=$mutation" "mutation-s$mutation" whole; done
must holds epochs.pml "" epochs "nothing_lost one_value"
for mutation in 1 2 3 4 5 7; do must fails epochs.pml "-DMUTATION=$mutation" "mutation-e$mutation" nothing_lost; done
must fails epochs.pml "-DMUTATION=6" mutation-e6 one_value
must holds epochs.pml "-DLATE_REPLIES -DMOST_WIPES=1" epochs-late nothing_lost
must fails epochs.pml "-DLATE_REPLIES -DMOST_WIPES=1 -DMUTATION=8" mutation-e8 nothing_lost
exit $failed

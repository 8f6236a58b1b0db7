#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Builds the scripts' stand-ins of the second review (cases 4 to 8), after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6 7 8; do
  source=review/$number/case.cpp
  [[ -f $source ]] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done

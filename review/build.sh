#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# Builds the stand-ins and drivers of the cases, into target/review. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/common/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/$(basename "$source" .cpp)" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done

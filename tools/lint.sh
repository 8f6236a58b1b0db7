#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
#
# clang-tidy over what decides in the router fleet (.clang-tidy says by which checks). Exit code 1 if it finds anything.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly kDecisions=(
  src/configuration/parse.cpp src/configuration/patch.cpp src/configuration/route_table.cpp
  src/control_plane/electorate.cpp src/control_plane/member_directory.cpp src/control_plane/orders.cpp src/control_plane/replica.cpp
  src/control_plane/replica_candidate.cpp src/control_plane/replica_follower.cpp src/control_plane/replica_leader.cpp
  src/control_plane/replica_learner.cpp src/control_plane/replica_membership.cpp
  src/control_plane/stage_planner.cpp src/distribution/configuration_history.cpp src/distribution/load_board.cpp src/distribution/publication.cpp
  src/control_sim/audit.cpp src/control_sim/schedule.cpp src/control_sim/world.cpp src/control_sim/world_traffic.cpp
  src/backend_faults/backend_faults.cpp src/data_plane/configuration_follower.cpp src/data_plane/engine_estimate.cpp src/data_plane/event_stream.cpp
  src/data_plane/prefill_response.cpp src/data_plane/subscription.cpp
  src/data_plane/backend.cpp src/data_plane/backend_table.cpp src/data_plane/placement.cpp src/data_plane/prompt.cpp
  src/discovery/page.cpp src/node/settings.cpp src/wire/codec.cpp src/wire/compression.cpp)
printf '%s\n' "${kDecisions[@]}" |
  xargs -P "$(nproc)" -I{} clang-tidy --quiet {} -- -std=c++20 -Isrc -Iinclude -DTOML_HEADER_ONLY=0

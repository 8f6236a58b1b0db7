#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
exec "$(dirname "$0")/../run_case.sh" "$(dirname "$0")" old_limits

# SPDX-License-Identifier: Apache-2.0
#
# Sourced by ./rehearse and .ci/run, from the root.

# Of both deployments: one build makes the programs of either.
deploy_packages() {
  sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/balancer.toml deploy/system.toml | tr -d '",' | tr ' ' '\n' | sort -u
}

# Installs what the build needs and is not there, and the packages given.
install_missing() {
  local missing=() package
  for package in g++ cmake make; do
    command -v "$package" >/dev/null || missing+=("$package")
  done
  for package in "$@" $(deploy_packages); do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  ((${#missing[@]} > 0)) || return 0
  if ((EUID != 0)); then
    echo "missing, to be installed by root: ${missing[*]}" >&2
    return 1
  fi
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

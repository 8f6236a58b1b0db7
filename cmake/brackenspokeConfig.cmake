# SPDX-License-Identifier: Apache-2.0
#
# Deprecated: find_package(kestrelline) and link kestrelline::balancer. The library under its former name, for projects
# that still look for the package brackenspoke.
include("${CMAKE_CURRENT_LIST_DIR}/../kestrelline/kestrellineConfig.cmake")
if(NOT TARGET brackenspoke::brackenspoke)
  add_library(brackenspoke::brackenspoke ALIAS kestrelline::balancer)
endif()

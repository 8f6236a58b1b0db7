// SPDX-License-Identifier: Apache-2.0
//
// Recorded requests with the tags that are expected of them: TOML, [[case]].
#ifndef KESTRELLINE_TOOLS_KESTRELPLUG_CASES_H_
#define KESTRELLINE_TOOLS_KESTRELPLUG_CASES_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "operator/diagnostics.h"
#include "plugin/api.h"

namespace kestrelline::plugin {

struct Case {
  std::string name, method = "GET", target, request_class, tenant, form;
  double deadline_ms = 1000, now_ms = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  Tags tags;            // expected
  std::string failure;  // expected instead: the name of a fault
  operator_file::Position at;

  RequestView View() const;
};

// Nothing, and why in `diagnostics`, unless all of it is right.
std::optional<std::vector<Case>> ReadCases(std::string_view text, operator_file::Diagnostics* diagnostics);

// What a case got, against what it expects; empty if they are the same.
std::string Difference(const Case& expected, const Outcome& got);

std::string Shown(const Tags& tags);

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_TOOLS_KESTRELPLUG_CASES_H_

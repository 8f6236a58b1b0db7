// SPDX-License-Identifier: Apache-2.0
#include "management/metrics.h"

#include <array>
#include <utility>

namespace kestrelline::management {
namespace {

constexpr std::array kOutcomeNames{"ok", "shed", "errors"};  // indexed by RequestOutcome

}  // namespace

std::string EscapeLabel(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

Metrics::Metrics(std::vector<std::string> classes) : counts_(classes.size()) {
  for (const std::string& name : classes) labels_.push_back(EscapeLabel(name));
}

void Metrics::OnRequestOutcome(int request_class, RequestOutcome outcome) {
  if (request_class < 0 || static_cast<std::size_t>(request_class) >= counts_.size()) return;
  ++counts_[static_cast<std::size_t>(request_class)].by_outcome[static_cast<std::size_t>(outcome)];
}

std::string Metrics::Text(const Pool& pool) const {
  std::string text;
  text.reserve(128 + labels_.size() * 128);
  const auto line = [&](std::string_view name, auto value) {
    text.append("proxy_").append(name).append(" ").append(std::to_string(value)).append("\n");
  };
  for (std::size_t outcome = 0; outcome < kOutcomeNames.size(); ++outcome) {
    for (std::size_t c = 0; c < labels_.size(); ++c)
      line(std::string(kOutcomeNames[outcome]) + "{kind=\"" + labels_[c] + "\"}",
           counts_[c].by_outcome[outcome]);
  }
  line("tries", tries_);
  line("active", active_);
  line("pool_size", pool.size);
  line("pool_ejected", pool.ejected);
  return text;
}

}  // namespace kestrelline::management

// SPDX-License-Identifier: Apache-2.0
//
// A proxy with its discovery, started as the test has set it up.
#ifndef KESTRELLINE_TESTS_SUPPORT_SITE_H_
#define KESTRELLINE_TESTS_SUPPORT_SITE_H_

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "app/operator_config.h"
#include "support/running_proxy.h"

namespace kestrelline::testing {

// A test that is about a time limit sets it; to all others a slow machine is none.
struct Site {
  explicit Site(std::vector<nlohmann::json> known)
      : config(ConfigJson(discovery.address(), std::move(known))) {
    timeouts.request_read = timeouts.response_read = std::chrono::minutes(1);
  }
  void Start() {
    proxy::Config all = ConfigOf(config);
    all.timeouts = timeouts;
    auto routes = Routes(operator_text);
    proxy = std::make_unique<RunningProxy>(std::move(all), std::move(routes));
  }
  // Of an operator's file, which must be accepted; null for none.
  proxy::Proxy::Routes Routes(const std::string& text) const {
    if (text.empty()) return nullptr;
    kestrelline::operator_file::Diagnostics diagnostics("test.toml");
    const auto loaded = kestrelline::app::ParseOperatorFile(text, ConfigOf(config),
                                                            kestrelline::app::Keep::kOutcome, &diagnostics);
    for (const auto& line : diagnostics.Lines()) ADD_FAILURE() << line;
    return loaded ? loaded->routes : nullptr;
  }

  FakeDiscovery discovery;
  nlohmann::json config;
  std::string operator_text;  // of the operator's file; empty for none
  proxy::Timeouts timeouts;
  std::unique_ptr<RunningProxy> proxy;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_SITE_H_

// SPDX-License-Identifier: Apache-2.0
//
// All that an operator's file brings, checked against one configuration of the platform: whole or not at all.
//
// A package that adds a section adds it to the table in operator_config.cpp and its outcome here.
#ifndef KESTRELLINE_APP_OPERATOR_CONFIG_H_
#define KESTRELLINE_APP_OPERATOR_CONFIG_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config.h"
#include "operator/diagnostics.h"
#include "peers/settings.h"
#include "plugin/section.h"
#include "quota/partition.h"
#include "quota/settings.h"
#include "replica/settings.h"
#include "routing/spec.h"
#include "routing/table.h"

namespace kestrelline::app {

struct OperatorConfig {
  std::shared_ptr<const routing::RouteTable> routes;
  std::shared_ptr<const plugin::PluginTable> plugins;  // checked as far as can be told without running them
  std::optional<peers::Settings> peers;                // nothing: off
  std::optional<replica::Settings> replica;            // the same
  std::optional<quota::Settings> concert;              // the same
  std::vector<quota::ClassPartition> partition;        // empty: off
  routing::Spec spec;  // as worded, for those who explain it; empty unless kept
  routing::Site site;
};

enum class Keep { kOutcome, kWording };

routing::Site SiteOf(const kestrelline::proxy::Config& platform);

// Nothing, and every reason in `diagnostics`, unless all of it is right.
// `folder`: where the files that it names are looked for.
std::optional<OperatorConfig> ParseOperatorFile(std::string_view text,
                                                const kestrelline::proxy::Config& platform, Keep keep,
                                                operator_file::Diagnostics* diagnostics,
                                                const std::string& folder = ".");
std::optional<OperatorConfig> LoadOperatorFile(const std::string& path,
                                               const kestrelline::proxy::Config& platform, Keep keep,
                                               operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_OPERATOR_CONFIG_H_

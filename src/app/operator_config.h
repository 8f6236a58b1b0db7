// SPDX-License-Identifier: Apache-2.0
//
// The content of an operator's file, validated against the platform configuration. A file is accepted as a
// whole or not at all.
//
// A module that adds a section to the file registers it in AllSections (operator_config.cpp) and adds its
// settings to OperatorConfig.
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
  std::shared_ptr<const plugin::PluginTable> plugins;  // validated, but not loaded
  std::optional<peers::Settings> peers;                // nullopt: disabled
  std::optional<replica::Settings> replica;            // nullopt: disabled
  std::optional<quota::Settings> concert;              // nullopt: disabled
  std::vector<quota::ClassPartition> partition;        // empty: disabled
  routing::Spec spec;  // as written in the file, for explain; empty unless Keep::kSpec
  routing::Site site;
};

// Whether OperatorConfig keeps the parsed routes (`spec`) beside the compiled ones.
enum class Keep { kOutcome, kSpec };

// The part of the platform configuration that routes are validated against.
routing::Site SiteOf(const kestrelline::proxy::Config& platform);

// Returns nothing and adds every error to `diagnostics` if any part of the file is invalid.
// `folder`: base of the relative paths in the file.
std::optional<OperatorConfig> ParseOperatorFile(std::string_view text,
                                                const kestrelline::proxy::Config& platform, Keep keep,
                                                operator_file::Diagnostics* diagnostics,
                                                const std::string& folder = ".");
std::optional<OperatorConfig> LoadOperatorFile(const std::string& path,
                                               const kestrelline::proxy::Config& platform, Keep keep,
                                               operator_file::Diagnostics* diagnostics);

}  // namespace kestrelline::app

#endif  // KESTRELLINE_APP_OPERATOR_CONFIG_H_

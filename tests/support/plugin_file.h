// SPDX-License-Identifier: Apache-2.0
//
// Parses and validates an operator's file with plug-ins for the platform of routing_site.h.
#ifndef KESTRELLINE_TESTS_SUPPORT_PLUGIN_FILE_H_
#define KESTRELLINE_TESTS_SUPPORT_PLUGIN_FILE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "plugin/section.h"
#include "support/routing_site.h"

namespace kestrelline::testing {

// If the file is rejected, `built` is null and `diagnostics` holds the errors.
struct PluginFile {
  using ReadScript = std::function<std::optional<std::string>(const std::string& file, std::string* why)>;

  // `text`: the file without its line `version = 1`.
  PluginFile(const std::string& text, const ReadScript& read, double memory_mb) : diagnostics("f.toml") {
    const auto site = RoutingSite();
    routing::Spec routes;
    plugin::Spec plugins;
    auto sections = routing::Sections(&routes);
    sections.push_back(plugin::PluginSection(&plugins));
    operator_file::ReadDocument("version = 1\n" + text, sections, &diagnostics);
    const auto table = routing::RouteTable::Build(routes, site, &diagnostics);
    if (table) built = plugin::PluginTable::Build(plugins, {*table, site, memory_mb, read}, &diagnostics);
  }
  // `scripts`: the scripts by file name; holds every file that `text` names.
  PluginFile(const std::string& text, const std::map<std::string, std::string>& scripts)
      : PluginFile(
            text, [&](const std::string& file, std::string*) { return std::optional(scripts.at(file)); },
            2048) {}

  std::string DiagnosticsText() const {
    std::string text;
    for (const auto& line : diagnostics.Lines()) text += line + '\n';
    return text;
  }

  operator_file::Diagnostics diagnostics;
  std::shared_ptr<const plugin::PluginTable> built;
};

}  // namespace kestrelline::testing

#endif  // KESTRELLINE_TESTS_SUPPORT_PLUGIN_FILE_H_

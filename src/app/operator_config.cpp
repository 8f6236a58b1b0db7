// SPDX-License-Identifier: Apache-2.0
#include "app/operator_config.h"

#include <utility>
#include <vector>

#include "operator/document.h"
#include "operator/read_file.h"
#include "routing/section.h"

namespace kestrelline::app {
namespace {

using operator_file::Section;

// The one table of sections.
std::vector<Section> AllSections(routing::Spec* routes) {
  std::vector<Section> all;
  for (auto& section : routing::Sections(routes)) all.push_back(std::move(section));
  return all;
}

}  // namespace

routing::Site SiteOf(const brackenspoke::proxy::Config& platform) {
  return {platform.settings, platform.classes, platform.tenants, platform.zones};
}

std::optional<OperatorConfig> ParseOperatorFile(std::string_view text,
                                                const brackenspoke::proxy::Config& platform, Keep keep,
                                                operator_file::Diagnostics* diagnostics) {
  OperatorConfig config;
  config.site = SiteOf(platform);
  operator_file::ReadDocument(text, AllSections(&config.spec), diagnostics);
  // What could be read is judged too, so that one run tells of everything; what could not is not guessed at.
  config.routes = routing::RouteTable::Build(config.spec, config.site, diagnostics);
  if (!diagnostics->ok() || !config.routes) return std::nullopt;
  if (keep == Keep::kOutcome) config.spec = {};
  return config;
}

std::optional<OperatorConfig> LoadOperatorFile(const std::string& path,
                                               const brackenspoke::proxy::Config& platform, Keep keep,
                                               operator_file::Diagnostics* diagnostics) {
  const auto text =
      operator_file::ReadWhole(path, operator_file::MostFileBytes(platform.memory_mb), diagnostics);
  return text ? ParseOperatorFile(*text, platform, keep, diagnostics) : std::nullopt;
}

}  // namespace kestrelline::app

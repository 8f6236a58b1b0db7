// SPDX-License-Identifier: Apache-2.0
#include "app/operator_config.h"

#include <filesystem>
#include <utility>
#include <vector>

#include "operator/document.h"
#include "operator/read_file.h"
#include "plugin/wire.h"
#include "routing/section.h"

namespace kestrelline::app {
namespace {

using operator_file::Section;

// All sections of the file. Each stores what it reads into the given spec.
std::vector<Section> AllSections(routing::Spec* routes, plugin::Spec* plugins, peers::Spec* peers,
                                 replica::Spec* replica, quota::Spec* concert,
                                 quota::PartitionSpec* partition) {
  std::vector<Section> all;
  for (auto& section : routing::Sections(routes)) all.push_back(std::move(section));
  all.push_back(plugin::PluginSection(plugins));
  all.push_back(peers::PeersSection(peers));
  all.push_back(replica::ReplicaSection(replica));
  all.push_back(quota::QuotaSection(concert));
  all.push_back(quota::PartitionSection(partition));
  return all;
}

// The first position of the key `claim` outside [replica].
std::optional<operator_file::Position> FirstClaimPosition(const routing::Spec& spec) {
  if (spec.defaults.claim) return spec.defaults.claim->at;
  for (const auto& request_class : spec.classes)
    if (request_class.limits.claim) return request_class.limits.claim->at;
  for (const auto& route : spec.routes)
    if (route.limits.claim) return route.limits.claim->at;
  return std::nullopt;
}

// Reads a plug-in script. A relative `file` is resolved against `folder`, that of the operator's file. On
// failure sets `*why`.
std::optional<std::string> ReadScript(const std::string& folder, const std::string& file, std::string* why) {
  operator_file::Diagnostics diagnostics(file);
  auto text = operator_file::ReadFileSnapshot((std::filesystem::path(folder) / file).string(),
                                              plugin::wire::kMaxSourceBytes, &diagnostics);
  if (!diagnostics.ok()) *why = diagnostics.messages().begin()->text;
  return text;
}

}  // namespace

routing::Site SiteOf(const kestrelline::proxy::Config& platform) {
  return {platform.settings, platform.classes, platform.tenants, platform.zones};
}

std::optional<OperatorConfig> ParseOperatorFile(std::string_view text,
                                                const kestrelline::proxy::Config& platform, Keep keep,
                                                operator_file::Diagnostics* diagnostics,
                                                const std::string& folder) {
  OperatorConfig config;
  plugin::Spec plugins;
  peers::Spec peers;
  replica::Spec replica;
  quota::Spec concert;
  quota::PartitionSpec partition;
  config.site = SiteOf(platform);
  operator_file::ReadDocument(
      text, AllSections(&config.spec, &plugins, &peers, &replica, &concert, &partition), diagnostics);
  // Sections that could be read are validated even if others could not, so that one run reports all errors.
  config.routes = routing::RouteTable::Build(config.spec, config.site, diagnostics);
  if (config.routes) {
    const auto read_script = [&](const std::string& file, std::string* why) {
      return ReadScript(folder, file, why);
    };
    config.plugins = plugin::PluginTable::Build(
        plugins, {*config.routes, config.site, platform.memory_mb, read_script}, diagnostics);
  }
  config.peers = peers::Build(peers, {platform.peers_allowed, platform.name, folder}, diagnostics);
  config.replica = replica::Build(
      replica, {config.peers.has_value(), FirstClaimPosition(config.spec), platform.memory_mb}, diagnostics);
  config.concert =
      quota::Build(concert, {config.peers.has_value(), platform.settings.balancers}, diagnostics);
  config.partition = quota::Build(
      partition, quota::PartitionContext{config.peers.has_value(), platform.classes}, diagnostics);
  if (!diagnostics->ok() || !config.routes || !config.plugins) return std::nullopt;
  if (keep == Keep::kOutcome) config.spec = {};
  return config;
}

std::optional<OperatorConfig> LoadOperatorFile(const std::string& path,
                                               const kestrelline::proxy::Config& platform, Keep keep,
                                               operator_file::Diagnostics* diagnostics) {
  const auto text =
      operator_file::ReadFileSnapshot(path, operator_file::MaxFileBytes(platform.memory_mb), diagnostics);
  const auto folder = std::filesystem::path(path).parent_path();
  return text ? ParseOperatorFile(*text, platform, keep, diagnostics, folder.string()) : std::nullopt;
}

}  // namespace kestrelline::app

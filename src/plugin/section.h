// SPDX-License-Identifier: Apache-2.0
//
// Plug-ins in the operator's file: [[plugin]], in their order, and what is checked before any is started.
#ifndef KESTRELLINE_PLUGIN_SECTION_H_
#define KESTRELLINE_PLUGIN_SECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "operator/document.h"
#include "plugin/supervisor.h"
#include "plugin/tagging.h"
#include "routing/section.h"
#include "routing/table.h"

namespace kestrelline::plugin {

inline constexpr std::size_t kMostPlugins = 8;
// Of a worker's own, beside what its script holds (measured: docs/design/plugins.md).
inline constexpr std::size_t kWorkerBytes = 3 << 20;
// Two of the daemon's and one of the worker's own, twice: two versions side by side.
inline constexpr std::size_t kDescriptorsEach = 6;
// The part of the proxy's memory that all workers may take, two versions of each side by side.
inline constexpr double kMemoryShare = 0.5;

// As worded.
struct PluginSpec {
  operator_file::Located<std::string> name, file;
  routing::Maybe<routing::Names> routes, sets, classes;
  std::string on_failure = "refuse";
  operator_file::Position on_failure_at;
  std::vector<std::pair<operator_file::Located<std::string>, operator_file::Located<std::string>>>
      on_failure_of;
  Supervision supervision;
};
struct Spec {
  std::vector<PluginSpec> plugins;
};

operator_file::Section PluginSection(Spec* spec);
std::span<const routing::DescribedTable> DescribedPluginTables();

// One plug-in, names resolved, its script read: a version of it is what compares equal.
struct Plugin {
  std::string name;
  operator_file::Position at;
  std::string source;
  Supervision supervision;
  Grants grants;

  bool SameVersion(const Plugin& o) const {
    return name == o.name && source == o.source && supervision == o.supervision;
  }
};

class PluginTable {
 public:
  struct Around {
    const routing::RouteTable& routes;
    const routing::Site& site;
    double memory_mb;
    // The whole of a script, of at most wire::kMostSource bytes; nothing and why if it cannot be had.
    std::function<std::optional<std::string>(const std::string& file, std::string* why)> read;
  };
  // Null, and the reasons in `diagnostics`, unless everything is right. An empty table if there is no
  // plug-in.
  static std::shared_ptr<const PluginTable> Build(const Spec& spec, const Around& around,
                                                  operator_file::Diagnostics* diagnostics);

  const std::vector<Plugin>& plugins() const { return plugins_; }
  // Those for requests of a route (RouteTable::kNone: of none), in the order of the file.
  const std::vector<std::uint32_t>& Of(std::uint32_t route) const {
    return route < by_route_.size() ? by_route_[route] : of_no_route_;
  }
  const routing::Site& site() const { return site_; }

 private:
  std::vector<Plugin> plugins_;
  std::vector<std::vector<std::uint32_t>> by_route_;
  std::vector<std::uint32_t> of_no_route_;
  routing::Site site_;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_SECTION_H_

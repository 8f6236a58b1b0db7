// SPDX-License-Identifier: Apache-2.0
//
// The [[plugin]] sections of the operator's file: parsing, and validation before any worker is started.
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

inline constexpr std::size_t kMaxPlugins = 8;
// Memory of a worker process beside that of its script (docs/design/plugins.md).
inline constexpr std::size_t kWorkerBytes = 3 << 20;
// File descriptors for each plug-in: two of the proxy and one of the worker, for two versions that run
// concurrently.
inline constexpr std::size_t kDescriptorsEach = 6;
// Fraction of the proxy's memory that all workers may use, with two versions of each running concurrently.
inline constexpr double kMemoryShare = 0.5;

// A plug-in as written in the file.
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

// The section reads into `*spec`, which must outlive the reading.
operator_file::Section PluginSection(Spec* spec);
// Descriptions of the keys, for the documentation.
std::span<const routing::DescribedTable> DescribedPluginTables();

// One plug-in with names resolved and its script read.
struct Plugin {
  std::string name;
  operator_file::Position at;
  std::string source;
  Supervision supervision;
  Grants grants;

  // Whether a running worker of `other` can be used for this one.
  bool SameVersion(const Plugin& other) const {
    return name == other.name && source == other.source && supervision == other.supervision;
  }
};

class PluginTable {
 public:
  // What the sections are validated against.
  struct Around {
    const routing::RouteTable& routes;
    const routing::Site& site;
    double memory_mb;
    // Reads a script of at most wire::kMaxSourceBytes bytes; returns nothing and sets `why` on failure.
    std::function<std::optional<std::string>(const std::string& file, std::string* why)> read;
  };
  // Returns null and adds the errors to `diagnostics` if anything is invalid. The table is empty without
  // plug-ins.
  static std::shared_ptr<const PluginTable> Build(const Spec& spec, const Around& around,
                                                  operator_file::Diagnostics* diagnostics);

  const std::vector<Plugin>& plugins() const { return plugins_; }
  // Indices of the plug-ins for requests of a route (RouteTable::kNone: of no route), in the order of the
  // file.
  const std::vector<std::uint32_t>& Of(std::uint32_t route) const {
    return route < by_route_.size() ? by_route_[route] : without_route_;
  }
  const routing::Site& site() const { return site_; }

 private:
  std::vector<Plugin> plugins_;
  std::vector<std::vector<std::uint32_t>> by_route_;
  std::vector<std::uint32_t> without_route_;
  routing::Site site_;
};

}  // namespace kestrelline::plugin

#endif  // KESTRELLINE_PLUGIN_SECTION_H_

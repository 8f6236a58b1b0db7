// SPDX-License-Identifier: Apache-2.0
#include "plugin/section.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include "plugin/wire.h"

namespace kestrelline::plugin {
namespace {

using operator_file::Diagnostics;
using operator_file::Key;
using operator_file::Kind;
using operator_file::Position;
using operator_file::TableReader;

constexpr std::array kPluginKeys{
    Key{"name", Kind::kText, "The name of the plug-in: each once.", true},
    Key{"file", Kind::kText, "Its script, from the folder of this file.", true},
    Key{"routes", Kind::kTexts, "The routes whose requests it reads; without it, every request."},
    Key{"sets", Kind::kTexts, "The tags that it may set: class, tenant, key, route, cost.", true},
    Key{"classes", Kind::kTexts, "The classes that it may set."},
    Key{"on_failure", Kind::kText,
        "What becomes of a request when it fails: refuse, or pass without its tags; refuse without it."},
    Key{"on_failure_of", Kind::kTable, "The same for some classes: CLASS = \"pass\" or \"refuse\"."},
    Key{"wall", Kind::kDuration, "The longest that a request waits for its tags: 4ms, and 5ms at most."},
    Key{"fuel", Kind::kInteger, "The most instructions of one call: 200000."},
    Key{"memory_kb", Kind::kInteger, "The most memory that the script holds: 4096."},
    Key{"output", Kind::kInteger, "The most bytes that one call returns: 1024."},
    Key{"load", Kind::kDuration, "The longest that it takes to be ready: 1s."},
    Key{"faults", Kind::kInteger, "So many faults within `within` take it out: 5."},
    Key{"within", Kind::kDuration, "10s without it."},
    Key{"retry_first", Kind::kDuration, "How long it is out the first time: 1s; doubled at each next."},
    Key{"retry_most", Kind::kDuration, "The longest that it is out at a time: 60s."},
};
constexpr std::array kTables{routing::DescribedTable{"plugin", kPluginKeys}};

constexpr std::array<std::string_view, 5> kTagNames{"class", "tenant", "key", "route", "cost"};
constexpr std::array<std::string_view, 2> kFailureModes{"pass", "refuse"};

bool IsFailureMode(std::string_view mode) {
  return std::find(kFailureModes.begin(), kFailureModes.end(), mode) != kFailureModes.end();
}

void ReadPlugin(const toml::table& table, Position at, Spec* spec, Diagnostics* diagnostics) {
  const TableReader reader(table, "plugin", kPluginKeys, diagnostics);
  PluginSpec plugin;
  if (auto name = reader.Text("name")) plugin.name = std::move(*name);
  plugin.name.at = at;
  if (auto file = reader.Text("file")) plugin.file = std::move(*file);
  plugin.routes = reader.Texts("routes");
  plugin.sets = reader.Texts("sets");
  plugin.classes = reader.Texts("classes");
  plugin.on_failure_at = reader.at("on_failure");
  if (const auto mode = reader.Text("on_failure")) plugin.on_failure = mode->value;
  reader.ForEachText("on_failure_of", [&](const auto& name, const auto& value) {
    plugin.on_failure_of.emplace_back(name, value);
  });

  Budgets& budgets = plugin.supervision.budgets;
  if (const auto wall = reader.Duration("wall")) {
    budgets.wall = wall->value;
    if (budgets.wall > kMaxWall || budgets.wall < Duration(0.5))
      diagnostics->Add(wall->at, "plugin-wall",
                       "a plug-in that holds requests for " + operator_file::FormatDuration(budgets.wall) +
                           "; 0.5ms to 5ms is accepted");
  }
  if (const auto fuel = reader.Integer("fuel", 1000, 100'000'000))
    budgets.fuel = static_cast<std::uint64_t>(fuel->value);
  if (const auto memory = reader.Integer("memory_kb", 256, 65536))
    budgets.memory = static_cast<std::size_t>(memory->value) * 1024;
  if (const auto output = reader.Integer("output", 16, 4096))
    budgets.output = static_cast<std::size_t>(output->value);
  if (const auto load = reader.Duration("load")) budgets.load = load->value;
  Supervision& supervision = plugin.supervision;
  if (const auto faults = reader.Integer("faults", 1, 100))
    supervision.faults = static_cast<int>(faults->value);
  if (const auto within = reader.Duration("within")) supervision.within = within->value;
  if (const auto first = reader.Duration("retry_first")) supervision.retry_first = first->value;
  if (const auto most = reader.Duration("retry_most")) supervision.retry_most = most->value;
  if (supervision.retry_most < supervision.retry_first)
    diagnostics->Add(reader.at("retry_most"), "range",
                     "retry_most, " + operator_file::FormatDuration(supervision.retry_most) +
                         ", is under retry_first, " + operator_file::FormatDuration(supervision.retry_first));
  spec->plugins.push_back(std::move(plugin));
}

class Builder {
 public:
  Builder(const PluginTable::Around& around, Diagnostics* diagnostics)
      : around_(around), diagnostics_(diagnostics) {
    for (const auto& name : around.site.classes) class_names_.push_back(name);
    for (const auto& route : around.routes.routes()) route_names_.push_back(route.name);
  }

  Plugin Resolve(const PluginSpec& spec) {
    Plugin plugin;
    plugin.name = spec.name.value;
    plugin.at = spec.name.at;
    plugin.supervision = spec.supervision;
    std::string why;
    if (auto source = around_.read(spec.file.value, &why)) {
      plugin.source = std::move(*source);
    } else {
      Reject(spec.file.at, "plugin-file", "'" + spec.file.value + "' cannot be taken: " + why);
    }
    ResolveTags(spec, &plugin.grants);
    ResolveFailure(spec, &plugin.grants);
    return plugin;
  }

  // Indices of the routes whose requests the plug-in reads; all routes and kNone if it names none.
  std::vector<std::uint32_t> RoutesOf(const PluginSpec& spec) {
    std::vector<std::uint32_t> routes;
    if (!spec.routes) {
      for (std::uint32_t i = 0; i < route_names_.size(); ++i) routes.push_back(i);
      routes.push_back(routing::RouteTable::kNone);
      return routes;
    }
    for (const auto& name : spec.routes->value) {
      const auto position = std::find(route_names_.begin(), route_names_.end(), name.value);
      if (position == route_names_.end()) {
        Reject(
            name.at, "unknown-route",
            "the file has no route '" + name.value + "'; " + diagnostics_->Suggest(name.value, route_names_));
        continue;
      }
      const auto index = static_cast<std::uint32_t>(position - route_names_.begin());
      if (std::find(routes.begin(), routes.end(), index) == routes.end()) routes.push_back(index);
    }
    if (spec.routes->value.empty()) Reject(spec.routes->at, "empty", "a plug-in of no route; leave it out");
    return routes;
  }

  void Reject(Position at, std::string_view rule, const std::string& text) {
    diagnostics_->Add(at, rule, text);
  }

 private:
  int ClassOf(const operator_file::Located<std::string>& name) {
    const auto& classes = around_.site.classes;
    const auto position = std::find(classes.begin(), classes.end(), name.value);
    if (position != classes.end()) return static_cast<int>(position - classes.begin());
    Reject(
        name.at, "unknown-class",
        "the platform has no class '" + name.value + "'; " + diagnostics_->Suggest(name.value, class_names_));
    return -1;
  }

  const ClassSettings& SettingsOf(int request_class) const {
    return around_.site.settings.classes[static_cast<std::size_t>(request_class)];
  }

  void ResolveTags(const PluginSpec& spec, Grants* grants) {
    if (!spec.sets) return;
    bool sets_class = false;
    for (const auto& tag : spec.sets->value) {
      const auto known = std::find(kTagNames.begin(), kTagNames.end(), tag.value);
      if (known == kTagNames.end()) {
        Reject(tag.at, "plugin-tag",
               "no tag '" + tag.value + "'; " +
                   diagnostics_->Suggest(tag.value, {kTagNames.begin(), kTagNames.end()}));
        continue;
      }
      sets_class |= tag.value == "class";
      grants->tenant |= tag.value == "tenant";
      grants->key |= tag.value == "key";
      grants->route |= tag.value == "route";
      grants->cost |= tag.value == "cost";
    }
    if (spec.sets->value.empty()) Reject(spec.sets->at, "empty", "a plug-in that may set nothing");
    if (grants->tenant && around_.site.tenants.empty())
      Reject(spec.sets->at, "plugin-tag", "the platform has no tenants: 'tenant' could never be set");
    if (sets_class != spec.classes.has_value())
      Reject(spec.sets->at, "plugin-class",
             sets_class ? "'class' needs the classes that it may set: classes = [...]"
                        : "classes are named, but 'class' is not among the tags that it sets");
    if (!spec.classes) return;
    for (const auto& name : spec.classes->value) {
      const int to = ClassOf(name);
      if (to < 0) continue;
      const auto& settings = around_.site.settings.classes;
      bool reachable = false;
      for (std::size_t from = 0; from < settings.size(); ++from)
        reachable |= static_cast<int>(from) != to && Narrows(settings[from], SettingsOf(to));
      if (!reachable)
        Reject(name.at, "plugin-class",
               "no request may be made one of '" + name.value + "': that would widen what may be done twice");
      grants->classes.push_back(to);
    }
    std::sort(grants->classes.begin(), grants->classes.end());
  }

  // on_failure = "pass" is rejected where the plug-in may set a more restrictive class: a request that passes
  // without that tag would be retried under the less restrictive rules.
  void ResolveFailure(const PluginSpec& spec, Grants* grants) {
    const std::size_t classes = around_.site.classes.size();
    if (!IsFailureMode(spec.on_failure))
      Reject(spec.on_failure_at, "plugin-failure",
             "'" + spec.on_failure + "' is no way to fail; accepted are pass and refuse");
    grants->refuse_on_failure.assign(classes, spec.on_failure != "pass");
    std::vector<Position> positions(classes, spec.on_failure_at);
    for (const auto& [name, value] : spec.on_failure_of) {
      const int request_class = ClassOf(name);
      if (!IsFailureMode(value.value))
        Reject(value.at, "plugin-failure",
               "'" + value.value + "' is no way to fail; accepted are pass and refuse");
      if (request_class < 0) continue;
      grants->refuse_on_failure[static_cast<std::size_t>(request_class)] = value.value != "pass";
      positions[static_cast<std::size_t>(request_class)] = value.at;
    }
    for (std::size_t c = 0; c < classes; ++c) {
      if (grants->refuse_on_failure[c]) continue;
      for (const int to : grants->classes) {
        const ClassSettings& from = around_.site.settings.classes[c];
        if (!Narrows(from, SettingsOf(to)) || Narrows(SettingsOf(to), from)) continue;
        Reject(positions[c], "plugin-effect",
               "a request of '" + around_.site.classes[c] + "' that passes without its tag '" +
                   around_.site.classes[static_cast<std::size_t>(to)] +
                   "' might run twice; accepted is on_failure = \"refuse\" for it");
        break;
      }
    }
  }

  const PluginTable::Around& around_;
  Diagnostics* diagnostics_;
  std::vector<std::string_view> class_names_, route_names_;
};

}  // namespace

std::span<const routing::DescribedTable> DescribedPluginTables() { return kTables; }

operator_file::Section PluginSection(Spec* spec) {
  return {{"plugin", Kind::kTables, "Plug-ins, in the order in which their tags are heard: [[plugin]]."},
          [spec](const TableReader& top, Diagnostics* diagnostics) {
            top.Tables("plugin", [&](const toml::table& table, Position at) {
              ReadPlugin(table, at, spec, diagnostics);
            });
          }};
}

std::shared_ptr<const PluginTable> PluginTable::Build(const Spec& spec, const Around& around,
                                                      Diagnostics* diagnostics) {
  const auto table = std::make_shared<PluginTable>();
  table->site_ = around.site;
  table->by_route_.resize(around.routes.routes().size());
  Builder builder(around, diagnostics);
  if (spec.plugins.size() > kMaxPlugins) {
    builder.Reject(
        spec.plugins[kMaxPlugins].name.at, "bound",
        std::to_string(spec.plugins.size()) + " plug-ins; " + std::to_string(kMaxPlugins) + " are accepted");
    return nullptr;
  }
  std::set<std::string_view> names;
  double bytes = 0;  // of all workers
  for (const PluginSpec& plugin : spec.plugins) {
    if (!names.insert(plugin.name.value).second)
      builder.Reject(plugin.name.at, "duplicate", "plug-in '" + plugin.name.value + "' is named twice");
    const auto index = static_cast<std::uint32_t>(table->plugins_.size());
    table->plugins_.push_back(builder.Resolve(plugin));
    for (const std::uint32_t route : builder.RoutesOf(plugin))
      (route == routing::RouteTable::kNone ? table->without_route_ : table->by_route_[route])
          .push_back(index);
    bytes += static_cast<double>(plugin.supervision.budgets.memory + kWorkerBytes);
    if (2 * bytes > around.memory_mb * kMemoryShare * 1024 * 1024)
      builder.Reject(plugin.name.at, "plugin-memory",
                     "with '" + plugin.name.value + "' the plug-ins may take " +
                         std::to_string(static_cast<int>(2 * bytes / 1024 / 1024)) +
                         " MB, two versions of each side by side; half of the proxy's " +
                         std::to_string(static_cast<int>(around.memory_mb)) + " MB is accepted");
  }
  return diagnostics->ok() ? table : nullptr;
}

}  // namespace kestrelline::plugin
